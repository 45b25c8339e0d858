package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Config configures a limiter.
type Config struct {
	Settings Settings
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Limiter wraps the module of one target for concurrent use.
type Limiter struct {
	now  func() time.Time
	load atomic.Pointer[Load]

	mu      sync.Mutex
	module  *Module
	nextID  uint64
	waiting map[uint64]chan Cmd
	// wake sends the tick that a WakeCmd has asked for.
	wake *time.Timer
}

// Permit is an admission; it must be released once.
type Permit struct {
	limiter *Limiter
	id      uint64
}

// New returns a limiter with no request in flight.
func New(c Config) *Limiter {
	if c.Now == nil {
		c.Now = time.Now
	}
	l := &Limiter{now: c.Now, module: NewModule(c.Settings), waiting: make(map[uint64]chan Cmd)}
	l.publish()
	return l
}

// SetSettings replaces the settings; running requests keep their slots.
func (l *Limiter) SetSettings(s Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(l.module.Update(SettingsMsg{Now: l.now(), Settings: s}))
}

// Acquire admits the request, or fails with *RefusedError or, if ctx ends while the request waits, with its error.
func (l *Limiter) Acquire(ctx context.Context, r Request) (Permit, error) {
	id, decision, until := l.submit(r)
	if decision != nil {
		return l.permitOrError(id, decision)
	}
	return l.wait(ctx, id, until)
}

// Load returns the current load.
func (l *Limiter) Load() Load { return *l.load.Load() }

// Release frees the slot; a second call has no effect.
func (p Permit) Release(r Result) {
	if p.limiter == nil {
		return
	}
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(l.module.Update(ReleaseMsg{Now: l.now(), ID: p.id, Result: r}))
}

// submit returns the decision if there is one at once; otherwise the request is queued until the returned time.
func (l *Limiter) submit(r Request) (id uint64, decision Cmd, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	id = l.nextID
	cmds := l.module.Update(AcquireMsg{Now: l.now(), ID: id, Request: r})
	var rest []Cmd
	for _, c := range cmds {
		switch {
		case idOf(c) != id:
			rest = append(rest, c)
		case isWait(c):
			until = c.(WaitCmd).Until
		default:
			decision = c
		}
	}
	if decision == nil {
		l.waiting[id] = make(chan Cmd, 1)
	}
	l.apply(rest)
	return id, decision, until
}

func (l *Limiter) wait(ctx context.Context, id uint64, until time.Time) (Permit, error) {
	l.mu.Lock()
	decisions := l.waiting[id]
	l.mu.Unlock()
	timer := time.NewTimer(until.Sub(l.now()))
	defer timer.Stop()
	for {
		select {
		case decision := <-decisions:
			l.forget(id)
			return l.permitOrError(id, decision)
		case <-timer.C:
			l.tick()
			timer.Reset(time.Millisecond)
		case <-ctx.Done():
			return Permit{}, l.cancel(ctx, id, decisions)
		}
	}
}

func (l *Limiter) permitOrError(id uint64, decision Cmd) (Permit, error) {
	if refused, ok := decision.(RefuseCmd); ok {
		return Permit{}, &RefusedError{Reason: refused.Reason, RetryAfter: refused.RetryAfter}
	}
	return Permit{limiter: l, id: id}, nil
}

// cancel removes a waiting request from the queue; a slot that was granted at the same moment is freed.
func (l *Limiter) cancel(ctx context.Context, id uint64, decisions chan Cmd) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
	select {
	case decision := <-decisions:
		if _, granted := decision.(GrantCmd); granted {
			l.apply(l.module.Update(ReleaseMsg{Now: l.now(), ID: id, Result: Result{Unsent: true}}))
		}
	default:
		l.apply(l.module.Update(CancelMsg{Now: l.now(), ID: id}))
	}
	return ctx.Err()
}

// RefuseWaiting refuses all waiting requests because the target became unhealthy.
func (l *Limiter) RefuseWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(l.module.Update(RefuseWaitingMsg{Now: l.now()}))
}

// SetRate changes the rate limit that the target states, in requests per second; without limited it states none.
func (l *Limiter) SetRate(rate float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(l.module.Update(RateMsg{Now: l.now(), Rate: rate, Limited: limited}))
}

// RateWait returns how long one more request would wait for the rate limit of the target.
func (l *Limiter) RateWait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.module.RateWait(l.now())
}

func (l *Limiter) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(l.module.Update(TickMsg{Now: l.now()}))
}

func (l *Limiter) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

func (l *Limiter) apply(cmds []Cmd) {
	for _, c := range cmds {
		if wake, ok := c.(WakeCmd); ok {
			l.tickAt(wake.At)
			continue
		}
		if decisions := l.waiting[idOf(c)]; decisions != nil && !isWait(c) {
			decisions <- c
		}
	}
	l.publish()
}

func (l *Limiter) tickAt(at time.Time) {
	if l.wake == nil {
		l.wake = time.AfterFunc(at.Sub(l.now()), l.tick)
		return
	}
	l.wake.Reset(at.Sub(l.now()))
}

func (l *Limiter) publish() {
	load := l.module.Load()
	l.load.Store(&load)
}

func isWait(c Cmd) bool {
	_, ok := c.(WaitCmd)
	return ok
}

func idOf(c Cmd) uint64 {
	switch c := c.(type) {
	case GrantCmd:
		return c.ID
	case WaitCmd:
		return c.ID
	case RefuseCmd:
		return c.ID
	default:
		return 0
	}
}
