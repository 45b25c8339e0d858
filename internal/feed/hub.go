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

// hub holds the rows of the table as this node knows them. It is safe for concurrent use.
type hub struct {
	mu      sync.Mutex
	rows    map[rowKey]roster.Row
	version uint64
	// base is the version from which on all deletions are known.
	base uint64
	// reading tells that the rows come straight from the store.
	reading bool
	closed  bool
	// changed is closed at each change of the fields above.
	changed chan struct{}
}

type rowKey struct{ part, key string }

func newHub() *hub {
	return &hub{rows: make(map[rowKey]roster.Row), changed: make(chan struct{})}
}

// take adds a page; rows that are older than the known ones change nothing.
func (h *hub) take(p roster.Page, reading bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fresh := reading != h.reading || p.Version > h.version
	if p.Whole {
		h.replace(p)
		fresh = true
	}
	for _, row := range p.Rows {
		key := rowKey{row.Part, row.Key}
		if row.Version > h.rows[key].Version {
			h.rows[key] = row
		}
	}
	h.version, h.reading = max(h.version, p.Version), reading
	if fresh {
		h.announce()
	}
}

// replace forgets the rows that a whole page lacks.
func (h *hub) replace(p roster.Page) {
	present := make(map[rowKey]bool, len(p.Rows))
	for _, row := range p.Rows {
		present[rowKey{row.Part, row.Key}] = true
	}
	for key, row := range h.rows {
		if !present[key] && row.Version <= p.Version {
			delete(h.rows, key)
		}
	}
	h.base = max(h.base, p.Version)
}

// stopReading tells the followers that the rows no longer come straight from the store.
func (h *hub) stopReading() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reading {
		h.reading = false
		h.announce()
	}
}

// close refuses followers from now on.
func (h *hub) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.announce()
}

func (h *hub) announce() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// wait returns the rows that changed after the version as soon as there are any, or an empty page after the time. It fails
// with ErrNotReading as soon as this node does not read the store.
func (h *hub) wait(ctx context.Context, after uint64, most time.Duration) (roster.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for {
		page, changed, err := h.since(after)
		if err != nil || page.Whole || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-ctx.Done():
			return page, nil
		case <-changed:
		}
	}
}

// since returns the changes after the version. They are a whole page when deletions may lie between.
func (h *hub) since(after uint64) (roster.Page, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.reading || h.closed {
		return roster.Page{}, nil, ErrNotReading
	}
	page := roster.Page{Version: max(after, h.version), Whole: after < h.base}
	for _, row := range h.rows {
		if page.Whole && !row.Deleted || !page.Whole && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b roster.Row) int { return cmp.Compare(a.Version, b.Version) })
	return page, h.changed, nil
}

// domainRows returns the rows of a part.
func (h *hub) domainRows(part string) []roster.Row {
	h.mu.Lock()
	defer h.mu.Unlock()
	var rows []roster.Row
	for key, row := range h.rows {
		if key.part == part && !row.Deleted {
			rows = append(rows, row)
		}
	}
	return rows
}
