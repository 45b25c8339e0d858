package picker

import (
	"sync/atomic"

	"github.com/auburnwinch/auburnwinch/internal/eject"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// tierCount is the number of tiers: same VM, same failure domain, same region, other regions.
const tierCount = 4

// The tiers beyond the failure domain.
const (
	regionTier = 2
	farTier    = 3
)

// entry is one candidate with its counters.
type entry struct {
	candidate *view.Candidate
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

// service holds the candidates of one service; views with the same part for it share it.
type service struct {
	source *view.Service
	// entries are sorted by target, as the candidates of a view are.
	entries []entry
	ranking atomic.Pointer[ranking]
}

// fleet holds all services of one view.
type fleet struct {
	self     model.Node
	services map[string]*service
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

// newFleet keeps the services of the old fleet whose part of the view is the same value.
func newFleet(v *view.View, old *fleet) *fleet {
	f := &fleet{self: v.Self, services: make(map[string]*service, len(v.Services))}
	for _, s := range v.Services {
		known := old.services[s.Spec.Name]
		if known == nil || known.source != s || old.self != v.Self {
			known = newService(v.Self, s, known)
		}
		f.services[s.Spec.Name] = known
	}
	return f
}

// newService takes over the counters of the targets that the old service has, which is nil for a new one.
func newService(self model.Node, source *view.Service, old *service) *service {
	s := &service{source: source, entries: make([]entry, 0, len(source.Candidates))}
	var known []entry
	if old != nil {
		known = old.entries
	}
	for i := range source.Candidates {
		c := &source.Candidates[i]
		if c.Target.State != model.TargetServing {
			continue
		}
		for len(known) > 0 && known[0].candidate.Target.Ref.Compare(c.Target.Ref) < 0 {
			known = known[1:]
		}
		s.entries = append(s.entries, entry{candidate: c, counters: s.countersOf(c.Target.Ref, known), tier: tierOf(self, c.Node)})
	}
	return s
}

// countersOf returns the counters of the first known entry, or those of the entry before when two nodes announce the
// target, or else new ones.
func (s *service) countersOf(ref model.TargetRef, known []entry) *counters {
	if len(known) > 0 && known[0].candidate.Target.Ref == ref {
		return known[0].counters
	}
	if n := len(s.entries); n > 0 && s.entries[n-1].candidate.Target.Ref == ref {
		return s.entries[n-1].counters
	}
	return &counters{}
}

// ranked returns the arrangement for the snapshot; two requests may build the same one at once, which is harmless.
func (s *service) ranked(snapshot *eject.Snapshot) *ranking {
	if r := s.ranking.Load(); r != nil && r.snapshot == snapshot {
		return r
	}
	r := &ranking{snapshot: snapshot}
	for i := range s.entries {
		e := &s.entries[i]
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
