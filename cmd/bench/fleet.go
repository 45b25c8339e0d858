package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/eject"
	"github.com/auburnwinch/auburnwinch/internal/limit"
	"github.com/auburnwinch/auburnwinch/internal/picker"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	meanDuration   = 100 * time.Millisecond
	routeTimeout   = 10 * time.Second
	judgeInterval  = 50 * time.Millisecond
	silenceReused  = 500 * time.Millisecond
	silenceNew     = 3 * time.Second
	retryShare     = 0.1
	retryBurst     = 10
	maxAttempts    = 3
	classRead      = "read"
	classLight     = "light"
	lightShare     = 0.1
	lightDuration  = 2 * time.Millisecond
	claimDelayMin  = 100 * time.Millisecond
	unlimitedSlots = 1 << 20
	usualFactor    = 5
	usualGossip    = 3 * time.Second
	ownClaimDelay  = 50 * time.Millisecond
	durationSpread = 0.5
)

// behaviour is what a fake target does with one request; a stalled request ends only when it is cancelled.
type behaviour struct {
	kind    eject.Kind
	took    time.Duration
	stalled bool
}

// fault decides the behaviour of the targets and the state of the paths.
type fault interface {
	serve(f *fleet, target int, usual behaviour, class string) behaviour
	pathUp(f *fleet, from, to model.NodeRef) bool
}

// fleetConfig constructs a fleet.
type fleetConfig struct {
	deployment deployment
	policy     policyFactory
	thresholds *eject.Thresholds
	fault      fault
	// load is the rate of requests in relation to the capacity.
	load float64
	// deadline is how long a caller waits.
	deadline time.Duration
	seed     uint64
	// unlimited admits every request; a target with more requests than slots then slows down in proportion.
	unlimited bool
	// commonFactor is the factor of a shared slowness; zero means 5.
	commonFactor float64
	// gossip is the longest time in which a claim reaches another node; zero means 3 s.
	gossip time.Duration
	// spread is the standard deviation of the logarithm of the durations.
	spread float64
}

// fleet holds the fakes around the real modules of one service.
type fleet struct {
	fleetConfig
	loop
	rng     *rand.Rand
	start   time.Time
	nodes   []*node
	targets []*target
	counts  counts
	onEject func(edge, target int)
	onSend  func(edge, target int)
}

// counts are the totals of a run.
type counts struct{ requests, done, failed, refused, attempts, retries int }

// node is one VM with its edge role, and its agent role if it carries a target.
type node struct {
	index    int
	model    model.Node
	policy   policy
	agent    *eject.Module
	flights  *flights
	budget   float64
	silences map[int]int
	// version counts the agent's publications, versions holds the latest one received from each agent.
	version  int
	versions [targetCount]int
}

// target is a fake target behind the real limiter.
type target struct {
	index   int
	node    *node
	model   model.Target
	limiter *limit.Module
	waiting map[uint64]*attempt
	flights *flights
}

type request struct {
	class    string
	deadline time.Time
	exclude  []model.TargetRef
	attempts int
}

// attempt is one sending of a request to one target.
type attempt struct {
	id      uint64
	request *request
	edge    *node
	target  *target
	choice  picker.Choice
	sent    time.Time
	granted time.Time
	heard   bool
	ended   bool
	served  bool
}

func newFleet(c fleetConfig) *fleet {
	if c.deadline == 0 {
		c.deadline = routeTimeout
	}
	if c.commonFactor == 0 {
		c.commonFactor = usualFactor
	}
	if c.gossip == 0 {
		c.gossip = usualGossip
	}
	if c.spread == 0 {
		c.spread = durationSpread
	}
	f := &fleet{fleetConfig: c, rng: rand.New(rand.NewPCG(c.seed, 1))}
	f.now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f.start = f.now
	for i := range targetCount + plainNodes {
		f.nodes = append(f.nodes, &node{
			index: i, model: c.deployment.node(i), flights: &flights{}, budget: retryBurst, silences: make(map[int]int),
		})
	}
	for i := range targetCount {
		f.addTarget(i)
	}
	v := f.view()
	for _, n := range f.nodes {
		n.policy = c.policy(f, n, v)
		f.after(f.upTo(judgeInterval), func() { f.judge(n) })
		f.after(f.untilNext(), func() { f.arrive(n) })
	}
	return f
}

