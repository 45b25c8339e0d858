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
	// queuePerSlot bounds the requests that wait for one target. More could not be served within the usual latency
	// objectives, which are three to five times the service time of a request.
	queuePerSlot = 6
	// maxWait bounds the queueing time of a request whose edge states no patience.
	maxWait = 30 * time.Second
	// callRankOffset exceeds any configured route rank.
	callRankOffset = 1 << 20
	// stallCheckInterval is the interval between checks for requests that have not been answered.
	stallCheckInterval = 250 * time.Millisecond
)

// admission decides which requests to one target run, wait or are refused. It combines the health of the target, from
// package health, with the slot accounting of package limit.
type admission struct {
	clock    timer.Service
	limiter  *limit.Limiter
	onChange func(unhealthy bool, logOdds float64)
	// extraRetries returns the retries that the target may take per window in addition to the ratio of its requests.
	extraRetries func() float64
	window       time.Duration

	mu          sync.Mutex
	health      *health.Module
	retryBudget *retry.Window
	// startedAt is when the admission began to count arrivals.
	startedAt time.Time
	lastID    uint64
	running   int
}

type admissionPermit struct {
	admission *admission
	permit    limit.Permit
	id        uint64
}

// refusedError carries the reason and the suggested retry delay of a refusal to the edge.
type refusedError struct {
	reason string
	wait   time.Duration
	// successRatio is the fraction of recent requests that an unhealthy target served.
	successRatio float64
}

// admissionConfig holds the parameters of newAdmission.
type admissionConfig struct {
	slots        int
	clock        timer.Service
	retryBudget  RetryBudget
	extraRetries func() float64
	onChange     func(unhealthy bool, logOdds float64)
}

func newAdmission(c admissionConfig) *admission {
	return &admission{
		clock: c.clock, limiter: limit.New(limit.Config{Settings: admissionSettings(c.slots), Now: c.clock.Now}),
		onChange: c.onChange, extraRetries: c.extraRetries, health: health.New(health.Settings{}),
		retryBudget: retry.NewWindow(c.retryBudget.Window, retryMargin*c.retryBudget.Ratio), startedAt: c.clock.Now(), window: c.retryBudget.Window,
	}
}

func admissionSettings(slots int) limit.Settings {
	return limit.Settings{Slots: slots, Places: slots * queuePerSlot, MaxWait: maxWait, DeepQueue: true, FixedLimit: true, FairTurns: true}
}

// Acquire admits the request or fails with a refusedError.
func (a *admission) Acquire(ctx context.Context, r agent.AdmitRequest) (agent.Permit, error) {
	request := limit.Request{
		Deadline: r.Deadline, Patience: r.Patience, HasPatience: r.HasPatience, Rank: rankOf(r.Class), Objective: r.Objective,
		Route: r.Route, Account: r.Account, RunsOnce: !r.Class.Idempotent,
	}
	if r.Class.Nested {
		// The latency objective applies to the request that makes the call, not to the call itself.
		request.Objective = time.Time{}
	}
	kind, err := a.checkHealth(r.Class)
	if err != nil {
		return nil, err
	}
	if kind == health.Trial {
		// A queued trial would block other trials.
		request.Patience, request.HasPatience = 0, true
	}
	permit, err := a.limiter.Acquire(ctx, request)
	if err != nil {
		return nil, refusalOf(err)
	}
	return a.start(permit, r)
}

// rankOf ranks calls ahead of all other requests and in the order of their parent requests. A parent request holds a
// slot elsewhere and has done most of its work, which is lost if the call is refused. Calls of parents that already had
// a call served come first, so that an overloaded service completes some requests instead of half of each.
func rankOf(c relay.Class) int {
	switch {
	case c.Nested && c.HasProgress:
		return c.Rank - 2*callRankOffset
	case c.Nested:
		return c.Rank - callRankOffset
	default:
		return c.Rank
	}
}

// checkHealth refuses a request if the target is unhealthy.
func (a *admission) checkHealth(c relay.Class) (health.VerdictKind, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.decide(c)
}

func (a *admission) decide(c relay.Class) (health.VerdictKind, error) {
	v := a.health.Decide(a.clock.Now(), c.Idempotent)
	if v.Kind == health.Refuse && (!c.Forced || v.SuccessRatio < picker.MinSuccessRatio) {
		return v.Kind, &refusedError{reason: relay.ReasonUnhealthy, wait: v.RetryAfter, successRatio: v.SuccessRatio}
	}
	return v.Kind, nil
}

// start checks the health again, because the request may have waited in the queue, and registers it as running.
func (a *admission) start(permit limit.Permit, r agent.AdmitRequest) (agent.Permit, error) {
	a.mu.Lock()
	kind, err := a.decide(r.Class)
	if err == nil {
		err = a.countArrival(r.Class)
	}
	if err != nil {
		a.mu.Unlock()
		permit.Release(limit.Result{Unsent: true})
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

// countArrival counts a request and refuses a retry that exceeds the retry budget of the target.
func (a *admission) countArrival(c relay.Class) error {
	now := a.clock.Now()
	if !c.Retry {
		a.retryBudget.CountFirst(now)
		return nil
	}
	if !a.retryBudget.AllowRetry(now, a.extraRetries()*a.warmup(now)) {
		return &refusedError{reason: relay.ReasonBudget}
	}
	return nil
}

// warmup returns the fraction of the extra retries that the target may take. It grows from 0 to 1 over one window,
// because a restart loses the count of earlier retries, and the full number must not be available twice in one window.
func (a *admission) warmup(now time.Time) float64 {
	return min(1, float64(now.Sub(a.startedAt))/float64(a.window))
}

// Release frees the slot and reports the result to the health module.
func (p admissionPermit) Release(r agent.Result) {
	a := p.admission
	a.mu.Lock()
	a.running--
	cmds := a.health.Update(health.EndMsg{Now: a.clock.Now(), ID: p.id, Kind: evidenceOf(r.Kind)})
	a.mu.Unlock()
	a.apply(cmds)
	p.permit.Release(limit.Result{OK: r.Kind == agent.ResultOK, Unsent: !r.Sent})
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

// checkStalls reports the current time to the health module, which detects requests that have not been answered.
func (a *admission) checkStalls() {
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

// Configure applies a changed number of slots; requests in flight keep theirs.
func (a *admission) Configure(slots int, _ model.ServiceSpec) {
	a.limiter.SetSettings(admissionSettings(slots))
}

// SetRate changes the rate limit that the target states, in requests per second.
func (a *admission) SetRate(rate float64, limited bool) {
	a.limiter.SetRate(rate, limited)
}

// RateWait returns how long one more request would wait for the rate limit.
func (a *admission) RateWait() time.Duration {
	return a.limiter.RateWait()
}

// Load returns the requests in flight or queued and the limit.
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
	case limit.ReasonRateLimit:
		reason = relay.ReasonRateLimit
	}
	return &refusedError{reason: reason, wait: refused.RetryAfter}
}

// Error returns the reason and when to retry.
func (e *refusedError) Error() string {
	return "not admitted: " + e.reason + "; try another target, or this one after " + e.wait.String()
}

// Reason returns the refusal reason sent to the edge.
func (e *refusedError) Reason() string { return e.reason }

// SuccessRatio returns the fraction of recent requests that an unhealthy target served.
func (e *refusedError) SuccessRatio() float64 { return e.successRatio }

// ExpectedWait returns the suggested delay before a retry.
func (e *refusedError) ExpectedWait() time.Duration { return e.wait }
