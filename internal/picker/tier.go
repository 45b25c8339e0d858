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
	remoteTier = 3
)

// entry is one candidate with its counters.
type entry struct {
	candidate *view.Candidate
	counters  *counters
	tier      int
}

// weightedEntry is an entry with the weight that its verdict gives it.
type weightedEntry struct {
	*entry
	weight float64
}

// ranking groups the candidates of one service by the verdicts of one snapshot.
type ranking struct {
	snapshot  *eject.Snapshot
	tiers     [tierCount][]weightedEntry
	probation []*entry
}

// service holds the candidates of one service; views share it as long as their data for the service is the same.
type service struct {
	source *view.Service
	// entries are sorted by target, like the candidates of a view.
	entries []entry
	ranking atomic.Pointer[ranking]
}

// serviceSet holds all services of one view.
type serviceSet struct {
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

// newServiceSet reuses the services of the old set whose data in the view is the same value.
func newServiceSet(v *view.View, old *serviceSet, kept map[model.TargetRef]keptCounters) *serviceSet {
	set := &serviceSet{self: v.Self, services: make(map[string]*service, len(v.Services))}
	for _, s := range v.Services {
		known := old.services[s.Spec.Name]
		if known == nil || known.source != s || old.self != v.Self {
			known = newService(v.Self, s, known, kept)
		}
		set.services[s.Spec.Name] = known
	}
	return set
}

// newService keeps the counters of the targets that the old service has, and those that are kept for their notice; old is
// nil for a new service.
func newService(self model.Node, source *view.Service, old *service, kept map[model.TargetRef]keptCounters) *service {
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
		s.entries = append(s.entries, entry{candidate: c, counters: s.countersOf(c.Target.Ref, known, kept), tier: tierOf(self, c.Node)})
	}
	return s
}

// countersOf returns the kept counters, those of the first known entry, or those of the previous entry if two nodes announce
// the target, or else new ones.
func (s *service) countersOf(ref model.TargetRef, known []entry, kept map[model.TargetRef]keptCounters) *counters {
	if k, found := kept[ref]; found {
		return k.counters
	}
	if len(known) > 0 && known[0].candidate.Target.Ref == ref {
		return known[0].counters
	}
	if n := len(s.entries); n > 0 && s.entries[n-1].candidate.Target.Ref == ref {
		return s.entries[n-1].counters
	}
	return &counters{}
}

// ranked returns the ranking for the snapshot. Concurrent requests may build the same ranking, which is harmless.
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
			r.tiers[e.tier] = append(r.tiers[e.tier], weightedEntry{entry: e, weight: v.Weight})
		case v.State == eject.StateProbation:
			r.probation = append(r.probation, e)
		}
	}
	s.ranking.Store(r)
	return r
}
