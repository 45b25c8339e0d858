package feed

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/roster"
)

// ErrNotReading means that a node does not read the store itself, so that following it would only add delay.
var ErrNotReading = eris.New("the node does not read the store at present; ask another one or the store")

// rowCache holds the rows of the table as known to this node. It is safe for concurrent use.
type rowCache struct {
	mu      sync.Mutex
	rows    map[rowKey]roster.Row
	version uint64
	// minDeltaVersion is the version from which all deletions are known; followers of an older version need a whole page.
	minDeltaVersion uint64
	// reading tells that the rows come directly from the store.
	reading bool
	closed  bool
	// changed is closed and replaced at each change of the fields above.
	changed chan struct{}
}

type rowKey struct{ partition, key string }

func newRowCache() *rowCache {
	return &rowCache{rows: make(map[rowKey]roster.Row), changed: make(chan struct{})}
}

// merge adds a page; rows that are older than the known ones are ignored.
func (c *rowCache) merge(p roster.Page, reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := reading != c.reading || p.Version > c.version
	if p.Whole {
		c.removeMissing(p)
		fresh = true
	}
	for _, row := range p.Rows {
		key := rowKey{row.Part, row.Key}
		if row.Version > c.rows[key].Version {
			c.rows[key] = row
		}
	}
	c.version, c.reading = max(c.version, p.Version), reading
	if fresh {
		c.notify()
	}
}

// removeMissing deletes the rows that a whole page does not contain.
func (c *rowCache) removeMissing(p roster.Page) {
	present := make(map[rowKey]bool, len(p.Rows))
	for _, row := range p.Rows {
		present[rowKey{row.Part, row.Key}] = true
	}
	for key, row := range c.rows {
		if !present[key] && row.Version <= p.Version {
			delete(c.rows, key)
		}
	}
	c.minDeltaVersion = max(c.minDeltaVersion, p.Version)
}

// stopReading tells the followers that the rows no longer come directly from the store.
func (c *rowCache) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		c.reading = false
		c.notify()
	}
}

// close refuses followers from now on.
func (c *rowCache) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.notify()
}

func (c *rowCache) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// wake makes the followers check again whether there is news for them.
func (c *rowCache) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notify()
}

// wait returns the rows that changed after the version as soon as there are any, or an empty page after the timeout or as
// soon as there is other news. It fails with ErrNotReading as soon as this node does not read the store.
func (c *rowCache) wait(ctx context.Context, after uint64, timeout time.Duration, news func() bool) (roster.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		page, changed, err := c.since(after)
		if err != nil || page.Whole || len(page.Rows) > 0 || news() {
			return page, err
		}
		select {
		case <-ctx.Done():
			return page, nil
		case <-changed:
		}
	}
}

// since returns the changes after the version, as a whole page if deletions since then may be unknown.
func (c *rowCache) since(after uint64) (roster.Page, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading || c.closed {
		return roster.Page{}, nil, ErrNotReading
	}
	page := roster.Page{Version: max(after, c.version), Whole: after < c.minDeltaVersion}
	for _, row := range c.rows {
		if page.Whole && !row.Deleted || !page.Whole && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b roster.Row) int { return cmp.Compare(a.Version, b.Version) })
	return page, c.changed, nil
}

// allRows returns the rows that are not deleted.
func (c *rowCache) allRows() []roster.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := make([]roster.Row, 0, len(c.rows))
	for _, row := range c.rows {
		if !row.Deleted {
			rows = append(rows, row)
		}
	}
	return rows
}

// partitionRows returns the rows of one partition of the table that are not deleted.
func (c *rowCache) partitionRows(partition string) []roster.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rows []roster.Row
	for key, row := range c.rows {
		if key.partition == partition && !row.Deleted {
			rows = append(rows, row)
		}
	}
	return rows
}
