package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/internal/timer"
)

const (
	// refreshDelay is the initial delay before a refresh. Regular propagation is faster, so a change that is already on
	// its way causes no extra call.
	refreshDelay = 150 * time.Millisecond
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

// schedule reports whether a refresh for the configuration number is due, and after which delay. The first one is delayed,
// so that regular propagation can deliver the configuration.
func (l *refreshBackoff) schedule(now time.Time, number uint64) (delay time.Duration, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case number > l.number:
		l.number, l.delay = number, refreshDelay
		l.next = now.Add(2 * l.delay)
		return l.delay, true
	case now.Before(l.next):
		return 0, false
	}
	l.delay = min(2*l.delay, maxRefreshDelay)
	l.next = now.Add(l.delay)
	return 0, true
}

// configurationTable is the operator's table with a bound on each long poll. It reports what the responses confirm, and is
// used by one watcher.
type configurationTable struct {
	roster.Table
	maxWait func() time.Duration
	// follows reports whether another node tells this one of newer configurations.
	follows func() bool
	// confirmedAt returns when the configuration in force was last known to be the newest one. A node that follows another one
	// looks at the store once that is longer ago than maxAge returns, whatever it has heard since.
	confirmedAt func() time.Time
	maxAge      func() time.Duration
	clock       timer.Service
	logger      log.Logger
	// apply puts rows in force, and confirm is called with a time at which the store had no newer ones.
	apply   func(roster.Page)
	confirm func(at time.Time)
	// asked is when the latest call began; its rows may not be applied yet.
	asked time.Time
}

// Read returns all rows.
func (t *configurationTable) Read(ctx context.Context) (roster.Page, error) {
	t.asked = t.clock.Now()
	return t.Table.Read(ctx)
}

// Watch waits for rows that changed after the version. The store ends a call without changes after the wait. A node that
// others tell of changes does not wait at the store, which would cost a call for each change and node; it only looks there
// at the end of the wait, or as soon as the others have not confirmed for long that the configuration is the newest one: they
// may be frozen, or cut off from the store.
func (t *configurationTable) Watch(ctx context.Context, after uint64, wait time.Duration) (roster.Page, error) {
	wait = min(wait, t.maxWait())
	if wait > 0 && t.follows() {
		if !t.awaitLook(ctx, wait) {
			return roster.Page{}, ctx.Err()
		}
		wait = 0
	}
	t.asked = t.clock.Now()
	page, err := t.Table.Watch(ctx, after, wait)
	if err == nil && len(page.Rows) == 0 {
		end := t.asked.Add(wait)
		if now := t.clock.Now(); now.Before(end) {
			end = now
		}
		t.confirm(end)
	}
	return page, err
}

// awaitLook waits until the configuration needs a confirmation by the store, at most for the time; it returns false if the
// context ends first.
func (t *configurationTable) awaitLook(ctx context.Context, most time.Duration) bool {
	for end := t.clock.Now().Add(most); ; {
		known := t.confirmedAt()
		if t.asked.After(known) {
			known = t.asked // Otherwise a confirmation that does not count would let the node call without pause.
		}
		now, doubtful := t.clock.Now(), known.Add(t.maxAge())
		switch {
		case !now.Before(end):
			return true
		case !now.Before(doubtful):
			_ = level.Info(t.logger).Log("msg", "configuration not confirmed by the followed node", "age", now.Sub(known))
			return true
		case doubtful.After(end):
			doubtful = end
		}
		if !timer.Sleep(ctx, doubtful.Sub(now)) {
			return false
		}
	}
}

// onRows applies the rows of the latest call.
func (t *configurationTable) onRows(p roster.Page) {
	t.apply(p)
	t.confirm(t.asked)
}
