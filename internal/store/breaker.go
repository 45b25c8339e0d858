package store

import (
	"sync"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/timer"
)

const (
	// tripAfter is the number of failed calls in a row after which a service counts as away.
	tripAfter = 3
	// probeInterval separates the calls that are let through while a service is away.
	// One call of at most 4 s per interval costs a node next to nothing, and a ticket filed right after the outage
	// still reaches a reader within seconds.
	probeInterval = 2 * time.Second
)

// breaker fails calls at once while a service is away, but for one probe per interval.
type breaker struct {
	clock timer.Service

	mu       sync.Mutex
	failures int
	probing  bool
	nextTry  time.Time
}

// allow reports whether a call may go out; the caller reports its result by done.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < tripAfter {
		return true
	}
	if b.probing || b.clock.Now().Before(b.nextTry) {
		return false
	}
	b.probing = true
	return true
}

// done records the result of a call that allow let through.
func (b *breaker) done(answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if answered {
		b.failures = 0
		return
	}
	b.failures++
	b.nextTry = b.clock.Now().Add(probeInterval)
}

// release takes back a permit of allow without a result, for calls that the caller itself gave up.
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
