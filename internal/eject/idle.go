package eject

import (
	"maps"
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// idleSweep is the interval between two searches for idle cells; each visits all of them, about 100,000 in a large
	// fleet.
	idleSweep = samplesMaxAge / 2
	// idleBatch is the number of targets that one collection visits, so that evaluation is not delayed: dropping 105,000
	// cells at once took 200 ms.
	idleBatch = 64
)

// IdleMsg reports that no request of the class was sent to the target for longer than samplesMaxAge.
type IdleMsg struct {
	Now    time.Time
	Target model.TargetRef
	Class  string
}

func (m IdleMsg) at() time.Time { return m.Now }

// releaseIdle frees the samples and keeps the baseline, which is small and takes minutes to learn.
func (m *Module) releaseIdle(msg IdleMsg) {
	if _, t := m.find(msg.Target); t != nil {
		if c := t.evidence.classes[msg.Class]; c != nil && m.now.Sub(c.lastAt) > samplesMaxAge {
			c.dropSamples()
			t.mediansStale = true
		}
	}
}

// dropIdle drops cells that no request used for longer than samplesMaxAge. A request that looked up its cell just
// before still reports through it, since the collection registers the cell again.
func (t *Tracker) dropIdle(now time.Time) {
	p := &t.index
	if len(p.unswept) == 0 && now.Sub(p.sweptAt) >= idleSweep {
		p.sweptAt = now
		p.unswept = slices.Collect(maps.Keys(p.byTarget))
	}
	n := min(len(p.unswept), idleBatch)
	for _, ref := range p.unswept[:n] {
		t.dropIdleOf(ref, now)
	}
	p.unswept = p.unswept[n:]
}

func (t *Tracker) dropIdleOf(ref model.TargetRef, now time.Time) {
	cells := slices.DeleteFunc(t.index.byTarget[ref], func(c *cell) bool {
		if now.Sub(c.usedAt) <= samplesMaxAge || c.queued.Load() {
			return false
		}
		c.registered = false
		t.cells.CompareAndDelete(c.key, c)
		t.module.Update(IdleMsg{Now: now, Target: ref, Class: c.key.class})
		return true
	})
	if t.index.byTarget[ref] = cells; len(cells) == 0 {
		delete(t.index.byTarget, ref)
	}
}
