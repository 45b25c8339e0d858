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
	clock           *timer.Manual
	becameUnhealthy int
}

func newAdmissionRig(extra float64) *admissionRig {
	r := &admissionRig{clock: timer.NewManual(time.Unix(1000, 0))}
	r.admission = newAdmission(admissionConfig{
		slots: 3, clock: r.clock, retryBudget: RetryBudget{Ratio: 0.2, Window: 10 * time.Second}, extraRetries: func() float64 { return extra },
		onChange: func(unhealthy bool, _ float64) {
			if unhealthy {
				r.becameUnhealthy++
			}
		},
	})
	return r
}

func (r *admissionRig) acquire(c relay.Class, patience time.Duration) (agent.Permit, string) {
	permit, err := r.Acquire(context.Background(), agent.AdmitRequest{Route: "route", Class: c, Patience: patience, HasPatience: true})
	var refused *refusedError
	if errors.As(err, &refused) {
		return nil, refused.reason
	}
	return permit, ""
}

// Pattern: a target turns unhealthy while non-idempotent requests wait for its slots. Guards against running the queued
// requests one after the other on a target that frees its slots by failing fast.
func TestSickTargetRefusesQueuedRequests(t *testing.T) {
	r := newAdmissionRig(0)
	var permits []agent.Permit
	for range 3 {
		permit, reason := r.acquire(relay.Class{}, 0)
		require.Empty(t, reason)
		permits = append(permits, permit)
	}
	reasons := make(chan string, 4)
	for range 4 {
		go func() {
			_, reason := r.acquire(relay.Class{}, time.Minute)
			reasons <- reason
		}()
	}
	require.Eventually(t, func() bool { return r.Load().InFlight == 7 }, time.Second, time.Millisecond)
	permits[0].Release(agent.Result{Kind: agent.ResultReset})
	for range 4 {
		require.Equal(t, relay.ReasonUnhealthy, <-reasons)
	}
	require.Equal(t, 1, r.becameUnhealthy)
	_, reason := r.acquire(relay.Class{}, time.Minute)
	require.Equal(t, relay.ReasonUnhealthy, reason)
	permit, reason := r.acquire(relay.Class{Forced: true}, time.Minute)
	require.Empty(t, reason, "an edge without another target forces the request")
	permit.Release(agent.Result{Kind: agent.ResultOK})
}

// Pattern: all other targets of an overloaded service are full, and a third of the targets fails nine requests in ten.
// Guards against an unhealthy target that runs and fails the forced requests of many edges.
func TestFailingTargetRefusesForcedRequests(t *testing.T) {
	r := newAdmissionRig(0)
	ran := 0
	for range 50 {
		permit, reason := r.acquire(relay.Class{Forced: true}, 0)
		if reason != "" {
			require.Equal(t, relay.ReasonUnhealthy, reason)
			continue
		}
		ran++
		permit.Release(agent.Result{Kind: agent.ResultError})
	}
	require.LessOrEqual(t, ran, 4)
}

// Pattern: a service is saturated with high-priority requests while lower-priority requests elsewhere wait for calls to
// it. Guards against queueing calls behind these requests: the work of the requests that made the calls is lost and
// repeated at another target.
func TestCallsStartBeforeHigherPriorityRequests(t *testing.T) {
	r := newAdmissionRig(0)
	var permits []agent.Permit
	for range 3 {
		permit, reason := r.acquire(relay.Class{Rank: 1}, 0)
		require.Empty(t, reason)
		permits = append(permits, permit)
	}
	started := make(chan string, 11)
	wait := func(name string, c relay.Class) {
		waiting := r.Load().InFlight
		go func() {
			if _, reason := r.acquire(c, time.Minute); reason == "" {
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

// Pattern: running requests make two calls each, one after the other, to a service that can serve two thirds of them.
// Guards against refusing second calls in favor of first ones: a request whose second call is refused loses all of its
// work, while one whose first call is refused loses little.
func TestSecondCallsStartBeforeFirstCalls(t *testing.T) {
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
		// The id of a request's second call is the id of its first call plus requests.
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
	require.Equal(t, rounds*slots/2, serve(true), "every two calls complete a request")
	require.Less(t, serve(false), rounds*slots/2)
	require.Less(t, rankOf(relay.Class{Nested: true, Rank: 9, HasProgress: true}), rankOf(relay.Class{Nested: true}))
}

// Pattern: requests fail because their calls to other services fail. Guards against considering a healthy target
// unhealthy because of such failures.
func TestFailedCallsDoNotAffectHealth(t *testing.T) {
	r := newAdmissionRig(0)
	for range 20 {
		permit, reason := r.acquire(relay.Class{}, 0)
		require.Empty(t, reason)
		permit.Release(agent.Result{Kind: agent.ResultCallFailed})
	}
	require.Zero(t, r.becameUnhealthy)
}

// Pattern: a retry storm. Guards against retries beyond the target's share of the fleet's retry budget, and against
// refusing first attempts when the budget is exhausted.
func TestRetryBudgetRefusesRetries(t *testing.T) {
	r := newAdmissionRig(2)
	_, reason := r.acquire(relay.Class{Idempotent: true, Retry: true}, 0)
	require.Equal(t, relay.ReasonBudget, reason, "a target that has just started has no extra retries")
	r.clock.Advance(10 * time.Second)
	admitted := 0
	for range 50 {
		permit, reason := r.acquire(relay.Class{Idempotent: true, Retry: true}, 0)
		if reason == "" {
			admitted++
			permit.Release(agent.Result{Kind: agent.ResultOK})
		} else {
			require.Equal(t, relay.ReasonBudget, reason)
		}
		first, reason := r.acquire(relay.Class{}, 0)
		require.Empty(t, reason)
		first.Release(agent.Result{Kind: agent.ResultOK})
	}
	share := 49 * 0.2 * retryMargin // The last retry follows 49 first attempts.
	require.Equal(t, 2+int(share), admitted)
}
