package picker

import (
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/view"
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
	// longWaitShare is the part of the objective from which a wait counts as long.
	longWaitShare = 4
	// usefulChance is the chance from which a doubtful target is tried instead of a long wait.
	usefulChance = 0.7
	kilobyte     = 1 << 10
)

// MinSuccessRatio is the chance from which a resting target takes a request that no other target has room for. Below it, the
// request would mostly fail after it ran, where a refusal lets its caller come back.
const MinSuccessRatio = 0.3

// crossingCost is the wait that a request should rather take than send a kilobyte over the way to a tier. Links between
// regions are paid by volume at twice the price of those between failure domains.
var crossingCost = [tierCount]time.Duration{0, 0, 20 * time.Millisecond, 40 * time.Millisecond}

// negotiate proposes the nearest target that seems to have room, without patience. It proposes to wait at a target that has
// refused when that costs the caller less than the way to the next one, or when enough were asked; then at one that is only
// believed to be full. Last come targets that are probably sick but serve a part of their requests, and those behind a
// failed path.
func (p *Picker) negotiate(s *service, r Request, now time.Time) (Choice, error) {
	wait := s.pickWait(r, now)
	if len(r.Refusals) < quickAsks {
		if e := p.pickRoom(s, r, now); e != nil && (wait == nil || r.crossing(e.tier)+askCost < s.waitCost(wait, r)) {
			return p.choose(Choice{entry: e}), nil
		}
	}
	if wait == nil {
		wait = s.pickBelieved(r, now)
	}
	doubtful := s.pickDoubtful(r, now)
	if wait != nil && !s.beatsWait(doubtful, wait, r, now) {
		return p.choose(Choice{entry: wait, Patience: r.Remaining}), nil
	}
	if doubtful != nil {
		return p.choose(Choice{entry: doubtful, Patience: r.Remaining, Forced: true}), nil
	}
	return Choice{}, &NoTargetError{Service: r.Service}
}

// beatsWait reports whether a doubtful target serves the caller better than a long wait: one that still serves most of its
// requests is capacity that an overloaded service needs.
func (s *service) beatsWait(doubtful, wait *entry, r Request, now time.Time) bool {
	if doubtful == nil || r.Objective <= 0 {
		return false
	}
	rest, chance := doubtful.counters.trust.outlook(now)
	return rest > 0 && chance >= usefulChance && doubtful.counters.trust.pathOpen(now) &&
		s.waitCost(wait, r) > r.Objective/longWaitShare
}

// crossing is what the way to a tier costs in waiting time.
func (r Request) crossing(tier int) time.Duration {
	objective := r.Objective
	if objective <= 0 {
		objective = r.Remaining
	}
	cost := time.Duration(float64(crossingCost[tier]) * float64(r.Bytes) / kilobyte)
	return min(cost, objective/crossingShare)
}

// waitCost is the wait at a target that has refused the request, and the way to it.
func (s *service) waitCost(e *entry, r Request) time.Duration {
	for _, refused := range r.Refusals {
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

// pickWait returns the sound target that refused with the shortest wait, its way included.
func (s *service) pickWait(r Request, now time.Time) *entry {
	var best *entry
	var bestCost time.Duration
	for _, refused := range r.Refusals {
		e := s.find(refused.Target)
		if e == nil || r.excludes(e) || !e.counters.trust.pathOpen(now) || refused.Unhealthy || refused.Wait > r.Remaining {
			continue
		}
		if cost := refused.Wait + r.crossing(e.tier); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

func (s *service) farRefusals(r Request) int {
	n := 0
	for _, refused := range r.Refusals {
		if e := s.find(refused.Target); e != nil && e.tier == farTier {
			n++
		}
	}
	return n
}

// pickBelieved returns the nearest target that was not asked because it is believed to be full.
func (s *service) pickBelieved(r Request, now time.Time) *entry {
	var best *entry
	for i := range s.entries {
		e := &s.entries[i]
		trust := &e.counters.trust
		if r.excludes(e) || r.refusedBy(e) || !trust.pathOpen(now) || !trust.mayAsk(now, false) {
			continue
		}
		if best == nil || e.tier < best.tier || e.tier == best.tier && e.counters.load(now) < best.counters.load(now) {
			best = e
		}
	}
	return best
}

// pickDoubtful returns the resting target with the best chance, and among these the one that is expected back first. Those
// that do not rest come behind them, since they had no room, and those behind a failed path last. It is nil when all others
// rest without a chance that is worth a request.
func (s *service) pickDoubtful(r Request, now time.Time) *entry {
	var best *entry
	var bestRank [5]float64
	for i := range s.entries {
		e := &s.entries[i]
		if r.excludes(e) {
			continue
		}
		rest, chance := e.counters.trust.outlook(now)
		if chance < MinSuccessRatio {
			continue
		}
		rank := [5]float64{0, 0, -chance, rest.Seconds(), float64(e.tier)}
		if !e.counters.trust.pathOpen(now) {
			rank[0] = 1
		}
		if rest == 0 {
			rank[1] = 1
		}
		if best == nil || slices.Compare(rank[:], bestRank[:]) < 0 {
			best, bestRank = e, rank
		}
	}
	return best
}

// MarkPathFailed avoids the target for a while, because the connection to its agent failed.
func (p *Picker) MarkPathFailed(ref model.TargetRef) {
	if e := p.find(ref); e != nil {
		e.counters.trust.pathFailed(p.config.Now(), p.config.CheckPaths)
	}
}

// PathsToCheck returns the targets whose paths have failed and are to be checked now; PathOpened or PathFailed takes the result.
func (p *Picker) PathsToCheck() []view.Candidate {
	var due []view.Candidate
	now := p.config.Now()
	for _, s := range p.fleet.Load().services {
		for i := range s.entries {
			if e := &s.entries[i]; e.counters.trust.checkDue(now) {
				due = append(due, *e.candidate)
			}
		}
	}
	return due
}

// MarkPathReachable lets requests try a path that has failed, because a check of it succeeded.
func (p *Picker) MarkPathReachable(ref model.TargetRef) {
	if e := p.find(ref); e != nil {
		e.counters.trust.pathOpened()
	}
}

// MarkPathUp ends the avoidance, because the agent has answered.
func (p *Picker) MarkPathUp(ref model.TargetRef) {
	if e := p.find(ref); e != nil {
		e.counters.trust.pathWorks()
	}
}

// MarkUnhealthy avoids a target that its agent calls sick; chance is the share of its latest requests that it served.
func (p *Picker) MarkUnhealthy(ref model.TargetRef, wait time.Duration, chance float64) {
	if e := p.find(ref); e != nil {
		e.counters.trust.rest(p.config.Now(), wait, chance)
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
	return slices.ContainsFunc(r.Refusals, func(f AgentRefusal) bool { return f.Target == e.candidate.Target.Ref })
}
