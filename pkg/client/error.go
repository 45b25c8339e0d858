package client

import (
	"fmt"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Error tells what is known about a request whose answer the client did not get.
type Error struct {
	// Outcome is not-run when no send ran and none can run any more, done when only the answer is missing.
	Outcome model.Outcome
	// Key is the idempotency key; a later Request with this key learns more and never runs the request twice.
	Key string
	// Sends counts the sends that were made.
	Sends int
	// Status is the status of the last answer; zero without one.
	Status int
	Reason string
	// Err is the cause when the client stopped by itself or got no answer.
	Err error
}

// Error names the outcome and the remedy.
func (e *Error) Error() string {
	text := fmt.Sprintf("request is %s after %d sends", e.Outcome, e.Sends)
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	switch e.Outcome {
	case model.OutcomeNotRun:
		return text + "; send it again as a new request"
	case model.OutcomeDone:
		return text + "; raise Config.MaxBody and send it again with key " + e.Key
	default:
		return text + "; send it again with key " + e.Key
	}
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
