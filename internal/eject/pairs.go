package eject

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// pairs lists the cells by target, so that those of a target that left are found without a visit to all cells.
type pairs struct {
	byTarget map[model.TargetRef][]*cell
	// unknown holds the targets that were not announced when a request used them.
	unknown map[model.TargetRef]struct{}
	// unswept holds the targets whose cells the current search for idle ones has not visited; it began at sweptAt.
	unswept []model.TargetRef
	sweptAt time.Time
}

func newPairs() pairs {
	return pairs{byTarget: make(map[model.TargetRef][]*cell), unknown: make(map[model.TargetRef]struct{})}
}

// register adds a cell that requests have created; the request path takes no lock, so the collection does it.
func (t *Tracker) register(c *cell) {
	if c.registered {
		return
	}
	c.registered = true
	ref := c.key.target
	t.pairs.byTarget[ref] = append(t.pairs.byTarget[ref], c)
	if !t.announced(ref) {
		t.pairs.unknown[ref] = struct{}{}
	}
}

// registerTouched registers the cells that wait for the next collection; only a collection takes cells from that list.
func (t *Tracker) registerTouched() {
	for c := t.touched.Load(); c != nil; c = c.next {
		if !c.dropped.Load() {
			t.register(c)
		}
	}
}

func (t *Tracker) announced(ref model.TargetRef) bool {
	_, found := t.module.find(ref)
	return found != nil
}

// drop forgets the cells of a target that left; requests in flight there are no longer reported.
func (t *Tracker) drop(ref model.TargetRef) {
	for _, c := range t.pairs.byTarget[ref] {
		c.dropped.Store(true)
		t.cells.CompareAndDelete(c.key, c)
	}
	delete(t.pairs.byTarget, ref)
}

// dropUnknown drops the targets that are still not announced.
func (t *Tracker) dropUnknown() {
	for ref := range t.pairs.unknown {
		if !t.announced(ref) {
			t.drop(ref)
		}
	}
	clear(t.pairs.unknown)
}
