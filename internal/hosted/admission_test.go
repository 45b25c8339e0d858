package hosted

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/limit"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/timer"
)

type admissionRig struct {
	*admission
	clock  *timer.Manual
	closed int
}

func newAdmissionRig(extra float64) *admissionRig {
	r := &admissionRig{clock: timer.NewManual(time.Unix(1000, 0))}
	r.admission = newAdmission(admissionConfig{
		slots: 3, clock: r.clock, retries: RetryBudget{Ratio: 0.2, Window: 10 * time.Second}, extra: func() float64 { return extra },
		onChange: func(closed bool, _ float64) {
			if closed {
				r.closed++
			}
		},
	})
	return r
}

func (r *admissionRig) ask(c relay.Class, patience time.Duration) (agent.Permit, string) {
	permit, err := r.Acquire(context.Background(), agent.AdmitRequest{Route: "route", Class: c, Patience: patience, HasPatience: true})
	var refused *refusedError
	if errors.As(err, &refused) {
		return nil, refused.reason
	}
	return permit, ""
}

// Pattern: a target turns sick while orders wait in front of it. Guards against orders that run there one after the other
// once the target's slots come free by failing fast.
func TestSickTargetSendsItsWaitersAway(t *testing.T) {
	r := newAdmissionRig(0)
	var permits []agent.Permit
	for range 3 {
		permit, reason := r.ask(relay.Class{}, 0)
		require.Empty(t, reason)
		permits = append(permits, permit)
	}
	reasons := make(chan string, 4)
	for range 4 {
		go func() {
			_, reason := r.ask(relay.Class{}, time.Minute)
			reasons <- reason
		}()
	}
	require.Eventually(t, func() bool { return r.Load().InFlight == 7 }, time.Second, time.Millisecond)
	permits[0].Release(agent.Result{Kind: agent.ResultReset})
	for range 4 {
		require.Equal(t, relay.ReasonUnhealthy, <-reasons)
	}
	require.Equal(t, 1, r.closed)
	_, reason := r.ask(relay.Class{}, time.Minute)
	require.Equal(t, relay.ReasonUnhealthy, reason)
	permit, reason := r.ask(relay.Class{Forced: true}, time.Minute)
	require.Empty(t, reason, "the last resort of an edge")
	permit.Release(agent.Result{Kind: agent.ResultOK})
}

// Pattern: all other targets of an overloaded service are full, and a third of the targets fails nine requests in ten. Guards
// against orders that run and fail one after the other at a sick target, as the last resort of many edges at once.
func TestHopelessTargetRefusesTheLastResort(t *testing.T) {
	r := newAdmissionRig(0)
	ran := 0
	for range 50 {
		permit, reason := r.ask(relay.Class{Forced: true}, 0)
		if reason != "" {
			require.Equal(t, relay.ReasonUnhealthy, reason)
			continue
		}
		ran++
		permit.Release(agent.Result{Kind: agent.ResultError})
	}
	require.LessOrEqual(t, ran, 4)
}

// Pattern: a service is full of urgent orders while less urgent requests elsewhere wait for calls to it. Guards against calls
// behind the queue of orders: the work of the requests that wait for them is lost, and is done again at another target.
func TestCallsStartBeforeUrgentOrders(t *testing.T) {
	r := newAdmissionRig(0)
	var permits []agent.Permit
	for range 3 {
		permit, reason := r.ask(relay.Class{Rank: 1}, 0)
		require.Empty(t, reason)
		permits = append(permits, permit)
	}
	started := make(chan string, 11)
	wait := func(name string, c relay.Class) {
		waiting := r.Load().InFlight
		go func() {
			if _, reason := r.ask(c, time.Minute); reason == "" {
				started <- name
			}
		}()
		require.Eventually(t, func() bool { return r.Load().InFlight == waiting+1 }, time.Second, time.Millisecond)
	}
	for range 10 {
		wait("order", relay.Class{Rank: 1})
	}
	wait("call", relay.Class{Idempotent: true, Nested: true, Rank: 2})
	permits[0].Release(agent.Result{Kind: agent.ResultOK})
	require.Equal(t, "call", <-started)
	permits[1].Release(agent.Result{Kind: agent.ResultOK})
	require.Equal(t, "order", <-started)
}

// Pattern: running requests make two calls each, one after the other, to a service that can serve two thirds of them. Guards
// against second calls that are refused behind first ones: the request is lost with all of its work, where a request whose
// first call is refused has lost little.
func TestSecondCallsStartBeforeFirstOnes(t *testing.T) {
	const requests, slots, rounds = 300, 4, 100
	serve := func(advanced bool) (whole int) {
		m := limit.NewModule(limit.Settings{Slots: slots, Places: 2 * requests, MaxWait: time.Hour, DeepQueue: true, FixedLimit: true})
		now := time.Unix(1000, 0)
		var running []uint64
		update := func(msg limit.Msg) {
			for _, cmd := range m.Update(msg) {
				if granted, ok := cmd.(limit.GrantCmd); ok {
					running = append(running, granted.ID)
				}
			}
		}
		// The second call of a request has its id and requests more.
		call := func(id uint64) {
			class := relay.Class{Nested: true, Rank: 1, HasProgress: advanced && id >= requests}
			update(limit.AcquireMsg{Now: now, ID: id, Request: limit.Request{Rank: rankOf(class)}})
		}
		for id := range uint64(requests) {
			call(id)
		}
		for range rounds * slots {
			now = now.Add(10 * time.Millisecond)
			ended := running[0]
			running = running[1:]
			if ended >= requests {
				whole++
			} else {
				call(ended + requests)
			}
			update(limit.ReleaseMsg{Now: now, ID: ended, Result: limit.Result{OK: true}})
		}
		return whole
	}
	require.Equal(t, rounds*slots/2, serve(true), "each two calls end a request")
	require.Less(t, serve(false), rounds*slots/2)
	require.Less(t, rankOf(relay.Class{Nested: true, Rank: 9, HasProgress: true}), rankOf(relay.Class{Nested: true}))
}

// Pattern: requests whose calls fail elsewhere. Guards against a sound target that rests for the failures of others.
func TestFailedCallsAreNoEvidence(t *testing.T) {
	r := newAdmissionRig(0)
	for range 20 {
		permit, reason := r.ask(relay.Class{}, 0)
		require.Empty(t, reason)
		permit.Release(agent.Result{Kind: agent.ResultCallFailed})
	}
	require.Zero(t, r.closed)
}

// Pattern: a storm of repeats. Guards against repeats beyond the target's part of the fleet's budget, and against first
// attempts that pay for it.
func TestBudgetRefusesRepeats(t *testing.T) {
	r := newAdmissionRig(2)
	_, reason := r.ask(relay.Class{Idempotent: true, Retry: true}, 0)
	require.Equal(t, relay.ReasonBudget, reason, "a target that restarts has no extra repeats at once")
	r.clock.Advance(10 * time.Second)
	admitted := 0
	for range 50 {
		permit, reason := r.ask(relay.Class{Idempotent: true, Retry: true}, 0)
		if reason == "" {
			admitted++
			permit.Release(agent.Result{Kind: agent.ResultOK})
		} else {
			require.Equal(t, relay.ReasonBudget, reason)
		}
		first, reason := r.ask(relay.Class{}, 0)
		require.Empty(t, reason)
		first.Release(agent.Result{Kind: agent.ResultOK})
	}
	share := 49 * 0.2 * retryMargin // The last repeat is asked for after 49 first attempts.
	require.Equal(t, 2+int(share), admitted)
}
