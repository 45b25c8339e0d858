package picker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

func newNegotiatingFixture() *fixture {
	r := newFixture(7)
	r.Picker.config.Negotiate = true
	return r
}

func (r *fixture) ref(i int) model.TargetRef { return r.view.Services[0].Candidates[i].Target.Ref }

// indexOf returns the index of the picked target.
func (r *fixture) indexOf(c Choice) int {
	for i := range r.view.Services[0].Candidates {
		if r.ref(i) == c.Candidate.Target.Ref {
			return i
		}
	}
	return -1
}

func (r *fixture) pick(t *testing.T, request Request) (int, Choice) {
	t.Helper()
	request.Service = testService
	if request.Remaining == 0 {
		request.Remaining = time.Second
	}
	c, err := r.Pick(request)
	require.NoError(t, err)
	return r.indexOf(c), c
}

// All targets of the local failure domain are full. Guards against a request that queues there while others have room,
// against one that asks the whole fleet, and against one that waits where the wait is longer.
func TestFullDomainSpillsThenWaits(t *testing.T) {
	r := newNegotiatingFixture()
	var refused []AgentRefusal
	for attempt := range maxNoWaitAttempts {
		i, c := r.pick(t, Request{Refusals: refused, Bytes: 5 << 10})
		require.Zero(t, c.Patience, "a free slot is requested first")
		require.Equal(t, attempt < 2, i < 2, "the local failure domain comes first")
		require.Equal(t, attempt < 4, i < 4, "then the region")
		r.Done(c, Load{InFlight: 3, Limit: 3})
		refused = append(refused, AgentRefusal{Target: r.ref(i), Wait: time.Duration(900-50*attempt) * time.Millisecond})
	}
	i, c := r.pick(t, Request{Refusals: refused, Bytes: 5 << 10})
	require.Less(t, i, 4, "saving 50 ms does not justify another region")
	require.Equal(t, time.Second, c.Patience)
	require.False(t, c.Forced)

	withRemote := []AgentRefusal{
		{Target: r.ref(0), Wait: 900 * time.Millisecond},
		{Target: r.ref(1), Wait: 900 * time.Millisecond},
		{Target: r.ref(2), Wait: 900 * time.Millisecond},
		{Target: r.ref(3), Wait: 900 * time.Millisecond},
		{Target: r.ref(8), Wait: 60 * time.Millisecond},
	}
	i, _ = r.pick(t, Request{Refusals: withRemote, Bytes: 5 << 10})
	require.Equal(t, 8, i, "a long wait justifies another region")
}

// The local failure domain is briefly full while large downloads run. Guards against bodies that cross regions although
// this saves the caller less time than the transfer is worth.
func TestLargeResponsesStayLocal(t *testing.T) {
	r := newNegotiatingFixture()
	var refused []AgentRefusal
	for i := range 2 {
		refused = append(refused, AgentRefusal{Target: r.ref(i), Wait: 300 * time.Millisecond})
	}
	large := Request{Refusals: refused, Bytes: 90 << 10, Objective: 2 * time.Second, Remaining: 4 * time.Second}
	i, c := r.pick(t, large)
	require.Less(t, i, 2, "300 ms are less than a quarter of the objective")
	require.Equal(t, large.Remaining, c.Patience)
	r.Done(c, Load{InFlight: 3, Limit: 3})
	small := large
	small.Bytes = 2 << 10
	i, c = r.pick(t, small)
	require.True(t, i == 2 || i == 3, "a small request goes to the next failure domain")
	require.Zero(t, c.Patience)
	r.Done(c, Load{})
	for j := range large.Refusals {
		large.Refusals[j].Wait = 900 * time.Millisecond
	}
	i, _ = r.pick(t, large)
	require.True(t, i == 2 || i == 3, "a caller does not wait longer than a quarter of the objective for locality")
}

