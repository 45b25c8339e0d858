package picker

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/eject"
	"github.com/auburnwinch/auburnwinch/internal/spill"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// probationInterval is the minimum time between probation requests, so that a failing target does not receive several
// of them before the next verdict.
const probationInterval = 100 * time.Millisecond

// Health provides the verdicts on the targets; eject.Tracker implements it.
type Health interface {
	Snapshot() *eject.Snapshot
}

// Config configures a Picker; Health is required.
type Config struct {
	Health Health
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Seed seeds the random choices.
	Seed uint64
	// Negotiate makes Pick state how long the request may wait for a slot; see negotiate.go.
	Negotiate bool
	// CheckPaths excludes a target whose path has failed until MarkPathReachable or MarkPathUp is called; PathsToCheck
	// returns the targets to check.
	CheckPaths bool
}

// Request describes the request for which a target is picked.
type Request struct {
	Service    string
	Idempotent bool
	// Exclude lists the targets that earlier attempts of the request used.
	Exclude []model.TargetRef
	// Refusals lists the agents that had no room when they were asked.
	Refusals []AgentRefusal
	// Remaining is the remaining time of the request.
	Remaining time.Duration
	// Objective is the time within which the response has its full value; zero means that none is set.
	Objective time.Duration
	// Bytes is the expected size of the request and its response.
	Bytes int64
	// Rank is the rank with which agents order the request; Nested tells whether a target sent it as a call.
	Rank   int
	Nested bool
}

// AgentRefusal is a refusal by an agent that may accept the request later.
type AgentRefusal struct {
	Target model.TargetRef
	// Wait is the wait that the agent expected.
	Wait time.Duration
	// Unhealthy is set if the target is probably sick, RateLimited if its rate limit is used up.
	Unhealthy   bool
	RateLimited bool
}

// Choice is a picked target; each choice must be returned by Done.
type Choice struct {
	Candidate view.Candidate
	// Probation is set if the request tests a target that was ejected.
	Probation bool
	// Patience is how long the request may wait for a slot. Forced requests one at a target that is probably sick.
	Patience time.Duration
	Forced   bool
	// Brief is set if Patience is only what going farther would cost, so that the request may come back.
	Brief bool
	// Tier is how far the target is, and Left why the request leaves the failure domain for it.
	Tier     spill.Tier
	Left     spill.Reason
	entry    *entry
	rank     int
	pickedAt time.Time
}

// NoTargetError reports that no candidate is in service; the request did not run.
type NoTargetError struct{ Service string }

// Error names the service and the remedy.
func (e *NoTargetError) Error() string {
	return fmt.Sprintf("service %s: no target in service; start targets that announce themselves for it", e.Service)
}

// Picker picks targets; it is safe for concurrent use.
type Picker struct {
	config      Config
	start       time.Time
	services    atomic.Pointer[serviceSet]
	randomState atomic.Uint64

	// noticeMu serializes SetView and changes of kept, so that a view never misses a notice.
	noticeMu    sync.Mutex
	kept        map[model.TargetRef]keptCounters
	noticeCount atomic.Int64

	// spills holds a *spillGuard for each service.
	spills sync.Map
}

// New returns a picker without candidates.
func New(c Config) *Picker {
	if c.Now == nil {
		c.Now = time.Now
	}
	p := &Picker{config: c, start: c.Now(), kept: make(map[model.TargetRef]keptCounters)}
	p.services.Store(&serviceSet{})
	return p
}

// SetView replaces the candidates and keeps the counters of known targets; it must not run concurrently with itself.
func (p *Picker) SetView(v *view.View) {
	p.noticeMu.Lock()
	defer p.noticeMu.Unlock()
	p.dropOldNotices()
	p.services.Store(newServiceSet(v, p.services.Load(), p.kept))
}

// Pick picks a target; it fails with NoTargetError when no candidate is in service.
func (p *Picker) Pick(r Request) (Choice, error) {
	s := p.services.Load().services[r.Service]
	if s == nil {
		return Choice{}, &NoTargetError{Service: r.Service}
	}
	now := p.config.Now()
	if p.config.Negotiate {
		return p.negotiate(s, r, now)
	}
	ranked := s.ranked(p.config.Health.Snapshot())
	if r.Idempotent {
		if e := p.pickProbation(ranked, r, now); e != nil {
			e.counters.inFlight.Add(1)
			return Choice{Candidate: *e.candidate, Probation: true, entry: e}, nil
		}
	}
	e := p.pickInService(ranked, r, now)
	if e == nil {
		return Choice{}, &NoTargetError{Service: r.Service}
	}
	e.counters.inFlight.Add(1)
	return Choice{Candidate: *e.candidate, entry: e}, nil
}

