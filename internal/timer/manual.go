package timer

import (
	"sync"
	"time"
)

// Manual is a service for tests whose time changes only when Advance is called.
type Manual struct {
	mu            sync.Mutex
	now           time.Time
	subscriptions map[*manualSubscription]struct{}
}

type manualSubscription struct {
	interval time.Duration
	next     time.Time
	ch       chan time.Time
}

// NewManual returns a service whose time is initially start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, subscriptions: make(map[*manualSubscription]struct{})}
}

// Now returns the current manual time.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Subscribe delivers at most one tick per call of Advance, when the interval has passed.
func (m *Manual) Subscribe(interval time.Duration) *Subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &manualSubscription{interval: interval, next: m.now.Add(interval), ch: make(chan time.Time, 1)}
	m.subscriptions[s] = struct{}{}
	return &Subscription{C: s.ch, stop: func() { m.remove(s) }}
}

// Advance moves the time forward and delivers the ticks that are due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for s := range m.subscriptions {
		s.deliver(m.now)
	}
}

func (m *Manual) remove(s *manualSubscription) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.subscriptions, s)
}

func (s *manualSubscription) deliver(now time.Time) {
	if now.Before(s.next) {
		return
	}
	for !s.next.After(now) {
		s.next = s.next.Add(s.interval)
	}
	select {
	case s.ch <- now:
	default:
	}
}
