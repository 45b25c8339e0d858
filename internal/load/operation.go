package load

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Kind is what an operation does.
type Kind uint8

// The kinds of operations.
const (
	KindRead Kind = iota
	KindDownload
	KindWrite
)

// Operation is one thing that a caller wants done, with all of its sends.
type Operation struct {
	ID       string
	Service  string
	Key      string
	Kind     Kind
	Outcome  model.Outcome
	Status   int
	Sends    int
	Begun    time.Time
	Duration time.Duration
	// ResponseError tells why the answer was not whole or belonged to another operation.
	ResponseError string
	// Refusals are the outcomes and reasons of the sends that the fleet answered itself.
	Refusals []string
	// RetryAfter is the time that the latest refusal asked to wait; zero without one.
	RetryAfter time.Duration
	// NotRun counts the sends that were answered with `not-run`.
	NotRun int
}

func kindOf(route model.RouteSpec) Kind {
	switch {
	case !route.Idempotent:
		return KindWrite
	case route.Resumable:
		return KindDownload
	default:
		return KindRead
	}
}