// Done returns a choice, with the load that the agent reported.
func (p *Picker) Done(c Choice, l Load) {
	if c.entry == nil {
		return
	}
	c.entry.counters.inFlight.Add(-1)
	now := p.config.Now()
	c.entry.counters.storeReport(l, now)
	if p.config.Negotiate {
		p.learn(c, l, now)
	}
	if c.Probation {
		c.entry.counters.probing.Store(false)
	}
}

// pickProbation returns a target in probation that has no probation request in flight.
func (p *Picker) pickProbation(ranked *ranking, r Request, now time.Time) *entry {
	if len(ranked.probation) == 0 || len(r.Exclude) > 0 {
		return nil
	}
	since := int64(now.Sub(p.start)) + int64(probationInterval)
	first := p.random(len(ranked.probation))
	for i := range ranked.probation {
		e := ranked.probation[(first+i)%len(ranked.probation)]
		c := e.counters
		if c.notice.leaving() {
			continue
		}
		if last := c.probedAt.Load(); last != 0 && since-last < int64(probationInterval) {
			continue
		}
		if c.probing.CompareAndSwap(false, true) {
			c.probedAt.Store(since)
			return e
		}
	}
	return nil
}

// pickInService tries the tiers from nearest to farthest; if none has spare capacity, it leaves queueing to the agent
// of a random target.
func (p *Picker) pickInService(ranked *ranking, r Request, now time.Time) *entry {
	for _, tier := range ranked.tiers {
		if e := p.pickWithCapacity(tier, r, now); e != nil {
			return e
		}
	}
	var all []weightedEntry
	for _, tier := range ranked.tiers {
		all = append(all, tier...)
	}
	return p.lessLoaded(all, r, now)
}

// pickWithCapacity returns the less loaded of two random entries if it has spare capacity, or else any entry that has.
func (p *Picker) pickWithCapacity(tier []weightedEntry, r Request, now time.Time) *entry {
	if e := p.lessLoaded(tier, r, now); e == nil || e.hasCapacity(weightOf(tier, e), now) {
		return e
	}
	first := p.random(len(tier))
	for i := range tier {
		e := tier[(first+i)%len(tier)]
		if !r.excludes(e.entry) && e.hasCapacity(e.weight, now) {
			return e.entry
		}
	}
	return nil
}

// lessLoaded returns the less loaded of two random entries.
func (p *Picker) lessLoaded(tier []weightedEntry, r Request, now time.Time) *entry {
	if len(r.Exclude) > 0 || p.noticeCount.Load() > 0 {
		tier = slices.DeleteFunc(slices.Clone(tier), func(e weightedEntry) bool { return r.excludes(e.entry) })
	}
	if len(tier) == 0 {
		return nil
	}
	if len(tier) == 1 {
		return tier[0].entry
	}
	i := p.random(len(tier))
	j := p.random(len(tier) - 1)
	if j >= i {
		j++
	}
	if tier[j].score(now) < tier[i].score(now) {
		i = j
	}
	return tier[i].entry
}

func (r Request) excludes(e *entry) bool {
	return e.counters.notice.leaving() || slices.Contains(r.Exclude, e.candidate.Target.Ref)
}

func weightOf(tier []weightedEntry, e *entry) float64 {
	for _, r := range tier {
		if r.entry == e {
			return r.weight
		}
	}
	return 0
}

// score is the load relative to the share of its limit that the target may use.
func (e weightedEntry) score(now time.Time) float64 {
	limit := float64(e.counters.limit(e.candidate.Target, now)) * e.weight
	return (e.counters.load(now) + 1) / max(limit, 0.1)
}

// hasCapacity reports whether one more request fits into the weighted limit; a limit below one counts as one.
func (e *entry) hasCapacity(weight float64, now time.Time) bool {
	limit := float64(e.counters.limit(e.candidate.Target, now)) * weight
	return e.counters.load(now)+1 <= max(limit, 1)
}

// random returns a pseudo-random number below n from a splitmix64 sequence, which needs only one atomic addition.
func (p *Picker) random(n int) int {
	z := p.config.Seed + p.randomState.Add(1)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	z ^= z >> 31
	return int(z % uint64(max(n, 1)))
}
