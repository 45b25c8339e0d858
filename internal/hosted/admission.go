package hosted

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/health"
	"github.com/auburnwinch/auburnwinch/internal/limit"
	"github.com/auburnwinch/auburnwinch/internal/picker"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/retry"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// placesPerSlot bounds the requests that wait for one target. More could not be served within the usual objectives,
	// which are three to five times the work of a request.
	placesPerSlot = 6
	// waitMost bounds the wait of a request whose edge states no patience.
	waitMost = 30 * time.Second
	// callLead is above any rank of a route.
	callLead = 1 << 20
	// stallCheck is the time between two looks at requests that stay unanswered.
	stallCheck = 250 * time.Millisecond
)

// admission decides for one target which requests run, wait or are refused: triage by the target's health, the limiter by
// its slots.
type admission struct {
	clock    timer.Service
	limiter  *limit.Limiter
	onChange func(closed bool, odds float64)
	// extra returns the repeats that the target may take in each window beside the share of its requests.
	extra  func() float64
	window time.Duration

	mu      sync.Mutex
	health  *health.Module
	repeats *retry.Window
	// since is when the admission began to count arrivals.
	since   time.Time
	lastID  uint64
	running int
}

type admissionPermit struct {
	admission *admission
	permit    limit.Permit
	id        uint64
}

// refusedError carries the reason and the expected wait of a refusal to the edge.
type refusedError struct {
	reason string
	wait   time.Duration
	// chance is the share of its latest requests that a sick target served.
	chance float64
}

// admissionConfig constructs an admission.
type admissionConfig struct {
	slots    int
	clock    timer.Service
	retries  RetryBudget
	extra    func() float64
	onChange func(closed bool, odds float64)
}

func newAdmission(c admissionConfig) *admission {
	return &admission{
		clock: c.clock, limiter: limit.New(limit.Config{Settings: admissionSettings(c.slots), Now: c.clock.Now}),
		onChange: c.onChange, extra: c.extra, health: health.New(health.Settings{}),
		repeats: retry.NewWindow(c.retries.Window, retryMargin*c.retries.Ratio), since: c.clock.Now(), window: c.retries.Window,
	}
}

func admissionSettings(slots int) limit.Settings {
	return limit.Settings{Slots: slots, Places: slots * placesPerSlot, MaxWait: waitMost, DeepQueue: true, FixedLimit: true}
}

// Acquire admits the request or fails with the reason of the refusal.
func (a *admission) Acquire(ctx context.Context, r agent.AdmitRequest) (agent.Permit, error) {
	request := limit.Request{
		Deadline: r.Deadline, Patience: r.Patience, HasPatience: r.HasPatience, Rank: rankOf(r.Class), Objective: r.Objective,
		Route: r.Route,
	}
	if r.Class.Nested {
		// What matters is that the request gets its answer in time, not that the call is quick.
		request.Objective = time.Time{}
	}
	kind, err := a.examine(r.Class)
	if err != nil {
		return nil, err
	}
	if kind == health.Trial {
		// A trial that waits would keep others from trying.
		request.Patience, request.HasPatience = 0, true
	}
	permit, err := a.limiter.Acquire(ctx, request)
	if err != nil {
		return nil, refusalOf(err)
	}
	return a.begin(permit, r)
}

// rankOf lets calls start before all other requests, in the order of the requests that wait for them: these hold a slot
// elsewhere and have done most of their work, which is lost if the call is refused. First come those that have had a call
// served: a service that is short of slots then ends some requests instead of half of each.
func rankOf(c relay.Class) int {
	switch {
	case c.Nested && c.HasProgress:
		return c.Rank - 2*callLead
	case c.Nested:
		return c.Rank - callLead
	default:
		return c.Rank
	}
}

// examine refuses a request by the health of the target.
func (a *admission) examine(c relay.Class) (health.VerdictKind, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.decide(c)
}

func (a *admission) decide(c relay.Class) (health.VerdictKind, error) {
	v := a.health.Decide(a.clock.Now(), c.Idempotent)
	if v.Kind == health.Refuse && (!c.Forced || v.SuccessRatio < picker.MinSuccessRatio) {
		return v.Kind, &refusedError{reason: relay.ReasonUnhealthy, wait: v.RetryAfter, chance: v.SuccessRatio}
	}
	return v.Kind, nil
}

