package load

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Kind classifies operations by the properties of their route.
type Kind uint8

// KindRead is idempotent, KindDownload idempotent and resumable, KindWrite not idempotent.
const (
	KindRead Kind = iota
	KindDownload
	KindWrite
)

// Operation is one operation of a caller, which may be sent several times.
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
	// ResponseError describes why the response was incomplete or belonged to another operation.
	ResponseError string
	// Refusals are the outcomes and reasons of the sends that did not get a response from a target.
	Refusals []string
	// RetryAfter is the delay that the latest refusal asked for; zero if it asked for none.
	RetryAfter time.Duration
	// NotRun counts the sends with outcome `not-run`.
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
