package load

import (
	"math"
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// OpenReport summarizes the requests of an open-loop load within a time window.
type OpenReport struct {
	// Sent counts the requests that were sent within the window; the other counts are subsets of it.
	Sent    int
	Done    int
	Refused int
	// Late counts the requests without a response at their deadline.
	Late int
	// Unknown counts the responses with an unknown outcome.
	Unknown int
	// NoRetryAfter counts the refusals without Retry-After.
	NoRetryAfter int
	// Goodput is the number of requests per second that completed in time within the window, whenever they were sent.
	Goodput      float64
	RefusalTimes Quantiles
	DoneTimes    Quantiles
	Accounts     []AccountReport
}

// AccountReport summarizes the requests of one client account.
type AccountReport struct {
	Name string
	Sent int
	Done int
}

// Quantiles are the median and the 99th percentile of durations.
type Quantiles struct {
	Median, P99 time.Duration
}

// ReportOpen summarizes the requests within the window.
func ReportOpen(c OpenConfig, arrivals []Arrival, from, to time.Time) OpenReport {
	var r OpenReport
	for _, a := range c.Accounts {
		r.Accounts = append(r.Accounts, AccountReport{Name: a.Name})
	}
	var refused, served []time.Duration
	completed := 0
	for _, a := range arrivals {
		inTime := a.Duration <= c.Deadline
		if end := a.Begun.Add(a.Duration); a.succeeded(c.Deadline) && !end.Before(from) && end.Before(to) {
			completed++
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
	r.Goodput = float64(completed) / to.Sub(from).Seconds()
	r.RefusalTimes, r.DoneTimes = quantilesOf(refused), quantilesOf(served)
	return r
}

// InTime is the fraction of requests with a known outcome before their deadline.
func (r OpenReport) InTime() float64 {
	return 1 - float64(r.Late+r.Unknown)/float64(max(1, r.Sent))
}

// Fairness is the lowest fraction of its fair share that an account received, for a service that can complete capacity
// requests in the window. The fair share of an account is all its requests, up to an equal part of the capacity.
func (r OpenReport) Fairness(capacity float64) float64 {
	lowest := math.Inf(1)
	for _, a := range r.Accounts {
		if fairShare := min(float64(a.Sent), capacity/float64(len(r.Accounts))); fairShare > 0 {
			lowest = min(lowest, float64(a.Done)/fairShare)
		}
	}
	return min(1, lowest)
}

// LastFailure returns the end time of the last request that did not succeed in time; it is zero if all succeeded.
func LastFailure(arrivals []Arrival, deadline time.Duration) time.Time {
	var last time.Time
	for _, a := range arrivals {
		if end := a.Begun.Add(a.Duration); !a.succeeded(deadline) && end.After(last) {
			last = end
		}
	}
	return last
}

// Contradicted returns the IDs of the requests whose response contradicts the records of the targets.
func Contradicted(arrivals []Arrival, runs []RunRecord) []string {
	begun := make(map[string]int)
	for _, run := range runs {
		begun[run.Request] += run.Begun
	}
	var contradicted []string
	for _, a := range arrivals {
		n := begun[a.ID]
		if a.Outcome == model.OutcomeNotRun && n > 0 || a.Outcome == model.OutcomeDone && n == 0 {
			contradicted = append(contradicted, a.ID)
		}
	}
	return contradicted
}

func (a Arrival) succeeded(deadline time.Duration) bool {
	return a.Outcome == model.OutcomeDone && a.Status < 500 && a.ResponseError == "" && a.Duration <= deadline
}

func (r *OpenReport) add(a Arrival, inTime bool) {
	r.Sent++
	i := slices.IndexFunc(r.Accounts, func(account AccountReport) bool { return account.Name == a.Account })
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
