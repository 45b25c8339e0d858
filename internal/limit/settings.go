package limit

import (
	"fmt"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Reason tells why a request was refused.
type Reason uint8

const (
	// ReasonQueueFull means that all slots and queue places are taken.
	ReasonQueueFull Reason = iota + 1
	// ReasonDeadline means that the deadline would pass before the request could finish.
	ReasonDeadline
	// ReasonAccountShare means that the account holds its share while other accounts wait.
	ReasonAccountShare
	// ReasonWaitTimeout means that no slot came free within the bounded wait.
	ReasonWaitTimeout
	// ReasonUnhealthy means that the target turned out to be sick while the request waited.
	ReasonUnhealthy
)

// Settings bound the admission to one target.
type Settings struct {
	Slots int
	// Places is the number of queue places; it is cut to Slots.
	Places int
	// MaxWait bounds the time in the queue; zero means no queue.
	MaxWait time.Duration
	// DeepQueue lifts the cut of Places to Slots.
	DeepQueue bool
	// FixedLimit keeps the limit at Slots, whatever the durations say.
	FixedLimit bool
	// AccountShare is the share of slots and places that one account may hold under contention; zero means all.
	AccountShare float64
}

// Request asks for admission.
type Request struct {
	Account string
	// Deadline is when the caller stops waiting; the zero value means never.
	Deadline time.Time
	// Patience replaces Settings.Wait for a request that is Bounded.
	Patience    time.Duration
	HasPatience bool
	// Rank orders waiting requests; lower ranks start first.
	Rank int
	// Route names requests of like durations; it may be empty.
	Route string
	// Objective is when the answer has lost most of its value; a request that can't meet it starts after those that
	// can. The zero value means never.
	Objective time.Time
}

// Result tells how the admitted request ended.
type Result struct {
	// OK tells that the target answered; only such durations teach the limit.
	OK bool
}

// Load is the present use of a limiter.
type Load struct {
	InFlight int `json:"in-flight"`
	Waiting  int `json:"waiting"`
	Limit    int `json:"limit"`
}

// RefusedError reports a refusal; the request certainly did not run.
type RefusedError struct {
	Reason Reason
	// RetryAfter is when a repeat makes sense.
	RetryAfter time.Duration
}

// SettingsOf returns the settings of a target from the specification of its service.
func SettingsOf(spec model.ServiceSpec, slots int) Settings {
	return Settings{
		Slots: slots, Places: spec.Queue.Places, MaxWait: time.Duration(spec.Queue.Wait), AccountShare: spec.AccountShare,
	}
}

// Error names the reason and the remedy.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("not admitted: %s; repeat after %s", e.Reason, e.RetryAfter)
}

// String returns the text of the reason as it stands in answers.
func (r Reason) String() string {
	switch r {
	case ReasonQueueFull:
		return "all slots and queue places are taken"
	case ReasonDeadline:
		return "the deadline would pass before the request could finish"
	case ReasonAccountShare:
		return "the account holds its share"
	case ReasonWaitTimeout:
		return "no slot came free in time"
	case ReasonUnhealthy:
		return "the target is probably sick"
	default:
		return "invalid"
	}
}

func (s Settings) normal() Settings {
	s.Slots = max(1, s.Slots)
	if !s.DeepQueue {
		s.Places = min(s.Places, s.Slots)
	}
	s.Places = max(0, s.Places)
	if s.MaxWait <= 0 {
		s.Places = 0
	}
	if s.AccountShare <= 0 || s.AccountShare > 1 {
		s.AccountShare = 1
	}
	return s
}

// shareOf returns how many of n slots or places one account may hold under contention; at least one.
func (s Settings) shareOf(n int) int {
	return max(1, int(s.AccountShare*float64(n)))
}
