package picker

import (
	"sync"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/spill"
)

// spillGuard serializes the calls of one module of package spill.
type spillGuard struct {
	mu     sync.Mutex
	module *spill.Module
}

// spillOf returns the module of the service.
func (p *Picker) spillOf(service string) *spillGuard {
	if g, found := p.spills.Load(service); found {
		return g.(*spillGuard)
	}
	g, _ := p.spills.LoadOrStore(service, &spillGuard{module: spill.New(p.config.Now())})
	return g.(*spillGuard)
}

func (g *spillGuard) update(msg spill.Msg) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.module.Update(msg)
}

// decide returns why the request leaves, and counts one that would gain from it.
func (g *spillGuard) decide(r spill.Request) spill.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	reason := g.module.Decide(r)
	if g.module.Gains(r) {
		g.module.Update(spill.ShortMsg{Now: r.Now})
	}
	return reason
}

// cost returns the wait that is preferable to sending the request to the tier, with the search for a free slot there.
func (g *spillGuard) cost(r Request, tier int, now time.Time) time.Duration {
	if tier < regionTier {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.module.Search(now, spill.Tier(tier)) + g.module.Cost(spill.Tier(tier), r.Bytes, r.objective())
}

// queueCost returns the wait that is preferable to queueing the request in the tier.
func (g *spillGuard) queueCost(r Request, tier int) time.Duration {
	if tier < regionTier {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.module.RoundTrip(spill.Tier(tier)) + g.module.Cost(spill.Tier(tier), r.Bytes, r.objective())
}

// objective returns the objective of the request, or the time that it has left if it has none.
func (r Request) objective() time.Duration {
	if r.Objective <= 0 {
		return r.Remaining
	}
	return r.Objective
}
