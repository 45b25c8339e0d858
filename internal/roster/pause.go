package roster

import (
	"math/rand/v2"
	"time"
)

const (
	// firstPause and longestPause bound the time between two calls after failures. A node must be back within two seconds
	// of the store's return, and a refused call costs as much as any other.
	firstPause   = 150 * time.Millisecond
	longestPause = time.Second
)

// pauses spaces the calls to a store that fails.
type pauses struct {
	failures int
}

// next returns the time to wait after one more failure; half of it is random, so that nodes do not call together.
func (p *pauses) next() time.Duration {
	pause := min(longestPause, firstPause<<min(p.failures, 8))
	p.failures++
	return pause/2 + rand.N(pause/2)
}

// reset notes a success and reports whether there were failures before it.
func (p *pauses) reset() (failures int) {
	failures, p.failures = p.failures, 0
	return failures
}
