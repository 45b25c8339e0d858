package feed

import (
	"context"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/roster"
)

const (
	// lookTimeout bounds a look at the store for another node, which waits for responseSlack, and one between two calls to
	// another node; lookPause is the time without looks after one that failed.
	lookTimeout = 300 * time.Millisecond
	lookPause   = time.Second
)

// maxRowAge returns how old the rows of another node may be for this one: as old as its process, until it has read such rows,
// and zero afterwards.
func (t *Table) maxRowAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.domainKnown {
		return 0
	}
	return max(1, now.Sub(t.createdAt))
}

// look asks the store for changes unless the rows hold all up to the time. It fails silently, as the rows tell how recent they
// are.
func (t *Table) look(since time.Time) {
	t.lookMu.Lock()
	defer t.lookMu.Unlock()
	asked, after := t.config.Clock.Now(), t.cache.position()
	if !t.cache.isReading() || t.cache.recentSince(since) || asked.Before(t.nextLook) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	t.storeCalls.Add(1)
	page, err := t.config.Store.Watch(ctx, after.version, 0)
	if err != nil || page.Era != after.era {
		t.nextLook = t.config.Clock.Now().Add(lookPause)
		return
	}
	page.AsOf = asked
	t.cache.mergeMore(page)
}

// retryDomain reads the failure domain directly if the followed node has not provided recent rows: it may not reach the store, or
// run a build that does not tell.
func (t *Table) retryDomain(ctx context.Context) {
	t.mu.Lock()
	now := t.config.Clock.Now()
	due := !t.domainKnown && !now.Before(t.nextDomainRead)
	if due {
		t.nextDomainRead = now.Add(lookPause)
	}
	t.mu.Unlock()
	if due {
		ctx, cancel := context.WithTimeout(ctx, lookTimeout)
		defer cancel()
		t.findPeers(ctx)
	}
}

// learnDomain reports the rows of the failure domain once they are more recent than the table.
func (t *Table) learnDomain() {
	if t.cache.recentSince(t.createdAt) {
		t.domainRead(t.cache.partitionRows(t.config.Domain))
	}
}

// domainRead reports rows of the failure domain that are more recent than the table, unless that was done before.
func (t *Table) domainRead(rows []roster.Row) {
	t.mu.Lock()
	before := t.domainKnown
	t.domainKnown = true
	t.mu.Unlock()
	if !before && t.config.OnDomainRows != nil {
		t.config.OnDomainRows(rows)
	}
}
