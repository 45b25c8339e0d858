package picker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/spill"
)

// reportFull reports the targets as full, as responses to other requests do.
func (r *fixture) reportFull(targets ...int) {
	for _, i := range targets {
		e := r.find(r.ref(i))
		e.counters.storeReport(Load{InFlight: 3, Limit: 3}, r.now)
	}
}

// turnDown picks until the target is picked, and refuses the request there.
func (r *fixture) turnDown(target int, wait time.Duration, rank int) {
	e := r.find(r.ref(target))
	r.TurnedDown(Choice{entry: e, rank: rank}, wait)
}

// Guards against a download that leaves because reports say that the own domain is full, although a slot comes free there soon.
func TestRequestAsksNearerBeforeItLeaves(t *testing.T) {
	r := newNegotiatingFixture()
	r.reportFull(0, 1, 2, 3)
	large := Request{Bytes: 90 << 10, Objective: 2 * time.Second, Remaining: 4 * time.Second}
	i, c := r.pick(t, large)
	require.Less(t, i, 2)
	require.True(t, c.Brief)
	require.InDelta(t, 500*time.Millisecond, c.Patience, float64(50*time.Millisecond), "as long as another region would cost")
	large.Refusals = append(large.Refusals, AgentRefusal{Target: r.ref(i), Wait: 1200 * time.Millisecond})
	r.Done(c, Load{InFlight: 3, Limit: 3})
	i, c = r.pick(t, large)
	require.True(t, i == 2 || i == 3, "then the region")
	require.True(t, c.Brief)
	large.Refusals = append(large.Refusals, AgentRefusal{Target: r.ref(i), Wait: 1200 * time.Millisecond})
	r.Done(c, Load{InFlight: 3, Limit: 3})
	i, c = r.pick(t, large)
	require.GreaterOrEqual(t, i, 4)
	require.Equal(t, spill.NoRoom, c.Left)
	require.Equal(t, spill.Remote, c.Tier)
}

// Load is stale after a second without requests. Guards against asking agents again that have just stated a long wait, against
// a more urgent request that believes the wait of others, and against avoiding them when the wait is over.
func TestStatedWaitIsRemembered(t *testing.T) {
	r := newNegotiatingFixture()
	r.turnDown(0, 400*time.Millisecond, 1)
	for range 8 {
		i, c := r.pick(t, Request{Rank: 1})
		require.NotZero(t, i)
		r.Done(c, Load{})
	}
	i, c := r.pick(t, Request{Rank: 0})
	require.Zero(t, i, "calls and urgent requests wait for less time")
	r.Done(c, Load{})
	r.now = r.now.Add(400 * time.Millisecond)
	i, _ = r.pick(t, Request{Rank: 1})
	require.Zero(t, i)
}

// A burst fills the queues of all targets. Guards against a request that asks one agent after the other although all have just
// stated that it would come too late, and against refusing one that has time to wait.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	r := newNegotiatingFixture()
	for i := range 12 {
		r.turnDown(i, time.Duration(600+10*i)*time.Millisecond, 0)
	}
	_, err := r.Pick(Request{Service: testService, Remaining: time.Second, Objective: 500 * time.Millisecond})
	require.ErrorAs(t, err, new(*NoTargetError))
	i, c := r.pick(t, Request{Remaining: 3 * time.Second, Objective: time.Second})
	require.Zero(t, i, "the shortest queue, without asking others first")
	require.Equal(t, 3*time.Second, c.Patience)
}

// Calls keep a target busy. Guards against a request that queues there because calls wait for a short time only.
func TestWaitOfMoreUrgentRequestsIsNoEstimate(t *testing.T) {
	r := newNegotiatingFixture()
	r.turnDown(0, 20*time.Millisecond, -1)
	for i := range 12 {
		if i > 0 {
			r.turnDown(i, 300*time.Millisecond, 2)
		}
	}
	i, c := r.pick(t, Request{Rank: 2, Remaining: 2 * time.Second, Objective: time.Second})
	require.Equal(t, 1, i)
	require.Equal(t, 2*time.Second, c.Patience)
}

// All regions are overloaded. Guards against a request that crosses regions again and again to be refused.
func TestQueuesOfOtherRegionsAreBounded(t *testing.T) {
	r := newNegotiatingFixture()
	request := Request{Service: testService, Remaining: 4 * time.Second, Objective: 2 * time.Second}
	remote := 0
	for {
		c, err := r.Pick(request)
		if err != nil {
			break
		}
		r.Done(c, Load{InFlight: 30, Limit: 3})
		if c.Patience == 0 || c.Brief {
			request.Refusals = append(request.Refusals, AgentRefusal{Target: c.Candidate.Target.Ref, Wait: 100 * time.Millisecond})
			continue
		}
		if c.entry.tier == remoteTier {
			remote++
		}
		request.Exclude = append(request.Exclude, c.Candidate.Target.Ref)
	}
	require.LessOrEqual(t, remote, maxRemoteQueues)
}

// Many edges of a domain lose their room at the same moment. Guards against a flight to one target of another domain.
func TestManyEdgesSpreadOverOtherTargets(t *testing.T) {
	const edges = 120
	picked := make(map[int]int)
	for seed := range edges {
		r := newFixture(uint64(seed) * 7919)
		r.config.Negotiate = true
		var refused []AgentRefusal
		for i := range 4 {
			refused = append(refused, AgentRefusal{Target: r.ref(i), Wait: 900 * time.Millisecond})
		}
		i, c := r.pick(t, Request{Refusals: refused, Bytes: 3 << 10, Objective: time.Second, Remaining: 2 * time.Second})
		require.Equal(t, spill.NoRoom, c.Left)
		picked[i]++
	}
	for i, n := range picked {
		require.Less(t, n, 3*edges/8, "target %d", i)
	}
	require.Len(t, picked, 8)
}

// A node serves a target no more, while the store keeps its row. Guards against asking it again and again, and against a node
// that has only restarted and is not asked for long.
func TestGoneTargetIsAvoided(t *testing.T) {
	r := newNegotiatingFixture()
	for _, pause := range []time.Duration{gonePause, 2 * gonePause, maxGonePause, maxGonePause} {
		r.MarkGone(r.ref(0))
		r.now = r.now.Add(pause - time.Millisecond)
		i, c := r.pick(t, Request{Idempotent: true})
		require.NotZero(t, i)
		r.Done(c, Load{})
		r.now = r.now.Add(time.Millisecond)
	}
	i, c := r.pick(t, Request{})
	require.Zero(t, i)
	r.Done(c, Load{InFlight: 1, Limit: 3, IncludesRequest: true})
	r.MarkGone(r.ref(0))
	r.now = r.now.Add(gonePause)
	i, _ = r.pick(t, Request{})
	require.Zero(t, i)
}