// begin looks at the health again, since the request may have waited, and starts its run.
func (a *admission) begin(permit limit.Permit, r agent.AdmitRequest) (agent.Permit, error) {
	a.mu.Lock()
	kind, err := a.decide(r.Class)
	if err == nil {
		err = a.countArrival(r.Class)
	}
	if err != nil {
		a.mu.Unlock()
		permit.Release(limit.Result{})
		return nil, err
	}
	a.lastID++
	a.running++
	p := admissionPermit{admission: a, permit: permit, id: a.lastID}
	cmds := a.health.Update(health.StartMsg{Now: a.clock.Now(), ID: p.id, Route: r.Route, Trial: kind == health.Trial})
	a.mu.Unlock()
	a.apply(cmds)
	return p, nil
}

// countArrival refuses a repeat beyond the budget of the target.
func (a *admission) countArrival(c relay.Class) error {
	now := a.clock.Now()
	if !c.Retry {
		a.repeats.CountFirst(now)
		return nil
	}
	if !a.repeats.AllowRetry(now, a.extra()*a.grown(now)) {
		return &refusedError{reason: relay.ReasonBudget}
	}
	return nil
}

// grown is the part of the extra repeats that the target may take: one that starts does not know what it took before, and
// must not take as much again within the window.
func (a *admission) grown(now time.Time) float64 {
	return min(1, float64(now.Sub(a.since))/float64(a.window))
}

// Release gives the slot back and takes the result as evidence.
func (p admissionPermit) Release(r agent.Result) {
	a := p.admission
	a.mu.Lock()
	a.running--
	cmds := a.health.Update(health.EndMsg{Now: a.clock.Now(), ID: p.id, Kind: evidenceOf(r.Kind)})
	a.mu.Unlock()
	a.apply(cmds)
	p.permit.Release(limit.Result{OK: r.Kind == agent.ResultOK})
}

func evidenceOf(kind agent.ResultKind) health.Kind {
	switch kind {
	case agent.ResultOK:
		return health.Succeeded
	case agent.ResultError, agent.ResultReset, agent.ResultCrashed, agent.ResultNotSent:
		return health.Failed
	case agent.ResultShed:
		return health.Shed
	case agent.ResultCallFailed:
		return health.Neutral
	default:
		return health.Inconclusive
	}
}

// check notices requests that stay unanswered.
func (a *admission) check() {
	a.mu.Lock()
	var cmds []health.Cmd
	if a.running > 0 {
		cmds = a.health.Update(health.TickMsg{Now: a.clock.Now()})
	}
	a.mu.Unlock()
	a.apply(cmds)
}

func (a *admission) apply(cmds []health.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case health.UnhealthyCmd:
			a.limiter.RefuseWaiting()
			a.onChange(true, cmd.LogOdds)
		case health.HealthyCmd:
			a.onChange(false, cmd.LogOdds)
		}
	}
}

// Configure follows changed slots; requests in flight keep theirs.
func (a *admission) Configure(slots int, _ model.ServiceSpec) {
	a.limiter.SetSettings(admissionSettings(slots))
}

// Load returns the present use.
func (a *admission) Load() relay.Load {
	load := a.limiter.Load()
	return relay.Load{InFlight: load.InFlight + load.Waiting, Limit: load.Limit}
}

func refusalOf(err error) error {
	var refused *limit.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	reason := relay.ReasonNoSlot
	switch refused.Reason {
	case limit.ReasonDeadline:
		reason = relay.ReasonDeadline
	case limit.ReasonUnhealthy:
		reason = relay.ReasonUnhealthy
	}
	return &refusedError{reason: reason, wait: refused.RetryAfter}
}

// Error names the reason and the remedy.
func (e *refusedError) Error() string {
	return "not admitted: " + e.reason + "; try another target, or this one after " + e.wait.String()
}

// Reason names the refusal for the edge.
func (e *refusedError) Reason() string { return e.reason }

// Chance returns the share of its latest requests that a sick target served.
func (e *refusedError) Chance() float64 { return e.chance }

// Wait returns the time after which a repeat makes sense.
func (e *refusedError) Wait() time.Duration { return e.wait }
