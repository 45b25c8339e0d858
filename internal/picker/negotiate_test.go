package picker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

func newNegotiatingRig() *rig {
	r := newRig(7)
	r.Picker.config.Negotiate = true
	return r
}

func (r *rig) ref(i int) model.TargetRef { return r.view.Services[0].Candidates[i].Target.Ref }

// indexOf returns the number of the chosen target.
func (r *rig) indexOf(c Choice) int {
	for i := range r.view.Services[0].Candidates {
		if r.ref(i) == c.Candidate.Target.Ref {
			return i
		}
	}
	return -1
}

func (r *rig) pick(t *testing.T, request Request) (int, Choice) {
	t.Helper()
	request.Service = testService
	if request.Remaining == 0 {
		request.Remaining = time.Second
	}
	c, err := r.Pick(request)
	require.NoError(t, err)
	return r.indexOf(c), c
}

// Pattern: the targets of the own failure domain are full. Guards against a request that queues there while others have
// room, against one that asks the whole fleet, and against one that waits where the wait is longer.
func TestFullDomainSpillsThenWaits(t *testing.T) {
	r := newNegotiatingRig()
	var refused []AgentRefusal
	for ask := range quickAsks {
		i, c := r.pick(t, Request{Refusals: refused, Bytes: 5 << 10})
		require.Zero(t, c.Patience, "a free slot is asked for first")
		require.Equal(t, ask < 2, i < 2, "the own failure domain comes first")
		require.Equal(t, ask < 4, i < 4, "then the region")
		r.Done(c, Load{InFlight: 3, Limit: 3})
		refused = append(refused, AgentRefusal{Target: r.ref(i), Wait: time.Duration(900-50*ask) * time.Millisecond})
	}
	i, c := r.pick(t, Request{Refusals: refused, Bytes: 5 << 10})
	require.Less(t, i, 4, "50 ms are not worth another region")
	require.Equal(t, time.Second, c.Patience)
	require.False(t, c.Forced)

	far := []AgentRefusal{
		{Target: r.ref(0), Wait: 900 * time.Millisecond},
		{Target: r.ref(1), Wait: 900 * time.Millisecond},
		{Target: r.ref(2), Wait: 900 * time.Millisecond},
		{Target: r.ref(3), Wait: 900 * time.Millisecond},
		{Target: r.ref(8), Wait: 60 * time.Millisecond},
	}
	i, _ = r.pick(t, Request{Refusals: far, Bytes: 5 << 10})
	require.Equal(t, 8, i, "a long wait is")
}

// Pattern: large downloads while the own failure domain is busy for a moment. Guards against bodies that cross regions to
// save their caller less time than the crossing is worth.
func TestLargeAnswersStayNear(t *testing.T) {
	r := newNegotiatingRig()
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
	require.True(t, i == 2 || i == 3, "a small one goes to the next failure domain")
	require.Zero(t, c.Patience)
	r.Done(c, Load{})
	for j := range large.Refusals {
		large.Refusals[j].Wait = 900 * time.Millisecond
	}
	i, _ = r.pick(t, large)
	require.True(t, i == 2 || i == 3, "a caller does not wait longer than a quarter of the objective for locality")
}

