package load

import (
	"math"
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// OpenReport sums up the requests of an open load that fall into a window of time.
type OpenReport struct {
	// Sent counts the requests that began within the window; the other counts are parts of it.
	Sent    int
	Done    int
	Refused int
	// Late counts the requests without an answer at their deadline.
	Late int
	// Unknown counts the answers with an unknown outcome.
	Unknown int
	// NoRetryAfter counts the refusals without Retry-After.
	NoRetryAfter int
	// Goodput is the number of requests per second that were done in time within the window, whenever they began.
	Goodput      float64
	RefusalTimes Quantiles
	DoneTimes    Quantiles
	Accounts     []AccountReport
}

// AccountReport sums up the requests of one account.
type AccountReport struct {
	Name string
	Sent int
	Done int
}

// Quantiles are the median and the 99th percentile of durations.
type Quantiles struct {
	Median, P99 time.Duration
}

// ReportOpen sums up the window.
func ReportOpen(c OpenConfig, arrivals []Arrival, from, to time.Time) OpenReport {
	var r OpenReport
	for _, a := range c.Accounts {
		r.Accounts = append(r.Accounts, AccountReport{Name: a.Name})
	}
	var refused, served []time.Duration
	good := 0
	for _, a := range arrivals {
		inTime := a.Duration <= c.Deadline
		if end := a.Begun.Add(a.Duration); a.good(c.Deadline) && !end.Before(from) && end.Before(to) {
			good++
		}
		if a.Begun.Before(from) || !a.Begun.Before(to) {
			continue
		}
		r.add(a, inTime)
		switch a.Outcome {
		case model.OutcomeNotRun:
			refused = append(refused, a.Duration)
		case model.OutcomeDone:
			served = append(served, a.Duration)
		case model.OutcomeUnknown:
		}
	}
	r.Goodput = float64(good) / to.Sub(from).Seconds()
	r.RefusalTimes, r.DoneTimes = quantilesOf(refused), quantilesOf(served)
	return r
}

// InTime is the share of the requests that had any answer with a certain outcome before their deadline.
func (r OpenReport) InTime() float64 {
	return 1 - float64(r.Late+r.Unknown)/float64(max(1, r.Sent))
}

// Fairness is the lowest share of its due that an account got, for a service that can do the given number of requests
// in the window. An account is due all its requests up to the equal part of the service.
func (r OpenReport) Fairness(capacity float64) float64 {
	lowest := math.Inf(1)
	for _, a := range r.Accounts {
		if due := min(float64(a.Sent), capacity/float64(len(r.Accounts))); due > 0 {
			lowest = min(lowest, float64(a.Done)/due)
		}
	}
	return min(1, lowest)
}

// LastFailure returns when the last request ended that was not done in time; it is zero without any.
func LastFailure(arrivals []Arrival, deadline time.Duration) time.Time {
	var last time.Time
	for _, a := range arrivals {
		if end := a.Begun.Add(a.Duration); !a.good(deadline) && end.After(last) {
			last = end
		}
	}
	return last
}

// Contradicted returns the identifiers of the requests whose answer does not agree with the records of the targets.
func Contradicted(arrivals []Arrival, runs []RunRecord) []string {
	begun := make(map[string]int)
	for _, run := range runs {
		begun[run.Request] += run.Begun
	}
	var untrue []string
	for _, a := range arrivals {
		n := begun[a.ID]
		if a.Outcome == model.OutcomeNotRun && n > 0 || a.Outcome == model.OutcomeDone && n == 0 {
			untrue = append(untrue, a.ID)
		}
	}
	return untrue
}

func (a Arrival) good(deadline time.Duration) bool {
	return a.Outcome == model.OutcomeDone && a.Status < 500 && a.ResponseError == "" && a.Duration <= deadline
}

func (r *OpenReport) add(a Arrival, inTime bool) {
	r.Sent++
	i := slices.IndexFunc(r.Accounts, func(known AccountReport) bool { return known.Name == a.Account })
	r.Accounts[i].Sent++
	switch {
	case !inTime:
		r.Late++
	case a.Outcome == model.OutcomeDone:
		r.Done++
		r.Accounts[i].Done++
	case a.Outcome == model.OutcomeNotRun:
		r.Refused++
	default:
		r.Unknown++
	}
	if a.Outcome == model.OutcomeNotRun && a.RetryAfter < 0 {
		r.NoRetryAfter++
	}
}

func quantilesOf(d []time.Duration) Quantiles {
	if len(d) == 0 {
		return Quantiles{}
	}
	slices.Sort(d)
	return Quantiles{Median: d[len(d)/2], P99: d[len(d)*99/100]}
}