// Nearly every target is sick. Guards against refusing a request while a sick target may still serve it, against
// requests that run and fail at targets that fail nearly everything, and against preferring a sick target to a healthy
// one with a queue, whether that one was asked before or not.
func TestSickTargetsAreTheLastResort(t *testing.T) {
	r := newNegotiatingFixture()
	var refused []AgentRefusal
	for i := range 12 {
		refused = append(refused, AgentRefusal{Target: r.ref(i), Wait: time.Duration(i+1) * 100 * time.Millisecond, Unhealthy: true})
		r.MarkUnhealthy(r.ref(i), refused[i].Wait, 0.4)
	}
	i, c := r.pick(t, Request{Refusals: refused})
	require.Equal(t, 0, i, "the one expected to recover first")
	require.True(t, c.Forced)
	r.Done(c, Load{})
	refused[7].Wait, refused[7].Unhealthy = 500*time.Millisecond, false
	i, c = r.pick(t, Request{Refusals: refused})
	require.Equal(t, 7, i)
	require.False(t, c.Forced)
	r.Done(c, Load{})
	refused[7].Unhealthy = true
	for i := range 12 {
		r.MarkUnhealthy(r.ref(i), refused[i].Wait, 0.1)
	}
	_, err := r.Pick(Request{Service: testService, Refusals: refused, Remaining: time.Second})
	require.Error(t, err, "a success ratio of one in ten is too low")

	r = newNegotiatingFixture()
	for i := range 12 {
		if i != 9 {
			r.MarkUnhealthy(r.ref(i), time.Second, 0.1)
		}
	}
	var busy []Choice
	for range 3 {
		i, c := r.pick(t, Request{})
		require.Equal(t, 9, i)
		busy = append(busy, c)
	}
	i, c = r.pick(t, Request{})
	require.Equal(t, 9, i, "the only healthy target has a queue")
	require.False(t, c.Forced)
	require.Equal(t, time.Second, c.Patience)
	require.Len(t, busy, 3)

	var all []model.TargetRef
	for i := range 12 {
		all = append(all, r.ref(i))
	}
	_, err = r.Pick(Request{Service: testService, Exclude: all, Remaining: time.Second})
	require.Error(t, err)
}

// Guards against requests sent to a target that its agent has just reported as sick, and against a sick target that is
// never tried again.
func TestSickTargetIsAvoided(t *testing.T) {
	r := newNegotiatingFixture()
	r.MarkUnhealthy(r.ref(0), 800*time.Millisecond, 0.1)
	for range 3 {
		i, c := r.pick(t, Request{})
		require.NotZero(t, i)
		r.Done(c, Load{})
	}
	i, c := r.pick(t, Request{Idempotent: true})
	require.NotZero(t, i, "the target was just reported as sick")
	r.Done(c, Load{})
	r.now = r.now.Add(sickTrialInterval)
	i, c = r.pick(t, Request{Idempotent: true})
	require.Zero(t, i, "an idempotent request may try it")
	r.Done(c, Load{})
	r.now = r.now.Add(time.Second)
	i, _ = r.pick(t, Request{})
	require.Zero(t, i)
}

// A VM is gone or unreachable. Guards against every request waiting for a timeout on its path, and against a path that
// is never tried again.
func TestFailedPathIsAvoided(t *testing.T) {
	r := newNegotiatingFixture()
	avoidedFor := time.Duration(0)
	for failure := range 4 {
		r.MarkPathFailed(r.ref(0))
		r.MarkPathFailed(r.ref(0)) // A request already in flight gives no new information.
		start := r.now
		for {
			i, c := r.pick(t, Request{})
			r.Done(c, Load{})
			if i == 0 {
				break
			}
			r.now = r.now.Add(100 * time.Millisecond)
		}
		require.Greater(t, r.now.Sub(start), avoidedFor, "failure %d", failure)
		require.LessOrEqual(t, r.now.Sub(start), maxPathBackoff)
		avoidedFor = r.now.Sub(start)
	}
	r.MarkPathUp(r.ref(0))
	i, _ := r.pick(t, Request{})
	require.Zero(t, i)
}

