package retry

// MaxAttempts is the largest number of attempts of one request, including the first.
const MaxAttempts = 3

// Result tells whether a failed attempt may have run.
type Result uint8

// Results of failed attempts.
const (
	// NotRun means that this attempt did not run the request and never will.
	NotRun Result = iota + 1
	// InDoubt means that the attempt may have run the request or may still run it.
	InDoubt
)

// Attempt describes the latest attempt of a request.
type Attempt struct {
	Number     int
	Result     Result
	Idempotent bool
	// BodyReplayable tells whether the complete request body can be sent again.
	BodyReplayable bool
	// ResponseStarted tells whether the caller has received a part of a response.
	ResponseStarted bool
}

// Allowed reports whether the request may be retried, provided that the budget has a token.
func Allowed(a Attempt) bool {
	if a.Number >= MaxAttempts || !a.BodyReplayable || a.ResponseStarted {
		return false
	}
	return a.Result == NotRun || a.Idempotent
}
