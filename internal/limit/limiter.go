package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Config constructs a limiter.
type Config struct {
	Settings Settings
	// Now tells the time; nil means time.Now.
	Now func() time.Time
}

// Limiter is the concurrent shell of the module of one target.
type Limiter struct {
	now  func() time.Time
	load atomic.Pointer[Load]

	mu      sync.Mutex
	module  *Module
	nextID  uint64
	waiting map[uint64]chan Cmd
}

// Permit is an admission; it must be released once.
type Permit struct {
	limiter *Limiter
	id      uint64
}

// New returns a limiter with nothing in flight.
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

// Acquire admits the request or fails with *RefusedError, or with the error of the context while it waits.
func (l *Limiter) Acquire(ctx context.Context, r Request) (Permit, error) {
	id, answer, until := l.ask(r)
	if answer != nil {
		return l.conclude(id, answer)
	}
	return l.wait(ctx, id, until)
}

// Load returns the present use.
func (l *Limiter) Load() Load { return *l.load.Load() }

// Release gives the slot back; a second call has no effect.
func (p Permit) Release(r Result) {
	if p.limiter == nil {
		return
	}
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(l.module.Update(ReleaseMsg{Now: l.now(), ID: p.id, Result: r}))
}

// ask returns the answer if it is given at once; otherwise the request waits until the returned time.
func (l *Limiter) ask(r Request) (id uint64, answer Cmd, until time.Time) {
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
			answer = c
		}
	}
	if answer == nil {
		l.waiting[id] = make(chan Cmd, 1)
	}
	l.apply(rest)
	return id, answer, until
}

func (l *Limiter) wait(ctx context.Context, id uint64, until time.Time) (Permit, error) {
	l.mu.Lock()
	answers := l.waiting[id]
	l.mu.Unlock()
	timer := time.NewTimer(until.Sub(l.now()))
	defer timer.Stop()
	for {
		select {
		case answer := <-answers:
			l.forget(id)
			return l.conclude(id, answer)
		case <-timer.C:
			l.tick()
			timer.Reset(time.Millisecond)
		case <-ctx.Done():
			return Permit{}, l.cancel(ctx, id, answers)
		}
	}
}

func (l *Limiter) conclude(id uint64, answer Cmd) (Permit, error) {
	if refused, ok := answer.(RefuseCmd); ok {
		return Permit{}, &RefusedError{Reason: refused.Reason, RetryAfter: refused.RetryAfter}
	}
	return Permit{limiter: l, id: id}, nil
}

// cancel withdraws a waiting request; a grant that came at the same moment is given back.
func (l *Limiter) cancel(ctx context.Context, id uint64, answers chan Cmd) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
	select {
	case answer := <-answers:
		if _, granted := answer.(GrantCmd); granted {
			l.apply(l.module.Update(ReleaseMsg{Now: l.now(), ID: id}))
		}
	default:
		l.apply(l.module.Update(CancelMsg{Now: l.now(), ID: id}))
	}
	return ctx.Err()
}

// RefuseWaiting refuses all waiting requests, because the target turned out to be sick.
func (l *Limiter) RefuseWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(l.module.Update(FlushMsg{Now: l.now()}))
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
		if answers := l.waiting[idOf(c)]; answers != nil && !isWait(c) {
			answers <- c
		}
	}
	l.publish()
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