// Pattern: nearly every target is sick. Guards against a refusal while a doubtful target may still serve, against requests
// that run and fail at targets which fail nearly all, and against a doubtful target that is preferred to a sound one with a
// queue, asked before or not.
func TestSickTargetsAreTheLastResort(t *testing.T) {
	r := newNegotiatingRig()
	var refused []AgentRefusal
	for i := range 12 {
		refused = append(refused, AgentRefusal{Target: r.ref(i), Wait: time.Duration(i+1) * 100 * time.Millisecond, Unhealthy: true})
		r.MarkUnhealthy(r.ref(i), refused[i].Wait, 0.4)
	}
	i, c := r.pick(t, Request{Refusals: refused})
	require.Equal(t, 0, i, "the one that is expected back first")
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
	require.Error(t, err, "one in ten is no offer")

	r = newNegotiatingRig()
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
	require.Equal(t, 9, i, "the only sound target has a queue")
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

// Guards against orders that are sent to a target whose agent has just called it sick, and against one that is never asked
// again.
func TestRestingTargetIsAvoided(t *testing.T) {
	r := newNegotiatingRig()
	r.MarkUnhealthy(r.ref(0), 800*time.Millisecond, 0.1)
	for range 3 {
		i, c := r.pick(t, Request{})
		require.NotZero(t, i)
		r.Done(c, Load{})
	}
	i, c := r.pick(t, Request{Idempotent: true})
	require.NotZero(t, i, "just refused")
	r.Done(c, Load{})
	r.now = r.now.Add(trialPause)
	i, c = r.pick(t, Request{Idempotent: true})
	require.Zero(t, i, "an idempotent request may try it")
	r.Done(c, Load{})
	r.now = r.now.Add(time.Second)
	i, _ = r.pick(t, Request{})
	require.Zero(t, i)
}

// Pattern: one VM is gone or cut off. Guards against each request that pays for the silence of its path, and against a path
// that is never tried again.
func TestFailedPathIsAvoided(t *testing.T) {
	r := newNegotiatingRig()
	avoidedFor := time.Duration(0)
	for failure := range 4 {
		r.MarkPathFailed(r.ref(0))
		r.MarkPathFailed(r.ref(0)) // A request that was under way says nothing new.
		begin := r.now
		for {
			i, c := r.pick(t, Request{})
			r.Done(c, Load{})
			if i == 0 {
				break
			}
			r.now = r.now.Add(100 * time.Millisecond)
		}
		require.Greater(t, r.now.Sub(begin), avoidedFor, "failure %d", failure)
		require.LessOrEqual(t, r.now.Sub(begin), pathPauseMost)
		avoidedFor = r.now.Sub(begin)
	}
	r.MarkPathUp(r.ref(0))
	i, _ := r.pick(t, Request{})
	require.Zero(t, i)
}

// Pattern: a VM has left for good while the store was away, so that its row stays. Guards against requests that pay, after
// each pause, to learn that it is still away, and against a path that stays closed after it works again.
func TestFailedPathIsCheckedBeforeARequestTakesIt(t *testing.T) {
	r := newNegotiatingRig()
	r.config.CheckPaths = true
	r.MarkPathFailed(r.ref(0))
	require.Empty(t, r.PathsToCheck(), "it has just failed")
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

// Pattern: a VM is frozen, so that connections to it open and requests stay unanswered. Guards against a check of the path
// that begins the pauses anew, so that callers try it every half second.
func TestPauseGrowsBehindChecksThatSucceed(t *testing.T) {
	r := newNegotiatingRig()
	r.config.CheckPaths = true
	last := time.Duration(0)
	for range 4 {
		r.MarkPathFailed(r.ref(0))
		begin := r.now
		for len(r.PathsToCheck()) == 0 {
			r.now = r.now.Add(100 * time.Millisecond)
		}
		require.Greater(t, r.now.Sub(begin), last)
		last = r.now.Sub(begin)
		r.MarkPathReachable(r.ref(0))
		i, c := r.pick(t, Request{})
		require.Zero(t, i, "a request may try it")
		r.Done(c, Load{})
	}
}

// Guards against a target that looks loaded by the request that it has just answered, which sends each second request of a
// caller elsewhere.
func TestAnsweredRequestIsNoLoad(t *testing.T) {
	r := newNegotiatingRig()
	_, c := r.pick(t, Request{})
	r.Done(c, Load{InFlight: 1, Limit: 3, IncludesRequest: true})
	require.Zero(t, c.entry.counters.load(r.now))
	_, c = r.pick(t, Request{})
	r.Done(c, Load{InFlight: 3, Limit: 3})
	require.InDelta(t, 3, c.entry.counters.load(r.now), 0.01, "a refused request is no part of the load")
}

// Pattern: an overloaded service in which some targets lose a part of their answers. Guards against requests that wait out
// their time for the sound targets while these could serve most of them, and against the use of targets that fail nearly
// all.
func TestHalfSickTargetsAreCapacity(t *testing.T) {
	r := newNegotiatingRig()
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
