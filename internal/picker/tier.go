package picker

import (
	"sync/atomic"

	"github.com/auburnwinch/auburnwinch/internal/eject"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// tierCount is the number of tiers: same VM, same failure domain, same region, other regions.
const tierCount = 4

// entry is one candidate with its counters.
type entry struct {
	candidate view.Candidate
	counters  *counters
	tier      int
}

// rated is an entry with the verdict on it.
type rated struct {
	*entry
	weight float64
}

// ranking arranges the candidates of one service by the verdicts of one snapshot.
type ranking struct {
	snapshot  *eject.Snapshot
	tiers     [tierCount][]rated
	probation []*entry
}

// service holds the candidates of one service in one view.
type service struct {
	entries []*entry
	ranking atomic.Pointer[ranking]
}

// fleet holds all services of one view.
type fleet struct {
	services map[string]*service
	counters map[model.TargetRef]*counters
}

func tierOf(self, other model.Node) int {
	switch {
	case self.Ref.ID == other.Ref.ID:
		return 0
	case self.Domain == other.Domain:
		return 1
	case self.Region == other.Region:
		return 2
	default:
		return 3
	}
}

func newFleet(v *view.View, old *fleet) *fleet {
	f := &fleet{services: make(map[string]*service), counters: make(map[model.TargetRef]*counters)}
	for _, s := range v.Services {
		built := &service{}
		for _, c := range s.Candidates {
			if c.Target.State == model.TargetServing {
				built.entries = append(built.entries, f.newEntry(v.Self, c, old))
			}
		}
		f.services[s.Spec.Name] = built
	}
	return f
}

func (f *fleet) newEntry(self model.Node, c view.Candidate, old *fleet) *entry {
	known := f.counters[c.Target.Ref]
	if known == nil && old != nil {
		known = old.counters[c.Target.Ref]
	}
	if known == nil {
		known = &counters{}
	}
	f.counters[c.Target.Ref] = known
	return &entry{candidate: c, counters: known, tier: tierOf(self, c.Node)}
}

// ranked returns the arrangement for the snapshot; two requests may build the same one at once, which is harmless.
func (s *service) ranked(snapshot *eject.Snapshot) *ranking {
	if r := s.ranking.Load(); r != nil && r.snapshot == snapshot {
		return r
	}
	r := &ranking{snapshot: snapshot}
	for _, e := range s.entries {
		v := snapshot.Verdict(e.candidate.Target.Ref)
		switch {
		case v.InService():
			r.tiers[e.tier] = append(r.tiers[e.tier], rated{entry: e, weight: v.Weight})
		case v.State == eject.StateProbation:
			r.probation = append(r.probation, e)
		}
	}
	s.ranking.Store(r)
	return r
}