func (f *fleet) addTarget(i int) {
	n := f.nodes[i]
	t := &target{
		index: i, node: n, model: f.deployment.target(i), waiting: make(map[uint64]*attempt), flights: &flights{},
		limiter: limit.NewModule(limit.SettingsOf(f.deployment.spec(), f.deployment.slots)),
	}
	if f.unlimited {
		t.limiter = limit.NewModule(limit.Settings{Slots: unlimitedSlots})
	}
	f.targets = append(f.targets, t)
	n.agent = eject.New(eject.Config{Observer: eject.ObserverAgent, Seed: f.seed + uint64(i), Thresholds: f.thresholdsOf()})
	n.agent.Update(eject.ServicesMsg{Now: f.now, Services: []eject.Service{
		{Spec: f.deployment.spec(), Targets: []model.Target{t.model}},
	}})
}

func (f *fleet) thresholdsOf() func(model.ServiceSpec) eject.Thresholds {
	if f.thresholds == nil {
		return nil
	}
	return func(model.ServiceSpec) eject.Thresholds { return *f.thresholds }
}

func (f *fleet) view() *view.View {
	c := view.Config{Configuration: &model.Configuration{Services: []model.ServiceSpec{f.deployment.spec()}}}
	for _, t := range f.targets {
		c.Candidates = append(c.Candidates, view.Candidate{Target: t.model, Node: t.node.model})
	}
	return view.New(c)
}

func (f *fleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.rng.Float64() * float64(d))
}

func (f *fleet) elapsed() time.Duration { return f.now.Sub(f.start) }

// untilNext draws the time between two arrivals at one edge.
func (f *fleet) untilNext() time.Duration {
	meanSeconds := (1-lightShare)*meanDuration.Seconds() + lightShare*lightDuration.Seconds()
	rate := f.load * float64(targetCount*f.deployment.slots) / meanSeconds / float64(len(f.nodes))
	return time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
}

// usual draws a log-normal duration whose mean is that of the class.
func (f *fleet) usual(class string) behaviour {
	mean := meanDuration
	if class == classLight {
		mean = lightDuration
	}
	factor := math.Exp(f.spread*f.rng.NormFloat64() - f.spread*f.spread/2)
	return behaviour{kind: eject.KindOK, took: time.Duration(factor * float64(mean))}
}

func (f *fleet) arrive(n *node) {
	f.after(f.untilNext(), func() { f.arrive(n) })
	r := &request{class: classRead, deadline: f.now.Add(f.deadline)}
	if f.rng.Float64() < lightShare {
		r.class = classLight
	}
	f.counts.requests++
	n.budget = min(retryBurst, n.budget+retryShare)
	f.send(n, r)
}

func (f *fleet) send(n *node, r *request) {
	choice, index, ok := n.policy.pick(r)
	if !ok {
		f.counts.failed++
		return
	}
	r.attempts++
	f.counts.attempts++
	f.count++
	a := &attempt{id: f.count, request: r, edge: n, target: f.targets[index], choice: choice, sent: f.now}
	if f.onSend != nil {
		f.onSend(n.index, index)
	}
	n.flights.add(a, index, f.now)
	d := f.deployment.delay(n.model, a.target.node.model)
	if f.fault.pathUp(f, n.model.Ref, a.target.node.model.Ref) {
		f.after(d, func() { f.arriveAtAgent(a) })
	}
	silence := silenceReused
	if n.silences[index] > 0 {
		silence = silenceNew
	}
	f.after(silence, func() {
		if !a.heard && !a.ended {
			n.silences[index]++
			f.endAtEdge(a, eject.KindPathFailure)
		}
	})
	f.after(r.deadline.Sub(f.now), func() { f.endAtEdge(a, eject.KindTimeout) })
}

func (f *fleet) arriveAtAgent(a *attempt) {
	t := a.target
	t.waiting[a.id] = a
	f.apply(t, t.limiter.Update(limit.AcquireMsg{Now: f.now, ID: a.id, Request: limit.Request{Deadline: a.request.deadline}}))
}

func (f *fleet) apply(t *target, cmds []limit.Cmd) {
	for _, c := range cmds {
		switch c := c.(type) {
		case limit.GrantCmd:
			f.serve(t.waiting[c.ID])
		case limit.WaitCmd:
			f.answer(t.waiting[c.ID], func(a *attempt) { a.heard = true })
			f.after(c.Until.Sub(f.now), func() { f.apply(t, t.limiter.Update(limit.TickMsg{Now: f.now})) })
		case limit.RefuseCmd:
			a := t.waiting[c.ID]
			delete(t.waiting, c.ID)
			f.answer(a, func(a *attempt) { f.endAtEdge(a, eject.KindNone) })
		}
	}
}

