package picker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/relay"
)

// A target that leaves is absent from the view while its node restarts, and comes back under the same incarnation. Guards
// against new requests for it, also when all other targets are full or sick.
func TestLeavingTargetIsNeverPicked(t *testing.T) {
	for _, negotiate := range []bool{true, false} {
		r := newNegotiatingFixture()
		r.Picker.config.Negotiate = negotiate
		leaving := r.ref(0)
		r.ObserveAnswer(leaving, relay.Notice{Leaving: true}, 0)
		r.ObserveAnswer(leaving, relay.Notice{}, 0)
		without := *r.view
		services := *without.Services[0]
		services.Candidates = services.Candidates[1:]
		without.Services = append(without.Services[:0:0], without.Services...)
		without.Services[0] = &services
		r.SetView(&without)
		r.SetView(r.view)
		var refused []AgentRefusal
		for i := 1; i < len(r.view.Services[0].Candidates); i++ {
			r.MarkUnhealthy(r.ref(i), time.Second, 0.5)
			refused = append(refused, AgentRefusal{Target: r.ref(i), Unhealthy: true})
		}
		for _, request := range []Request{{}, {Idempotent: true}, {Refusals: refused}} {
			for range 50 {
				i, c := r.pick(t, request)
				require.NotZero(t, i)
				r.Done(c, Load{})
			}
		}
	}
}

// Guards against asking a target again whose rate limit is used up, and against a restarted agent that seems to tell that the
// limit has ended because it does not know it.
func TestTargetWithUsedUpLimitIsAvoided(t *testing.T) {
	r := newNegotiatingFixture()
	n := relay.Notice{RateLimit: 1, Limited: true}
	r.ObserveRefusal(r.ref(0), n, 500*time.Millisecond)
	for range 20 {
		i, c := r.pick(t, Request{})
		require.NotZero(t, i)
		r.Done(c, Load{})
	}
	r.ObserveRefusal(r.ref(0), relay.Notice{}, 0)
	require.Equal(t, n, r.Notice(r.ref(0)))
	r.now = r.now.Add(time.Second)
	seen := false
	for range 50 {
		i, c := r.pick(t, Request{})
		seen = seen || i == 0
		r.Done(c, Load{})
	}
	require.True(t, seen, "the limit permits the next request")
	r.ObserveAnswer(r.ref(0), relay.Notice{}, 0)
	require.Equal(t, relay.Notice{}, r.Notice(r.ref(0)))
}

// Most targets have used up their limits. Guards against a request that queues at one of them while a target without a limit
// is idle.
func TestSearchGoesOnBeyondLimitedTargets(t *testing.T) {
	r := newNegotiatingFixture()
	last := len(r.view.Services[0].Candidates) - 1
	var refused []AgentRefusal
	for i := range last {
		refused = append(refused, AgentRefusal{Target: r.ref(i), Wait: 100 * time.Millisecond, RateLimited: true})
	}
	i, c := r.pick(t, Request{Refusals: refused, Objective: 2 * time.Second})
	require.Equal(t, last, i)
	require.Zero(t, c.Patience)
}

// All targets are full or have used up their limits, and none was asked yet. Guards against a request that queues at a target
// with a limit while another one only lacks a slot.
func TestFullTargetBeforeLimitedTarget(t *testing.T) {
	r := newNegotiatingFixture()
	last := len(r.view.Services[0].Candidates) - 1
	for i := range last {
		r.ObserveRefusal(r.ref(i), relay.Notice{RateLimit: 1, Limited: true}, time.Second)
	}
	for range 3 {
		c, err := r.Pick(Request{Service: testService, Remaining: time.Second})
		require.NoError(t, err)
		require.Equal(t, last, r.indexOf(c))
	}
	i, c := r.pick(t, Request{})
	require.Equal(t, last, i)
	require.Positive(t, c.Patience)
}

// Guards against notices that are kept forever for targets that no longer exist.
func TestOldNoticesAreDropped(t *testing.T) {
	r := newNegotiatingFixture()
	gone := r.ref(0)
	gone.ID = "gone"
	r.ObserveAnswer(gone, relay.Notice{RateLimit: 1, Limited: true}, 0)
	r.now = r.now.Add(noticeExpiry + time.Second)
	r.SetView(r.view)
	require.Empty(t, r.kept)
	require.Zero(t, r.noticeCount.Load())
}
