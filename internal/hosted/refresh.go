package hosted

import (
	"sync"
	"time"
)

const (
	// lookPause is the time between two calls to the store for a configuration that another node has. The usual way takes
	// less than that, so that a change that is under way causes no call.
	lookPause = 300 * time.Millisecond
	// lookPauseMost bounds the pause, which doubles with each call that brings nothing newer: a store that turns this node
	// away does so for seconds, and a refused call costs as much as any other.
	lookPauseMost = 5 * time.Second
)

// looks spaces the calls to the store for a configuration that another node has.
type looks struct {
	mu     sync.Mutex
	number uint64
	next   time.Time
	pause  time.Duration
}

// due reports whether a call may be made now for the number; the first one waits for the usual way.
func (l *looks) due(now time.Time, number uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case number > l.number:
		l.number, l.pause = number, lookPause
		l.next = now.Add(l.pause)
		return false
	case now.Before(l.next):
		return false
	}
	l.pause = min(2*l.pause, lookPauseMost)
	l.next = now.Add(l.pause)
	return true
}
