package edge

import (
	"sync"
	"time"
)

const (
	// logInterval is the minimum time between two log lines about the same event at the same agent. While a node is
	// down, every request to one of its targets fails the same way.
	logInterval = time.Second
	// maxLogKeys limits the entries of a logLimiter; a fleet of 670 agents has three events each.
	maxLogKeys = 4096
)

// logKey identifies an event at an agent.
type logKey struct {
	event   string
	address string
}

// logEntry holds the time of the latest log line about an event and the number of suppressed lines since then.
type logEntry struct {
	logged     time.Time
	suppressed int
}

// logLimiter limits the rate of log lines per event and agent.
type logLimiter struct {
	mu     sync.Mutex
	events map[logKey]logEntry
}

// allow reports whether the event may be logged, and how many lines about it were suppressed since the last one.
func (l *logLimiter) allow(now time.Time, key logKey) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.events[key]
	if found && now.Sub(known.logged) < logInterval {
		known.suppressed++
		l.events[key] = known
		return 0, false
	}
	if l.events == nil || len(l.events) >= maxLogKeys {
		l.events = make(map[logKey]logEntry)
	}
	l.events[key] = logEntry{logged: now}
	return known.suppressed, true
}
