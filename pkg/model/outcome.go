package model

// Outcome is what the fleet knows about a request when it answers the caller.
type Outcome string

const (
	// OutcomeDone means that the response is the complete response of a target.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the request did not run and never will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Answer is the JSON body of a response that the fleet generates itself.
type Answer struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
	Remedy  string  `json:"remedy"`
}
