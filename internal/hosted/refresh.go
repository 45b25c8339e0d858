package hosted

import (
	"sync"
	"time"
)

const (
	// refreshDelay is the initial delay before a refresh. Regular propagation is faster, so a change that is already on
	// its way causes no extra call.
	refreshDelay = 300 * time.Millisecond
	// maxRefreshDelay bounds the delay, which doubles with each refresh that returns nothing newer. A store that
	// refuses this node does so for seconds, and a refused call costs as much as any other.
	maxRefreshDelay = 5 * time.Second
)

// refreshBackoff limits the calls to the store for a newer configuration that another node has reported.
type refreshBackoff struct {
	mu     sync.Mutex
	number uint64
	next   time.Time
	delay  time.Duration
}

// allow reports whether a refresh for the configuration number may run now. The first one is delayed, so that regular
// propagation can deliver the configuration.
func (l *refreshBackoff) allow(now time.Time, number uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case number > l.number:
		l.number, l.delay = number, refreshDelay
		l.next = now.Add(l.delay)
		return false
	case now.Before(l.next):
		return false
	}
	l.delay = min(2*l.delay, maxRefreshDelay)
	l.next = now.Add(l.delay)
	return true
}
