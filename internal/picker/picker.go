package picker

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/eject"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// probationSpacing keeps a failing target from taking several probation requests before the next judgement.
const probationSpacing = 100 * time.Millisecond

// Health gives the verdicts on the targets; eject.Tracker implements it.
type Health interface {
	Snapshot() *eject.Snapshot
}

// Config constructs a picker; Health is required.
type Config struct {
	Health Health
	// Now tells the time; nil means time.Now.
	Now func() time.Time
	// Seed starts the sequence of random choices.
	Seed uint64
	// Negotiate makes choices state how long the request may wait there, see negotiate.go.
	Negotiate bool
	// CheckPaths keeps a target whose path has failed out of the choice until PathOpened or PathWorks; DuePaths tells which to check.
	CheckPaths bool
}

// Request describes the request for which a target is chosen.
type Request struct {
	Service    string
	Idempotent bool
	// Exclude lists targets that earlier attempts of the request already used.
	Exclude []model.TargetRef
	// Refusals are the agents that had no room when they were asked.
	Refusals []AgentRefusal
	// Remaining is the time that the request has.
	Remaining time.Duration
	// Objective is the time within which the answer has its full value; zero means that none is stated.
	Objective time.Duration
	// Bytes is the expected size of the request and its answer.
	Bytes int64
}

// AgentRefusal is the refusal of an agent that may take the request later.
type AgentRefusal struct {
	Target model.TargetRef
	// Wait is the wait that the agent expected.
	Wait time.Duration
	// Unhealthy tells that the target is probably sick.
	Unhealthy bool
}

// Choice is a chosen target; each choice must be given back by Done.
type Choice struct {
	Candidate view.Candidate
	// Probation tells that the request tests a target that was ejected.
	Probation bool
	// Patience is how long the request may wait for a slot; Forced asks for one at a target that is probably sick.
	Patience time.Duration
	Forced   bool
	entry    *entry
}

// NoTargetError reports that no candidate is in service; the request did not run.
type NoTargetError struct{ Service string }

// Error names the service and the remedy.
func (e *NoTargetError) Error() string {
	return fmt.Sprintf("service %s: no target in service; start targets that announce themselves for it", e.Service)
}

// Picker chooses targets; it is safe for concurrent use.
type Picker struct {
	config Config
	start  time.Time
	fleet  atomic.Pointer[fleet]
	draws  atomic.Uint64
}

// New returns a picker without candidates.
func New(c Config) *Picker {
	if c.Now == nil {
		c.Now = time.Now
	}
	p := &Picker{config: c, start: c.Now()}
	p.fleet.Store(&fleet{})
	return p
}

// SetView replaces the candidates and keeps the counters of known targets; it must not run concurrently with itself.
func (p *Picker) SetView(v *view.View) {
	p.fleet.Store(newFleet(v, p.fleet.Load()))
}

// Pick chooses a target; it fails with NoTargetError when no candidate is in service.
func (p *Picker) Pick(r Request) (Choice, error) {
	s := p.fleet.Load().services[r.Service]
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

// Done gives a choice back with the load that the agent reported.
func (p *Picker) Done(c Choice, l Load) {
	if c.entry == nil {
		return
	}
	c.entry.counters.inFlight.Add(-1)
	c.entry.counters.store(l, p.config.Now())
	if c.Probation {
		c.entry.counters.probing.Store(false)
	}
}

// pickProbation returns a target in probation that has no probation request in flight.
func (p *Picker) pickProbation(ranked *ranking, r Request, now time.Time) *entry {
	if len(ranked.probation) == 0 || len(r.Exclude) > 0 {
		return nil
	}
	since := int64(now.Sub(p.start)) + int64(probationSpacing)
	first := p.draw(len(ranked.probation))
	for i := range ranked.probation {
		e := ranked.probation[(first+i)%len(ranked.probation)]
		c := e.counters
		if last := c.probedAt.Load(); last != 0 && since-last < int64(probationSpacing) {
			continue
		}
		if c.probing.CompareAndSwap(false, true) {
			c.probedAt.Store(since)
			return e
		}
	}
	return nil
}

// pickInService tries the tiers from the nearest; if none has spare capacity, the agent decides about its queue.
func (p *Picker) pickInService(ranked *ranking, r Request, now time.Time) *entry {
	for _, tier := range ranked.tiers {
		if e := p.pickSpare(tier, r, now); e != nil {
			return e
		}
	}
	var all []rated
	for _, tier := range ranked.tiers {
		all = append(all, tier...)
	}
	return p.better(all, r, now)
}

// pickSpare returns the better of two random entries if it has spare capacity, or else any entry that has.
func (p *Picker) pickSpare(tier []rated, r Request, now time.Time) *entry {
	if e := p.better(tier, r, now); e == nil || e.spare(weightOf(tier, e), now) {
		return e
	}
	first := p.draw(len(tier))
	for i := range tier {
		e := tier[(first+i)%len(tier)]
		if !r.excludes(e.entry) && e.spare(e.weight, now) {
			return e.entry
		}
	}
	return nil
}

// better returns the less loaded of two random entries.
func (p *Picker) better(tier []rated, r Request, now time.Time) *entry {
	if len(r.Exclude) > 0 {
		tier = slices.DeleteFunc(slices.Clone(tier), func(e rated) bool { return r.excludes(e.entry) })
	}
	if len(tier) == 0 {
		return nil
	}
	if len(tier) == 1 {
		return tier[0].entry
	}
	i := p.draw(len(tier))
	j := p.draw(len(tier) - 1)
	if j >= i {
		j++
	}
	if tier[j].score(now) < tier[i].score(now) {
		i = j
	}
	return tier[i].entry
}

func (r Request) excludes(e *entry) bool {
	return slices.Contains(r.Exclude, e.candidate.Target.Ref)
}

func weightOf(tier []rated, e *entry) float64 {
	for _, r := range tier {
		if r.entry == e {
			return r.weight
		}
	}
	return 0
}

// score is the load in relation to the share that the target may take.
func (e rated) score(now time.Time) float64 {
	limit := float64(e.counters.limit(e.candidate.Target, now)) * e.weight
	return (e.counters.load(now) + 1) / max(limit, 0.1)
}

// spare reports whether one more request fits into the weighted limit; a limit above zero always admits one.
func (e *entry) spare(weight float64, now time.Time) bool {
	limit := float64(e.counters.limit(e.candidate.Target, now)) * weight
	return e.counters.load(now)+1 <= max(limit, 1)
}

// draw returns a random number below n; the sequence is that of splitmix64, which needs only one atomic addition.
func (p *Picker) draw(n int) int {
	z := p.config.Seed + p.draws.Add(1)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	z ^= z >> 31
	return int(z % uint64(max(n, 1)))
}
