package store

import (
	"sync"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/timer"
)

const (
	// tripAfter is the number of consecutive failures after which a service counts as unavailable.
	tripAfter = 3
	// probeInterval separates the calls that are let through while a service is unavailable.
	// One call of at most 4 s per interval costs a node almost nothing, and a ticket filed right after the outage still
	// reaches a reader within seconds.
	probeInterval = 2 * time.Second
)

// breaker is a circuit breaker: while a service is unavailable, it fails all calls but one probe per interval.
type breaker struct {
	clock timer.Service

	mu        sync.Mutex
	failures  int
	probing   bool
	nextProbe time.Time
}

// allow reports whether a call may be sent; the caller then reports the result with done or release.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < tripAfter {
		return true
	}
	if b.probing || b.clock.Now().Before(b.nextProbe) {
		return false
	}
	b.probing = true
	return true
}

// done records whether the service responded to a call that allow permitted.
func (b *breaker) done(responded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if responded {
		b.failures = 0
		return
	}
	b.failures++
	b.nextProbe = b.clock.Now().Add(probeInterval)
}

// release ends a call without a result, for calls that the caller itself canceled.
func (b *breaker) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

func (b *breaker) open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= tripAfter
}