// A VM has left permanently while the store was unavailable, so that its row stays. Guards against requests that find
// out, after each backoff, that the VM is still gone, and against a path that stays avoided after it works again.
func TestFailedPathIsCheckedBeforeUse(t *testing.T) {
	r := newNegotiatingFixture()
	r.config.CheckPaths = true
	r.MarkPathFailed(r.ref(0))
	require.Empty(t, r.PathsToCheck(), "the path has just failed")
	for range 4 {
		for len(r.PathsToCheck()) == 0 {
			r.now = r.now.Add(100 * time.Millisecond)
		}
		require.Equal(t, r.ref(0), r.PathsToCheck()[0].Target.Ref)
		i, c := r.pick(t, Request{})
		require.NotZero(t, i)
		r.Done(c, Load{})
		r.MarkPathFailed(r.ref(0))
	}
	r.MarkPathUp(r.ref(0))
	require.Empty(t, r.PathsToCheck())
	i, _ := r.pick(t, Request{})
	require.Zero(t, i)
}

// A VM is frozen: connections to it open, but requests get no response. Guards against a path check that resets the
// backoff, so that callers try the path every half second.
func TestBackoffGrowsDespiteSuccessfulChecks(t *testing.T) {
	r := newNegotiatingFixture()
	r.config.CheckPaths = true
	last := time.Duration(0)
	for range 4 {
		r.MarkPathFailed(r.ref(0))
		start := r.now
		for len(r.PathsToCheck()) == 0 {
			r.now = r.now.Add(100 * time.Millisecond)
		}
		require.Greater(t, r.now.Sub(start), last)
		last = r.now.Sub(start)
		r.MarkPathReachable(r.ref(0))
		i, c := r.pick(t, Request{})
		require.Zero(t, i, "a request may use the path")
		r.Done(c, Load{})
	}
}

// Guards against a target that appears loaded by the request that it has just completed, which sends every second
// request of a caller elsewhere.
func TestCompletedRequestDoesNotCountAsLoad(t *testing.T) {
	r := newNegotiatingFixture()
	_, c := r.pick(t, Request{})
	r.Done(c, Load{InFlight: 1, Limit: 3, IncludesRequest: true})
	require.Zero(t, c.entry.counters.load(r.now))
	_, c = r.pick(t, Request{})
	r.Done(c, Load{InFlight: 3, Limit: 3})
	require.InDelta(t, 3, c.entry.counters.load(r.now), 0.01, "the reported load does not include the refused request")
}

// In an overloaded service, some targets lose a part of their responses. Guards against requests that spend their time
// waiting for healthy targets while the sick ones could serve most of them, and against using targets that fail nearly
// everything.
func TestPartlySickTargetsAreUsedUnderOverload(t *testing.T) {
	r := newNegotiatingFixture()
	var refused []AgentRefusal
	for i := range 12 {
		refused = append(refused, AgentRefusal{Target: r.ref(i), Wait: 900 * time.Millisecond})
	}
	refused[4].Unhealthy, refused[5].Unhealthy = true, true
	r.MarkUnhealthy(r.ref(4), time.Second, 0.3)
	r.MarkUnhealthy(r.ref(5), time.Second, 0.3)
	request := Request{Refusals: refused, Objective: 2 * time.Second, Remaining: 4 * time.Second}
	_, c := r.pick(t, request)
	require.False(t, c.Forced)
	r.Done(c, Load{})
	r.MarkUnhealthy(r.ref(5), time.Second, 0.8)
	i, c := r.pick(t, request)
	require.Equal(t, 5, i)
	require.True(t, c.Forced)
	r.Done(c, Load{})
	for j := range refused {
		refused[j].Wait = 100 * time.Millisecond
	}
	_, c = r.pick(t, request)
	require.False(t, c.Forced, "a short wait is better")
}