// answer runs the function when the agent's message reaches the edge, if the path back is up.
func (f *fleet) answer(a *attempt, run func(*attempt)) {
	if f.fault.pathUp(f, a.target.node.model.Ref, a.edge.model.Ref) {
		f.after(f.deployment.delay(a.edge.model, a.target.node.model), func() { run(a) })
	}
}

func (f *fleet) serve(a *attempt) {
	t := a.target
	a.granted = f.now
	f.answer(a, func(a *attempt) { a.heard = true })
	t.flights.add(a, t.index, f.now)
	b := f.fault.serve(f, t.index, f.usual(a.request.class), a.request.class)
	if f.unlimited {
		b.took = max(b.took, b.took*time.Duration(t.limiter.Load().InFlight)/time.Duration(f.deployment.slots))
	}
	if !b.stalled {
		f.after(b.took, func() { f.endAtAgent(a, b.kind) })
	}
}

func (f *fleet) endAtAgent(a *attempt, kind eject.Kind) {
	if a.served {
		return
	}
	a.served = true
	t := a.target
	delete(t.waiting, a.id)
	t.flights.remove(a, t.index)
	t.node.agent.Update(eject.ResultMsg{
		Now: f.now, Target: t.model.Ref, Class: a.request.class, Duration: f.now.Sub(a.granted), Kind: kind, Idempotent: true,
	})
	f.apply(t, t.limiter.Update(limit.ReleaseMsg{Now: f.now, ID: a.id, Result: limit.Result{OK: kind == eject.KindOK}}))
	f.answer(a, func(a *attempt) { f.endAtEdge(a, kind) })
}

// cancelAtAgent passes the edge's end of an attempt on.
func (f *fleet) cancelAtAgent(a *attempt, kind eject.Kind) {
	switch {
	case a.served:
	case !a.granted.IsZero():
		if kind == eject.KindPathFailure {
			kind = eject.KindCanceled
		}
		f.endAtAgent(a, kind)
	case a.target.waiting[a.id] != nil:
		delete(a.target.waiting, a.id)
		f.apply(a.target, a.target.limiter.Update(limit.CancelMsg{Now: f.now, ID: a.id}))
	}
}

func (f *fleet) endAtEdge(a *attempt, kind eject.Kind) {
	if a.ended {
		return
	}
	a.ended = true
	n := a.edge
	n.flights.remove(a, a.target.index)
	if kind == eject.KindOK {
		n.silences[a.target.index] = 0
	}
	if kind == eject.KindTimeout || kind == eject.KindPathFailure {
		if f.fault.pathUp(f, n.model.Ref, a.target.node.model.Ref) {
			f.after(f.deployment.delay(n.model, a.target.node.model), func() { f.cancelAtAgent(a, kind) })
		}
	}
	var load picker.Load
	if kind == eject.KindOK || kind == eject.KindError || kind == eject.KindNone {
		l := a.target.limiter.Load()
		load = picker.Load{InFlight: l.InFlight + l.Waiting, Limit: l.Limit}
	}
	n.policy.done(a, kind, load)
	f.conclude(a, kind)
}

// conclude answers the caller or tries another target within the retry budget.
func (f *fleet) conclude(a *attempt, kind eject.Kind) {
	n, r := a.edge, a.request
	switch {
	case kind == eject.KindOK:
		f.counts.done++
	case r.attempts < maxAttempts && n.budget >= 1 && f.now.Before(r.deadline):
		n.budget--
		f.counts.retries++
		r.exclude = append(r.exclude, a.target.model.Ref)
		f.send(n, r)
	case kind == eject.KindNone:
		f.counts.refused++
	default:
		f.counts.failed++
	}
}

// judge lets the modules of one node look at what is in flight and decide.
func (f *fleet) judge(n *node) {
	f.after(judgeInterval, func() { f.judge(n) })
	n.policy.judge()
	if n.agent == nil {
		return
	}
	t := f.targets[n.index]
	t.flights.report(n.agent, f.now, f.targets)
	for _, c := range n.agent.Update(eject.TickMsg{Now: f.now}) {
		if claims, ok := c.(eject.ClaimsCmd); ok {
			f.publish(n, claims.Claims)
		}
	}
}

// publish spreads the claims of one agent with the delay of gossip; an older version never replaces a newer one.
func (f *fleet) publish(from *node, claims []model.Claim) {
	from.version++
	version := from.version
	for _, n := range f.nodes {
		d := claimDelayMin + f.upTo(f.gossip-claimDelayMin)
		if n == from {
			d = ownClaimDelay
		}
		f.after(d, func() {
			if n.versions[from.index] < version {
				n.versions[from.index] = version
				n.policy.claims(from.index, f.now, claims)
			}
		})
	}
}
