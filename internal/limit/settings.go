package limit

import (
	"fmt"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Reason is why a request was refused.
type Reason uint8

const (
	// ReasonQueueFull means that all slots and queue places are taken.
	ReasonQueueFull Reason = iota + 1
	// ReasonDeadline means that the deadline would pass before the request could finish.
	ReasonDeadline
	// ReasonAccountShare means that the account holds its share while other accounts wait.
	ReasonAccountShare
	// ReasonWaitTimeout means that no slot came free within the allowed wait.
	ReasonWaitTimeout
	// ReasonUnhealthy means that the target became unhealthy while the request waited.
	ReasonUnhealthy
	// ReasonRateLimit means that the target would get more requests than the rate limit that it states.
	ReasonRateLimit
)

// Settings configure the admission to one target.
type Settings struct {
	Slots int
	// Places is the number of queue places; it is capped at Slots unless DeepQueue is set.
	Places int
	// MaxWait bounds the time in the queue; zero means no queue.
	MaxWait time.Duration
	// DeepQueue allows more Places than Slots.
	DeepQueue bool
	// FixedLimit keeps the limit at Slots instead of adapting it to the latency.
	FixedLimit bool
	// AccountShare is the share of slots and places that one account may hold under contention; zero means all.
	AccountShare float64
	// FairTurns starts waiting requests of all accounts by rank, and lets accounts take turns within a rank so that they
	// use equal times. It is not combined with AccountShare.
	FairTurns bool
}

// Request is a request for admission.
type Request struct {
	Account string
	// Deadline is when the caller stops waiting; the zero value means never.
	Deadline time.Time
	// Patience replaces Settings.MaxWait if HasPatience is set.
	Patience    time.Duration
	HasPatience bool
	// Rank orders waiting requests; lower ranks start first.
	Rank int
	// Route groups requests of similar durations; it may be empty.
	Route string
	// RunsOnce means that the request must not run twice, so that a run that its deadline cuts is worse than none.
	RunsOnce bool
	// Objective is when the response has lost most of its value; a request that can't meet it starts after those that
	// can. The zero value means never.
	Objective time.Time
}

// Result is the outcome of an admitted request.
type Result struct {
	// OK means that the target responded; only durations of such requests adapt the limit and the estimates.
	OK bool
	// Unsent means that the request was not sent to the target, so that it does not count against its rate limit.
	Unsent bool
}

// Load is the current load of a limiter.
type Load struct {
	InFlight int `json:"in-flight"`
	Waiting  int `json:"waiting"`
	Limit    int `json:"limit"`
}

// RefusedError reports a refusal; the request certainly did not run.
type RefusedError struct {
	Reason Reason
	// RetryAfter is the time after which a retry makes sense.
	RetryAfter time.Duration
}

// SettingsOf returns the settings of a target from the specification of its service.
func SettingsOf(spec model.ServiceSpec, slots int) Settings {
	return Settings{
		Slots: slots, Places: spec.Queue.Places, MaxWait: time.Duration(spec.Queue.Wait), AccountShare: spec.AccountShare,
	}
}

// Error returns the reason and when to retry.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("not admitted: %s; retry after %s", e.Reason, e.RetryAfter)
}

// String returns the reason as it appears in error messages.
func (r Reason) String() string {
	switch r {
	case ReasonQueueFull:
		return "all slots and queue places are taken"
	case ReasonDeadline:
		return "the deadline would pass before the request could finish"
	case ReasonAccountShare:
		return "the account already uses its share"
	case ReasonWaitTimeout:
		return "no slot became free in time"
	case ReasonUnhealthy:
		return "the target is probably unhealthy"
	case ReasonRateLimit:
		return "the target states a rate limit that is used up"
	default:
		return "invalid"
	}
}

func (s Settings) normalized() Settings {
	s.Slots = max(1, s.Slots)
	if !s.DeepQueue {
		s.Places = min(s.Places, s.Slots)
	}
	s.Places = max(0, s.Places)
	if s.MaxWait <= 0 {
		s.Places = 0
	}
	if s.AccountShare <= 0 || s.AccountShare > 1 || s.FairTurns {
		s.AccountShare = 1
	}
	return s
}

// shareOf returns how many of n slots or places one account may hold under contention; at least one.
func (s Settings) shareOf(n int) int {
	return max(1, int(s.AccountShare*float64(n)))
}
