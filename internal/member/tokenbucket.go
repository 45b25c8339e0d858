package member

import "time"

// tokenBucket limits the rate of an action; it is full when it is first used.
type tokenBucket struct {
	tokens   float64
	refilled time.Time
}

// has reports whether a token is available; refill is in tokens per second.
func (a *tokenBucket) has(now time.Time, burst, refill float64) bool {
	if a.refilled.IsZero() {
		a.tokens = burst
	} else {
		a.tokens = min(burst, a.tokens+refill*now.Sub(a.refilled).Seconds())
	}
	a.refilled = now
	return a.tokens >= 1
}

func (a *tokenBucket) take(now time.Time, burst, refill float64) bool {
	if !a.has(now, burst, refill) {
		return false
	}
	a.tokens--
	return true
}
