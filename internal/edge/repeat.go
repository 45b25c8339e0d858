package edge

import (
	"sync"
	"time"
)

const (
	// repeatInterval is the time between two lines about the same event at the same agent. While a node is down, every
	// request that chooses one of its targets fails alike.
	repeatInterval = time.Second
	// maxRepeats bounds the kinds of events that are remembered; a fleet of 670 agents has three each.
	maxRepeats = 4096
)

// repeatKey names an event at an agent.
type repeatKey struct {
	event   string
	address string
}

// repeat is the latest line about an event and the events since then.
type repeat struct {
	logged     time.Time
	suppressed int
}

// repeats decides which events get a line of the log.
type repeats struct {
	mu     sync.Mutex
	events map[repeatKey]repeat
}

// next reports whether the event gets a line, and how many events of its kind went without one before it.
func (r *repeats) next(now time.Time, key repeatKey) (suppressed int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.events[key]
	if found && now.Sub(known.logged) < repeatInterval {
		known.suppressed++
		r.events[key] = known
		return 0, false
	}
	if r.events == nil || len(r.events) >= maxRepeats {
		r.events = make(map[repeatKey]repeat)
	}
	r.events[key] = repeat{logged: now}
	return known.suppressed, true
}
