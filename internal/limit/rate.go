package limit

import (
	"math"
	"time"
)

const (
	// rateBurst is the time for which unused requests of the rate are saved up, so that requests that arrive unevenly
	// still get the whole rate.
	rateBurst = time.Second
	// minRate is the rate in requests per second that is used even if the target states less: only the response to a
	// request shows that a limit has been raised.
	minRate = 0.25
)

// rateLimit is a token bucket that holds the rate limit of a target. The zero value limits nothing.
type rateLimit struct {
	limited bool
	// rate is in requests per second.
	rate   float64
	tokens float64
	at     time.Time
}

// set changes the limit. A new limit starts with a single request, because those before it have just arrived.
func (l *rateLimit) set(now time.Time, rate float64, limited bool) {
	l.advance(now)
	if !l.limited {
		l.tokens = 1
	}
	l.limited, l.rate = limited, max(minRate, rate)
	l.tokens = min(l.tokens, l.capacity())
}

func (l *rateLimit) capacity() float64 {
	return 1 + l.rate*rateBurst.Seconds()
}

func (l *rateLimit) advance(now time.Time) {
	if l.limited && now.After(l.at) {
		l.tokens = min(l.capacity(), l.tokens+l.rate*now.Sub(l.at).Seconds())
	}
	l.at = now
}

// permits reports whether a request may be sent now.
func (l *rateLimit) permits() bool {
	return !l.limited || l.tokens >= 1
}

func (l *rateLimit) take() {
	if l.limited {
		l.tokens--
	}
}

// giveBack returns the token of a request that was not sent.
func (l *rateLimit) giveBack() {
	if l.limited {
		l.tokens = min(l.capacity(), l.tokens+1)
	}
}

// wait returns the time until a request may be sent after the given number of others.
func (l *rateLimit) wait(ahead int) time.Duration {
	missing := float64(ahead+1) - l.tokens
	if !l.limited || missing <= 0 {
		return 0
	}
	// Rounded up, so that the token is there when the time has passed.
	return time.Duration(math.Ceil(missing/l.rate*1e6)) * time.Microsecond
}

// concurrency returns the number of requests of the given duration that run at once at this rate, at most slots.
func (l *rateLimit) concurrency(duration time.Duration, slots int) int {
	if !l.limited {
		return slots
	}
	return max(1, min(slots, int(math.Ceil(l.rate*duration.Seconds()))))
}
