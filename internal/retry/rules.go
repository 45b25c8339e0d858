package retry

// MaxAttempts bounds the attempts of one request, the first included.
const MaxAttempts = 3

// Result is what the edge knows about an attempt that gave no whole answer.
type Result uint8

// The results of failed attempts.
const (
	// NotRun means that the request certainly did not run and never will by this attempt.
	NotRun Result = iota + 1
	// InDoubt means that the request may have run or may still run.
	InDoubt
)

// Attempt describes the latest attempt of a request.
type Attempt struct {
	Number     int
	Result     Result
	Idempotent bool
	// BodyHeld tells that the whole request body can be sent again.
	BodyHeld bool
	// Answered tells that the caller has received a part of an answer.
	Answered bool
}

// Allowed reports whether the request may be sent once more, if the budget has a token.
func Allowed(a Attempt) bool {
	if a.Number >= MaxAttempts || !a.BodyHeld || a.Answered {
		return false
	}
	return a.Result == NotRun || a.Idempotent
}
