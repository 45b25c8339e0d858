package picker

import (
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// maxNoWaitAttempts is the number of agents that are asked for a free slot before the request queues at one, and
// maxRemoteNoWaitAttempts that of agents in other regions: each attempt costs a round trip, and between regions the
// most expensive traffic.
const (
	maxNoWaitAttempts       = 5
	maxRemoteNoWaitAttempts = 2
)

const (
	// attemptCost is the cost of one more attempt in waiting time: about a round trip within the region.
	attemptCost = 10 * time.Millisecond
	// transferCostDivisor limits the wait that locality may cost a caller to objective/transferCostDivisor.
	transferCostDivisor = 4
	// longWaitDivisor makes a wait above objective/longWaitDivisor count as long.
	longWaitDivisor = 4
	// goodSuccessRatio is the success ratio from which a sick target is preferred to a long wait.
	goodSuccessRatio = 0.7
	kilobyte         = 1 << 10
)

// MinSuccessRatio is the success ratio from which a sick target is given a request that no other target has room for.
// Below it, the request would mostly fail after it ran, whereas a refusal lets the caller retry.
const MinSuccessRatio = 0.3

// transferCost is the additional wait that is preferable to sending a kilobyte to a target in the tier. Traffic between
// regions is billed by volume at twice the price of traffic between failure domains.
var transferCost = [tierCount]time.Duration{0, 0, 20 * time.Millisecond, 40 * time.Millisecond}

// negotiate picks the nearest target that seems to have room, with no wait. It picks a queue at a target that has
// refused if waiting there costs the caller less than going to the next target, or if enough agents were asked; after
// that, a target that is only presumed to be full. The last choices are targets that are probably sick but serve some
// of their requests, and targets behind a failed path.
func (p *Picker) negotiate(s *service, r Request, now time.Time) (Choice, error) {
	queued := s.pickQueue(r, now)
	if r.refusalsForSlots() < maxNoWaitAttempts {
		if e := p.pickFree(s, r, now); e != nil && (queued == nil || r.transferCost(e.tier)+attemptCost < s.waitCost(queued, r)) {
			return p.commit(Choice{entry: e}), nil
		}
	}
	if queued == nil {
		queued = p.pickPresumedFull(s, r, now)
	}
	fallback := s.pickFallback(r, now)
	if queued != nil && !s.fallbackBeatsWait(fallback, queued, r, now) {
		return p.commit(Choice{entry: queued, Patience: r.Remaining}), nil
	}
	if fallback != nil {
		return p.commit(Choice{entry: fallback, Patience: r.Remaining, Forced: true}), nil
	}
	return Choice{}, &NoTargetError{Service: r.Service}
}

// fallbackBeatsWait reports whether the fallback serves the caller better than a long wait: a sick target that still
// serves most of its requests is capacity that an overloaded service needs.
func (s *service) fallbackBeatsWait(fallback, queued *entry, r Request, now time.Time) bool {
	if fallback == nil || r.Objective <= 0 {
		return false
	}
	sickFor, successRatio := fallback.counters.health.sickness(now)
	return sickFor > 0 && successRatio >= goodSuccessRatio && fallback.counters.health.pathOpen(now) &&
		s.waitCost(queued, r) > r.Objective/longWaitDivisor
}

// transferCost returns what sending the request to a tier costs in waiting time.
func (r Request) transferCost(tier int) time.Duration {
	objective := r.Objective
	if objective <= 0 {
		objective = r.Remaining
	}
	cost := time.Duration(float64(transferCost[tier]) * float64(r.Bytes) / kilobyte)
	return min(cost, objective/transferCostDivisor)
}

// waitCost returns the wait at a target that has refused the request, plus the transfer cost.
func (s *service) waitCost(e *entry, r Request) time.Duration {
	for _, refusal := range r.Refusals {
		if refusal.Target == e.candidate.Target.Ref {
			return refusal.Wait + r.transferCost(e.tier)
		}
	}
	return r.transferCost(e.tier)
}

func (p *Picker) commit(c Choice) Choice {
	c.Candidate = *c.entry.candidate
	c.entry.counters.inFlight.Add(1)
	return c
}

// pickFree returns the less loaded of two random targets with room in the nearest tier that has any.
func (p *Picker) pickFree(s *service, r Request, now time.Time) *entry {
	var tiers [tierCount][]weightedEntry
	skipRemote := s.remoteRefusals(r) >= maxRemoteNoWaitAttempts
	since := now.Sub(p.start)
	for i := range s.entries {
		e := &s.entries[i]
		health := &e.counters.health
		// Only requests from the same failure domain test whether a sick target has recovered.
		mayTry := r.Idempotent && e.tier < regionTier
		if r.excludes(e) || r.refusedBy(e) || !health.pathOpen(now) || !health.mayAdmit(now, mayTry) || !e.hasCapacity(1, now) ||
			e.counters.notice.waits(since) || skipRemote && e.tier == remoteTier {
			continue
		}
		tiers[e.tier] = append(tiers[e.tier], weightedEntry{entry: e, weight: 1})
	}
	for _, tier := range tiers {
		if len(tier) > 0 {
			return p.lessLoaded(tier, Request{}, now)
		}
	}
	return nil
}

// pickQueue returns the healthy target that refused with the shortest wait, including the transfer cost.
func (s *service) pickQueue(r Request, now time.Time) *entry {
	var best *entry
	var bestCost time.Duration
	for _, refusal := range r.Refusals {
		e := s.find(refusal.Target)
		if e == nil || r.excludes(e) || !e.counters.health.pathOpen(now) || refusal.Unhealthy || refusal.Wait > r.Remaining {
			continue
		}
		if cost := refusal.Wait + r.transferCost(e.tier); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// refusalsForSlots counts the refusals of agents without a free slot. Refusals for a rate limit say nothing about the load of
// other targets, so they don't end the search for one with room.
func (r Request) refusalsForSlots() int {
	n := 0
	for _, refusal := range r.Refusals {
		if !refusal.RateLimited {
			n++
		}
	}
	return n
}

func (s *service) remoteRefusals(r Request) int {
	n := 0
	for _, refusal := range r.Refusals {
		if refusal.RateLimited {
			continue
		}
		if e := s.find(refusal.Target); e != nil && e.tier == remoteTier {
			n++
		}
	}
	return n
}

// pickPresumedFull returns the nearest target that was not asked because it is presumed to be full. Targets whose rate limit
// is used up come last.
func (p *Picker) pickPresumedFull(s *service, r Request, now time.Time) *entry {
	var best *entry
	bestWaits, since := false, now.Sub(p.start)
	for i := range s.entries {
		e := &s.entries[i]
		health := &e.counters.health
		if r.excludes(e) || r.refusedBy(e) || !health.pathOpen(now) || !health.mayAdmit(now, false) {
			continue
		}
		waits := e.counters.notice.waits(since)
		if best != nil && waits != bestWaits {
			if waits {
				continue
			}
			best = nil
		}
		if best == nil || e.tier < best.tier || e.tier == best.tier && e.counters.load(now) < best.counters.load(now) {
			best, bestWaits = e, waits
		}
	}
	return best
}

// pickFallback returns the sick target with the highest success ratio and, among equals, the one expected to recover
// first. Targets that are not sick rank behind these, since they had no room, and targets behind a failed path rank
// last. It returns nil if all candidates are sick with a success ratio below MinSuccessRatio.
func (s *service) pickFallback(r Request, now time.Time) *entry {
	var best *entry
	var bestRank [5]float64
	for i := range s.entries {
		e := &s.entries[i]
		if r.excludes(e) {
			continue
		}
		sickFor, successRatio := e.counters.health.sickness(now)
		if successRatio < MinSuccessRatio {
			continue
		}
		rank := [5]float64{0, 0, -successRatio, sickFor.Seconds(), float64(e.tier)}
		if !e.counters.health.pathOpen(now) {
			rank[0] = 1
		}
		if sickFor == 0 {
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
		e.counters.health.markPathFailed(p.config.Now(), p.config.CheckPaths)
	}
}

// PathsToCheck returns the targets whose failed paths are due for a check; the result is reported by MarkPathReachable
// or MarkPathFailed.
func (p *Picker) PathsToCheck() []view.Candidate {
	var due []view.Candidate
	now := p.config.Now()
	for _, s := range p.services.Load().services {
		for i := range s.entries {
			if e := &s.entries[i]; e.counters.health.checkDue(now) {
				due = append(due, *e.candidate)
			}
		}
	}
	return due
}

// MarkPathReachable lets requests use a failed path again, because a check of it succeeded.
func (p *Picker) MarkPathReachable(ref model.TargetRef) {
	if e := p.find(ref); e != nil {
		e.counters.health.markPathReachable()
	}
}

// MarkPathUp clears the failures of the path, because the agent has responded.
func (p *Picker) MarkPathUp(ref model.TargetRef) {
	if e := p.find(ref); e != nil {
		e.counters.health.markPathUp()
	}
}

// MarkUnhealthy avoids a target that its agent reports as sick; successRatio is the share of its latest requests that it
// served.
func (p *Picker) MarkUnhealthy(ref model.TargetRef, period time.Duration, successRatio float64) {
	if e := p.find(ref); e != nil {
		e.counters.health.markSick(p.config.Now(), period, successRatio)
	}
}

func (p *Picker) find(ref model.TargetRef) *entry {
	if s := p.services.Load().services[ref.Service]; s != nil {
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
