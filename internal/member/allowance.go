package member

import "time"

// allowance is a token bucket that is full when it is first used.
type allowance struct {
	tokens   float64
	refilled time.Time
}

// has reports whether a token is left; refill is in tokens per second.
func (a *allowance) has(now time.Time, burst, refill float64) bool {
	if a.refilled.IsZero() {
		a.tokens = burst
	} else {
		a.tokens = min(burst, a.tokens+refill*now.Sub(a.refilled).Seconds())
	}
	a.refilled = now
	return a.tokens >= 1
}

func (a *allowance) take(now time.Time, burst, refill float64) bool {
	if !a.has(now, burst, refill) {
		return false
	}
	a.tokens--
	return true
}
