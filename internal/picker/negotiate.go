package picker

import (
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// quickAsks is the number of agents that are asked for a free slot before the request queues at one, and farAsks that of
// those in other regions: an ask costs a round trip, and bytes where they are dearest.
const (
	quickAsks = 5
	farAsks   = 2
)

const (
	// askCost is what one more ask is worth in waiting time: about a round trip in the region.
	askCost = 10 * time.Millisecond
	// crossingShare bounds what locality may cost a caller, as a share of the objective of the request.
	crossingShare = 4
	kilobyte      = 1 << 10
)

// crossingCost is the wait that a request should rather take than send a kilobyte over the way to a tier. Links between
// regions are paid by volume at twice the price of those between failure domains.
var crossingCost = [tierCount]time.Duration{0, 0, 20 * time.Millisecond, 40 * time.Millisecond}

// negotiate proposes the nearest target that seems to have room, without patience. It proposes to wait at a target that has
// refused when that costs the caller less than the way to the next one, or when enough were asked. Last comes a target
// that is probably sick or behind a failed path: a doubtful chance serves a caller better than a refusal.
func (p *Picker) negotiate(s *service, r Request, now time.Time) (Choice, error) {
	wait, forced := s.pickWait(r, now)
	if len(r.Refused) < quickAsks {
		if e := p.pickRoom(s, r, now); e != nil && (wait == nil || forced || r.crossing(e.tier)+askCost < s.waitCost(wait, r)) {
			return p.choose(Choice{entry: e}), nil
		}
	}
	if wait != nil {
		return p.choose(Choice{entry: wait, Patience: r.Left, Forced: forced}), nil
	}
	if e := s.pickUnasked(r, now); e != nil {
		return p.choose(Choice{entry: e, Patience: r.Left, Forced: true}), nil
	}
	return Choice{}, &NoTargetError{Service: r.Service}
}

// crossing is what the way to a tier costs in waiting time.
func (r Request) crossing(tier int) time.Duration {
	objective := r.Objective
	if objective <= 0 {
		objective = r.Left
	}
	cost := time.Duration(float64(crossingCost[tier]) * float64(r.Bytes) / kilobyte)
	return min(cost, objective/crossingShare)
}

// waitCost is the wait at a target that has refused the request, and the way to it.
func (s *service) waitCost(e *entry, r Request) time.Duration {
	for _, refused := range r.Refused {
		if refused.Target == e.candidate.Target.Ref {
			return refused.Wait + r.crossing(e.tier)
		}
	}
	return r.crossing(e.tier)
}

func (p *Picker) choose(c Choice) Choice {
	c.Candidate = *c.entry.candidate
	c.entry.counters.inFlight.Add(1)
	return c
}

// pickRoom returns the better of two random targets with room in the nearest tier that has any.
func (p *Picker) pickRoom(s *service, r Request, now time.Time) *entry {
	var tiers [tierCount][]rated
	far := s.farRefusals(r) >= farAsks
	for i := range s.entries {
		e := &s.entries[i]
		trust := &e.counters.trust
		// Only requests from nearby try whether a sick target has recovered.
		mayTry := r.Idempotent && e.tier < regionTier
		if r.excludes(e) || r.refusedBy(e) || !trust.pathOpen(now) || !trust.mayAsk(now, mayTry) || !e.spare(1, now) ||
			far && e.tier == farTier {
			continue
		}
		tiers[e.tier] = append(tiers[e.tier], rated{entry: e, weight: 1})
	}
	for _, tier := range tiers {
		if len(tier) > 0 {
			return p.better(tier, Request{}, now)
		}
	}
	return nil
}

// pickWait returns the target that refused with the shortest wait. Only when no sound one is left, it returns one that is
// probably sick, whose agent must be asked with force.
func (s *service) pickWait(r Request, now time.Time) (best *entry, forced bool) {
	var bestCost time.Duration
	for _, refused := range r.Refused {
		e := s.find(refused.Target)
		if e == nil || r.excludes(e) || !e.counters.trust.pathOpen(now) || !refused.Sick && refused.Wait > r.Left {
			continue
		}
		cost := refused.Wait + r.crossing(e.tier)
		if best == nil || forced && !refused.Sick || forced == refused.Sick && cost < bestCost {
			best, bestCost, forced = e, cost, refused.Sick
		}
	}
	return best, forced
}

func (s *service) farRefusals(r Request) int {
	n := 0
	for _, refused := range r.Refused {
		if e := s.find(refused.Target); e != nil && e.tier == farTier {
			n++
		}
	}
	return n
}

// pickUnasked returns the nearest target that was not asked, whatever is known of it. One whose path is open comes before
// one whose path has failed.
func (s *service) pickUnasked(r Request, now time.Time) *entry {
	var best *entry
	bestOpen := false
	for i := range s.entries {
		e := &s.entries[i]
		if r.excludes(e) || r.refusedBy(e) {
			continue
		}
		open := e.counters.trust.pathOpen(now)
		if best == nil || open && !bestOpen || open == bestOpen && e.tier < best.tier {
			best, bestOpen = e, open
		}
	}
	return best
}

// PathFailed avoids the target for a while, because the connection to its agent failed.
func (p *Picker) PathFailed(ref model.TargetRef) {
	if e := p.find(ref); e != nil {
		e.counters.trust.pathFailed(p.config.Now())
	}
}

// PathWorks ends the avoidance, because the agent has answered.
func (p *Picker) PathWorks(ref model.TargetRef) {
	if e := p.find(ref); e != nil {
		e.counters.trust.pathWorks()
	}
}

// Rest avoids a target that its agent calls sick.
func (p *Picker) Rest(ref model.TargetRef, wait time.Duration) {
	if e := p.find(ref); e != nil {
		e.counters.trust.rest(p.config.Now(), wait)
	}
}

func (p *Picker) find(ref model.TargetRef) *entry {
	if s := p.fleet.Load().services[ref.Service]; s != nil {
		return s.find(ref)
	}
	return nil
}

func (s *service) find(ref model.TargetRef) *entry {
	i, found := slices.BinarySearchFunc(s.entries, ref, func(e entry, ref model.TargetRef) int {
		return e.candidate.Target.Ref.Compare(ref)
	})
	if !found {
		return nil
	}
	return &s.entries[i]
}

func (r Request) refusedBy(e *entry) bool {
	return slices.ContainsFunc(r.Refused, func(f Refused) bool { return f.Target == e.candidate.Target.Ref })
}
