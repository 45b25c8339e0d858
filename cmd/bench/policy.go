package main

import (
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/eject"
	"github.com/auburnwinch/auburnwinch/internal/picker"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// plainWait is the fixed time for which the baseline ejects.
const plainWait = 30 * time.Second

// policy is how one edge chooses targets.
type policy interface {
	pick(r *request) (choice picker.Choice, target int, ok bool)
	done(a *attempt, kind eject.Kind, load picker.Load)
	claims(agent int, now time.Time, claims []model.Claim)
	judge()
	out(target int) bool
}

type policyFactory func(f *fleet, n *node, v *view.View) policy

// modules is the policy of the real modules.
type modules struct {
	fleet   *fleet
	node    *node
	eject   *eject.Module
	picker  *picker.Picker
	byAgent [targetCount][]model.Claim
	index   map[model.TargetRef]int
}

func newModules(f *fleet, n *node, v *view.View) policy {
	own := *v
	own.Self = n.model
	p := &modules{fleet: f, node: n, index: make(map[model.TargetRef]int)}
	p.eject = eject.New(eject.Config{
		Observer: eject.ObserverEdge, Seed: f.seed*1000 + uint64(n.index), Thresholds: f.thresholdsOf(),
	})
	p.picker = picker.New(picker.Config{
		Health: p.eject, Now: func() time.Time { return f.now }, Seed: f.seed*1000 + uint64(n.index),
	})
	p.picker.SetView(&own)
	service := eject.Service{Spec: f.deployment.spec()}
	for i, t := range f.targets {
		service.Targets = append(service.Targets, t.model)
		p.index[t.model.Ref] = i
	}
	p.eject.Update(eject.ServicesMsg{Now: f.now, Services: []eject.Service{service}})
	return p
}

func (p *modules) pick(r *request) (picker.Choice, int, bool) {
	c, err := p.picker.Pick(picker.Request{Service: serviceName, Idempotent: true, Exclude: r.exclude})
	return c, p.index[c.Candidate.Target.Ref], err == nil
}

func (p *modules) done(a *attempt, kind eject.Kind, load picker.Load) {
	p.picker.Done(a.choice, load)
	p.eject.Update(eject.ResultMsg{
		Now: p.fleet.now, Target: a.target.model.Ref, Class: a.request.class, Duration: p.fleet.now.Sub(a.sent), Kind: kind,
		Idempotent: true,
	})
}

func (p *modules) claims(agent int, now time.Time, claims []model.Claim) {
	p.byAgent[agent] = claims
	var all []model.Claim
	for _, list := range p.byAgent {
		all = append(all, list...)
	}
	p.observe(p.eject.Update(eject.ClaimMsg{Now: now, Claims: all}))
}

func (p *modules) judge() {
	p.node.flights.report(p.eject, p.fleet.now, p.fleet.targets)
	p.observe(p.eject.Update(eject.TickMsg{Now: p.fleet.now}))
}

func (p *modules) observe(cmds []eject.Cmd) {
	for _, c := range cmds {
		if v, ok := c.(eject.VerdictCmd); ok && v.To == eject.StateEjected && p.fleet.onEject != nil {
			p.fleet.onEject(p.node.index, p.index[v.Target])
		}
	}
}

func (p *modules) out(target int) bool {
	return !p.eject.Snapshot().Verdict(p.fleet.targets[target].model.Ref).InService()
}

// plain is the baseline: round robin, with ejection after a number of consecutive errors; zero never ejects.
type plain struct {
	fleet  *fleet
	node   *node
	limit  int
	next   int
	errors [targetCount]int
	until  [targetCount]time.Time
}

func newPlain(limit int) policyFactory {
	return func(f *fleet, n *node, _ *view.View) policy {
		return &plain{fleet: f, node: n, limit: limit, next: f.rng.IntN(targetCount)}
	}
}

func (p *plain) pick(r *request) (picker.Choice, int, bool) {
	fallback := -1
	for range targetCount {
		i := p.next
		p.next = (p.next + 1) % targetCount
		if slices.Contains(r.exclude, p.fleet.targets[i].model.Ref) {
			continue
		}
		if !p.out(i) {
			return picker.Choice{}, i, true
		}
		fallback = i
	}
	return picker.Choice{}, max(0, fallback), fallback >= 0
}

func (p *plain) done(a *attempt, kind eject.Kind, _ picker.Load) {
	i := a.target.index
	switch kind {
	case eject.KindNone:
	case eject.KindOK:
		p.errors[i] = 0
	default:
		p.errors[i]++
		if p.limit > 0 && p.errors[i] >= p.limit && !p.out(i) {
			p.until[i] = p.fleet.now.Add(plainWait)
			p.errors[i] = 0
			if p.fleet.onEject != nil {
				p.fleet.onEject(p.node.index, i)
			}
		}
	}
}

func (p *plain) claims(int, time.Time, []model.Claim) {}

func (p *plain) judge() {}

func (p *plain) out(target int) bool { return p.fleet.now.Before(p.until[target]) }
