package feed

import (
	"cmp"
	"context"
	"maps"
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
	// era is the era of the store from which the rows are.
	era uint64
	// forgotten holds the rows of earlier eras that the store has lost; a later record of the node replaces them.
	forgotten map[rowKey]roster.Row
	// minDeltaVersion is the version from which all deletions are known; followers of an older version need a whole page.
	minDeltaVersion uint64
	// asOf is a time up to which the rows hold all changes.
	asOf time.Time
	// reading tells that the rows come directly from the store.
	reading bool
	closed  bool
	// changed is closed and replaced at each change of the fields above.
	changed chan struct{}
}

type rowKey struct{ partition, key string }

// position is how far a follower has read.
type position struct{ era, version uint64 }

func newRowCache() *rowCache {
	return &rowCache{
		rows: make(map[rowKey]roster.Row), forgotten: make(map[rowKey]roster.Row), changed: make(chan struct{}),
	}
}

// merge adds a page; rows that are older than the known ones are ignored. A page of a later era must be whole.
func (c *rowCache) merge(p roster.Page, reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mergeLocked(p, reading)
}

// mergeMore adds a page that was read beside those of the source of this node.
func (c *rowCache) mergeMore(p roster.Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mergeLocked(p, c.reading)
}

func (c *rowCache) mergeLocked(p roster.Page, reading bool) {
	if p.Era < c.era || p.Era > c.era && !p.Whole {
		p = roster.Page{} // It only shows that the source responds.
	}
	fresh := reading != c.reading || p.Version > c.version
	if p.Whole {
		if p.Era > c.era {
			c.beginEra(p)
		}
		c.removeMissing(p)
		fresh = true
	}
	for _, row := range p.Rows {
		c.add(row)
	}
	c.version, c.reading = max(c.version, p.Version), reading
	if p.AsOf.After(c.asOf) {
		c.asOf = p.AsOf
	}
	if fresh {
		c.notify()
	}
}

// beginEra keeps the rows that are not in the whole page of a later era, or are there in an older state.
func (c *rowCache) beginEra(p roster.Page) {
	for key, row := range c.rows {
		if row.Deleted {
			continue
		}
		row.Forgotten = true
		c.forgotten[key] = row // The rows of the page replace it unless they are older.
	}
	clear(c.rows)
	c.era, c.version, c.minDeltaVersion = p.Era, 0, 0
}

// add adds a row unless a later one is known.
func (c *rowCache) add(row roster.Row) {
	key := rowKey{row.Part, row.Key}
	known, kept := c.forgotten[key]
	switch {
	case row.Forgotten:
		if stored, found := c.rows[key]; (!kept || row.Supersedes(known)) && (!found || !stored.Covers(row)) {
			c.forgotten[key] = row
		}
		return
	case row.Version <= c.rows[key].Version:
		return
	case kept && (row.Deleted || row.Covers(known)):
		delete(c.forgotten, key)
	}
	c.rows[key] = row
}

// forgottenRows returns the rows that the store has lost.
func (c *rowCache) forgottenRows() []roster.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.forgotten))
}

// isReading reports whether the rows come directly from the store.
func (c *rowCache) isReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading
}

// recentSince reports whether the rows hold all changes up to the time.
func (c *rowCache) recentSince(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.asOf.Before(at)
}

// position returns how far the rows have been read.
func (c *rowCache) position() position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return position{era: c.era, version: c.version}
}

// eraOf returns the era of the rows.
func (c *rowCache) eraOf() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}

// removeMissing deletes the rows that a whole page does not contain.
func (c *rowCache) removeMissing(p roster.Page) {
	present := make(map[rowKey]bool, len(p.Rows))
	for _, row := range p.Rows {
		if !row.Forgotten {
			present[rowKey{row.Part, row.Key}] = true
		}
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
func (c *rowCache) wait(ctx context.Context, after position, timeout time.Duration, news func() bool) (roster.Page, error) {
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

// since returns the changes after the position, as a whole page if deletions since then may be unknown. A follower that has heard
// of a later era than this node must ask another one.
func (c *rowCache) since(after position) (roster.Page, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading || c.closed || after.era > c.era {
		return roster.Page{}, nil, ErrNotReading
	}
	anew := after.era < c.era
	page := roster.Page{Version: max(after.version, c.version), Whole: anew || after.version < c.minDeltaVersion, Era: c.era, AsOf: c.asOf}
	if anew {
		page.Version = c.version
	}
	for _, row := range c.rows {
		if page.Whole && !row.Deleted || !page.Whole && row.Version > after.version {
			page.Rows = append(page.Rows, row)
		}
	}
	if page.Whole || after.version == 0 {
		for _, row := range c.forgotten {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b roster.Row) int { return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.Version, b.Version)) })
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

// partitionRows returns the rows of one partition of the table that are not deleted, each in its latest known state.
func (c *rowCache) partitionRows(partition string) []roster.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rows []roster.Row
	for key, row := range c.rows {
		if kept, found := c.forgotten[key]; key.partition == partition && !row.Deleted && (!found || !kept.Supersedes(row)) {
			rows = append(rows, row)
		}
	}
	for key, row := range c.forgotten {
		if key.partition == partition && (c.rows[key].Version == 0 || row.Supersedes(c.rows[key])) {
			rows = append(rows, row)
		}
	}
	return rows
}
