package roster

import (
	"math/rand/v2"
	"time"
)

const (
	// initialBackoff and maxBackoff bound the delay between two calls after failures. A node must reconnect within two
	// seconds after the store recovers, and a refused call costs as much as any other.
	initialBackoff = 150 * time.Millisecond
	maxBackoff     = 900 * time.Millisecond
)

// backoff computes the delays between calls to a failing store.
type backoff struct {
	failures int
}

// next returns the delay after one more failure; half of it is random, so that nodes do not call at the same time.
func (b *backoff) next() time.Duration {
	delay := min(maxBackoff, initialBackoff<<min(b.failures, 8))
	b.failures++
	return delay/2 + rand.N(delay/2)
}

// reset records a success and returns the number of failures before it.
func (b *backoff) reset() (failures int) {
	failures, b.failures = b.failures, 0
	return failures
}
