package eject

import (
	"maps"
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// idleSweep is the time between two searches for idle pairs; each visits all of them, some 100,000 in a large fleet.
	idleSweep = samplesMaxAge / 2
	// idleBatch is the number of targets that one collection visits, so that the judgement is not held up: to drop
	// 105,000 pairs at once took 200 ms.
	idleBatch = 64
)

// IdleMsg reports that no request of the class reached the target for longer than samples count.
type IdleMsg struct {
	Now    time.Time
	Target model.TargetRef
	Class  string
}

func (m IdleMsg) at() time.Time { return m.Now }

// releaseIdle frees the samples and keeps the baseline, which is learned in minutes and small.
func (m *Module) releaseIdle(msg IdleMsg) {
	if _, t := m.find(msg.Target); t != nil {
		if c := t.evidence.classes[msg.Class]; c != nil && m.now.Sub(c.lastAt) > samplesMaxAge {
			c.release()
			t.unread = true
		}
	}
}

// dropIdle forgets cells that no request used for longer than samples count. A request that found its cell just before
// still reports by it, since the collection registers the cell again.
func (t *Tracker) dropIdle(now time.Time) {
	p := &t.pairs
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
	cells := slices.DeleteFunc(t.pairs.byTarget[ref], func(c *cell) bool {
		if now.Sub(c.usedAt) <= samplesMaxAge || c.queued.Load() {
			return false
		}
		c.registered = false
		t.cells.CompareAndDelete(c.key, c)
		t.module.Update(IdleMsg{Now: now, Target: ref, Class: c.key.class})
		return true
	})
	if t.pairs.byTarget[ref] = cells; len(cells) == 0 {
		delete(t.pairs.byTarget, ref)
	}
}
