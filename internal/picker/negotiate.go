package picker

import (
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/spill"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// maxNoWaitAttempts is the number of agents that are asked for a free slot before the request queues at one, and
// maxRemoteNoWaitAttempts that of agents in other regions: each attempt costs a round trip, and between regions the
// most expensive traffic.
const (
	maxNoWaitAttempts       = 5
	maxRemoteNoWaitAttempts = 2
	// maxRemoteQueues is the number of agents in other regions that may refuse to queue a request. When the whole fleet is
	// short of room, a place that one request finds is lost to another one, so that further attempts only delay the refusal.
	maxRemoteQueues = 4
)

const (
	// attemptCost is the cost of one more attempt in waiting time: at least a round trip within the region.
	attemptCost = 10 * time.Millisecond
	// minBriefWait is the least time for which a request waits nearer before it leaves.
	minBriefWait = 5 * time.Millisecond
	// lateMargin is how many times its wait a request must have left to be queued although it will miss its objective.
	lateMargin = 2
	// longWaitDivisor makes a wait above objective/longWaitDivisor count as long.
	longWaitDivisor = 4
	// goodSuccessRatio is the success ratio from which a sick target is preferred to a long wait.
	goodSuccessRatio = 0.7
)

// MinSuccessRatio is the success ratio from which a sick target is given a request that no other target has room for.
// Below it, the request would mostly fail after it ran, whereas a refusal lets the caller retry.
const MinSuccessRatio = 0.3

// negotiate picks the nearest target that seems to have room, with no wait. It picks a queue at a target that has
// refused if waiting there costs the caller less than going to the next target, or if enough agents were asked; after
// that, a target that is only presumed to be full. The last choices are targets that are probably sick but serve some
// of their requests, and targets behind a failed path.
func (p *Picker) negotiate(s *service, r Request, now time.Time) (Choice, error) {
	g := p.spillOf(r.Service)
	queued := s.pickQueue(g, r, now)
	if r.refusalsForSlots() < maxNoWaitAttempts {
		if c := p.chooseFree(s, g, queued, r, now); c.entry != nil {
			return p.commit(c, r, now), nil
		}
	}
	if queued == nil {
		queued = p.pickPresumedFull(s, r, now)
	}
	fallback := s.pickFallback(r, now)
	if queued != nil && !s.fallbackBeatsWait(g, fallback, queued, r, now) {
		return p.commit(Choice{entry: queued, Patience: r.Remaining, Left: spill.ShortestQueue}, r, now), nil
	}
	if fallback != nil {
		return p.commit(Choice{entry: fallback, Patience: r.Remaining, Forced: true, Left: spill.NoTarget}, r, now), nil
	}
	return Choice{}, &NoTargetError{Service: r.Service}
}

// chooseFree chooses a target that seems to have room, unless the request should rather wait at the queued one. Before a
// request leaves a tier that is only presumed to be full, one agent there may queue it for as long as leaving would cost.
func (p *Picker) chooseFree(s *service, g *spillGuard, queued *entry, r Request, now time.Time) Choice {
	e := p.pickFree(s, r, now)
	if e == nil {
		return Choice{}
	}
	cost := g.cost(r, e.tier, now)
	var wait time.Duration
	if queued != nil {
		wait = s.waitCost(g, queued, r, now)
	}
	if e.tier < regionTier {
		if queued != nil && attemptCost >= wait {
			return Choice{}
		}
		g.update(spill.RoomMsg{Now: now})
		return Choice{entry: e}
	}
	if queued != nil && max(cost, attemptCost) >= wait {
		return Choice{}
	}
	if near := p.pickNearer(s, g, e.tier, r, now); near != nil {
		return Choice{entry: near, Patience: cost - g.queueCost(r, near.tier), Brief: true, Left: spill.ShortestQueue}
	}
	nearer := queued != nil && queued.tier < e.tier
	reason := g.decide(spill.Request{
		Now: now, Tier: spill.Tier(e.tier), Bytes: r.Bytes, Objective: r.objective(), Queue: nearer, Wait: wait,
	})
	if reason == spill.Stays {
		return Choice{}
	}
	return Choice{entry: e, Left: reason}
}

// pickNearer returns a target in a tier nearer than the given one that is presumed to be full, if it may start the request
// within what going farther would cost; nil if an agent of its tier was asked before.
func (p *Picker) pickNearer(s *service, g *spillGuard, tier int, r Request, now time.Time) *entry {
	var asked [tierCount]bool
	for _, refusal := range r.Refusals {
		if e := s.find(refusal.Target); e != nil && !refusal.Unhealthy {
			asked[e.tier] = true
		}
	}
	asked[0], asked[1] = asked[0] || asked[1], asked[0] || asked[1]
	leaving := g.cost(r, tier, now)
	var best *entry
	var bestWait time.Duration
	since := now.Sub(p.start)
	for i := range s.entries {
		e := &s.entries[i]
		if e.tier >= tier || asked[e.tier] || r.excludes(e) || r.refusedBy(e) || !e.counters.mayQueue(now) ||
			e.counters.notice.waits(since) {
			continue
		}
		wait, _ := e.counters.knownWait(r, now)
		if wait+g.queueCost(r, e.tier)+minBriefWait > leaving {
			continue
		}
		if best == nil || e.tier < best.tier || e.tier == best.tier && (wait < bestWait ||
			wait == bestWait && e.counters.load(now) < best.counters.load(now)) {
			best, bestWait = e, wait
		}
	}
	return best
}

// fallbackBeatsWait reports whether the fallback serves the caller better than a long wait: a sick target that still
// serves most of its requests is capacity that an overloaded service needs.
func (s *service) fallbackBeatsWait(g *spillGuard, fallback, queued *entry, r Request, now time.Time) bool {
	if fallback == nil || r.Objective <= 0 {
		return false
	}
	sickFor, successRatio := fallback.counters.health.sickness(now)
	return sickFor > 0 && successRatio >= goodSuccessRatio && fallback.counters.health.pathOpen(now) &&
		s.waitCost(g, queued, r, now) > r.Objective/longWaitDivisor
}

// waitCost returns the wait at a target that has refused the request or a similar one, plus the cost of sending it there.
func (s *service) waitCost(g *spillGuard, e *entry, r Request, now time.Time) time.Duration {
	for _, refusal := range r.Refusals {
		if refusal.Target == e.candidate.Target.Ref {
			return refusal.Wait + g.queueCost(r, e.tier)
		}
	}
	wait, _ := e.counters.knownWait(r, now)
	return wait + g.queueCost(r, e.tier)
}

func (p *Picker) commit(c Choice, r Request, now time.Time) Choice {
	c.Candidate, c.rank, c.pickedAt = *c.entry.candidate, r.Rank, now
	c.Tier = spill.Tier(c.entry.tier)
	if c.entry.tier < regionTier {
		c.Left = spill.Stays
	} else {
		p.spillOf(r.Service).update(spill.LeftMsg{Now: now, Bytes: r.Bytes})
	}
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
			e.counters.notice.waits(since) || e.counters.turnsDown(r, now) || skipRemote && e.tier == remoteTier {
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

// pickQueue returns the healthy target with the shortest wait, including the cost of sending the request there, among those
// whose agents have stated it to this request or shortly before to a similar one.
func (s *service) pickQueue(g *spillGuard, r Request, now time.Time) *entry {
	var best *entry
	var bestCost time.Duration
	skipRemote := s.remoteExcluded(r) >= maxRemoteQueues
	for _, refusal := range r.Refusals {
		e := s.find(refusal.Target)
		if e == nil || skipRemote && e.tier == remoteTier {
			continue
		}
		if r.excludes(e) || !e.counters.health.pathOpen(now) || refusal.Unhealthy || refusal.Wait > r.Remaining {
			continue
		}
		if cost := refusal.Wait + g.queueCost(r, e.tier); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	for i := range s.entries {
		e := &s.entries[i]
		wait, known := e.counters.queueWait(r, now)
		if !known || skipRemote && e.tier == remoteTier || e.counters.refusesQueue(r, now) || r.excludes(e) || r.refusedBy(e) || !e.counters.mayQueue(now) {
			continue
		}
		if cost := wait + g.queueCost(r, e.tier); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// mayQueue reports whether the agent would queue a request, as far as the path and the health of the target are known.
func (c *counters) mayQueue(now time.Time) bool {
	return c.health.pathOpen(now) && c.health.mayAdmit(now, false)
}

// turnsDown reports whether the agent would probably refuse a request that has no time to wait.
func (c *counters) turnsDown(r Request, now time.Time) bool {
	wait, known := c.knownWait(r, now)
	return known && wait > attemptCost
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

// remoteExcluded counts the targets in other regions that the request has tried.
func (s *service) remoteExcluded(r Request) int {
	n := 0
	for _, ref := range r.Exclude {
		if e := s.find(ref); e != nil && e.tier == remoteTier {
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

// pickPresumedFull returns the nearest target that was not asked because it is presumed to be full, unless its agent would
// refuse the request again. Targets whose rate limit is used up come last.
func (p *Picker) pickPresumedFull(s *service, r Request, now time.Time) *entry {
	var best *entry
	bestWaits, since := false, now.Sub(p.start)
	skipRemote := s.remoteExcluded(r) >= maxRemoteQueues
	for i := range s.entries {
		e := &s.entries[i]
		if skipRemote && e.tier == remoteTier {
			continue
		}
		if r.excludes(e) || r.refusedBy(e) || !e.counters.mayQueue(now) || e.counters.refusesQueue(r, now) {
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
	skipRemote := s.remoteExcluded(r) >= maxRemoteQueues
	for i := range s.entries {
		e := &s.entries[i]
		if r.excludes(e) {
			continue
		}
		sickFor, successRatio := e.counters.health.sickness(now)
		if successRatio < MinSuccessRatio {
			continue
		}
		if sickFor == 0 && (e.counters.refusesQueue(r, now) || skipRemote && e.tier == remoteTier) {
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
