package client

import (
	"fmt"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Error describes what is known about a request for which the client did not get an answer.
type Error struct {
	// Outcome is not-run when no send ran or can run any more, and done when only the answer is missing.
	Outcome model.Outcome
	// Key is the idempotency key; a later Request with this key can still get the answer and never runs the request
	// twice.
	Key string
	// Sends is the number of times the request was sent.
	Sends int
	// Status is the HTTP status of the last response; zero if there was none.
	Status int
	Reason string
	// Err is the cause when the client gave up by itself or received no response.
	Err error
}

// Error describes the outcome and how to proceed.
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
