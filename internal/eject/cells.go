package eject

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// cellIndex groups the cells by target, so that the cells of a removed target are found without visiting all cells.
type cellIndex struct {
	byTarget map[model.TargetRef][]*cell
	// unannounced holds the targets that were not announced when a request used them.
	unannounced map[model.TargetRef]struct{}
	// unswept holds the targets whose cells the current search for idle cells has not yet visited; the search began at
	// sweptAt.
	unswept []model.TargetRef
	sweptAt time.Time
}

func newCellIndex() cellIndex {
	return cellIndex{byTarget: make(map[model.TargetRef][]*cell), unannounced: make(map[model.TargetRef]struct{})}
}

// register indexes a cell created by a request; the request path takes no lock, so this is done during collection.
func (t *Tracker) register(c *cell) {
	if c.registered {
		return
	}
	c.registered = true
	ref := c.key.target
	t.index.byTarget[ref] = append(t.index.byTarget[ref], c)
	if !t.announced(ref) {
		t.index.unannounced[ref] = struct{}{}
	}
}

// registerTouched registers the cells that wait for the next collection; only collect removes cells from that list.
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

// drop deletes the cells of a removed target; requests still in flight there are no longer reported.
func (t *Tracker) drop(ref model.TargetRef) {
	for _, c := range t.index.byTarget[ref] {
		c.dropped.Store(true)
		t.cells.CompareAndDelete(c.key, c)
	}
	delete(t.index.byTarget, ref)
}

// dropUnannounced drops the cells of targets that are still not announced.
func (t *Tracker) dropUnannounced() {
	for ref := range t.index.unannounced {
		if !t.announced(ref) {
			t.drop(ref)
		}
	}
	clear(t.index.unannounced)
}
