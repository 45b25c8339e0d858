package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

func newHeartbeatAgent(t *testing.T) *Agent {
	t.Helper()
	a, err := New(Config{Self: model.NodeRef{ID: "n", Incarnation: 1}, SingleTarget: true, DisableLivenessConns: true})
	require.NoError(t, err)
	t.Cleanup(func() { _ = a.Close() })
	return a
}

func heartbeat(id string, incarnation, sequence uint64, draining bool) Announcement {
	return Announcement{
		Service: "kassa", ID: id, Incarnation: incarnation, Address: "127.0.0.1:1", Slots: 3, Draining: draining, Sequence: sequence,
	}
}

func refs(a *Agent) []model.TargetRef {
	var list []model.TargetRef
	for _, target := range a.Targets() {
		list = append(list, target.Ref)
	}
	return list
}

// Guards against a delayed heartbeat that undoes a later one: it would make a draining target serve again, or add one
// that has ended or was replaced at its address.
func TestLateHeartbeatsChangeNothing(t *testing.T) {
	a := newHeartbeatAgent(t)
	require.NoError(t, a.Announce(heartbeat("i-1", 100, 5, true)))
	require.ErrorIs(t, a.Announce(heartbeat("i-1", 100, 4, false)), ErrStaleHeartbeat)
	require.Equal(t, model.TargetDraining, a.Targets()[0].State)
	require.NoError(t, a.Announce(heartbeat("i-1", 100, 6, false)))
	require.Equal(t, model.TargetDraining, a.Targets()[0].State, "draining is final for one incarnation")

	require.NoError(t, a.Announce(heartbeat("i-1", 200, 1, false)), "a new incarnation under the same id starts over")
	require.Equal(t, model.TargetServing, a.Targets()[0].State)
	require.ErrorIs(t, a.Announce(heartbeat("i-1", 100, 9, false)), ErrStaleHeartbeat)

	require.NoError(t, a.Announce(heartbeat("i-2", 300, 1, false)))
	require.Equal(t, []model.TargetRef{{Service: "kassa", ID: "i-2", Incarnation: 300}}, refs(a), "one target runs on a VM")
	require.ErrorIs(t, a.Announce(heartbeat("i-1", 200, 9, false)), ErrStaleHeartbeat)

	a.Withdraw("", "i-2")
	require.Empty(t, refs(a))
	require.ErrorIs(t, a.Announce(heartbeat("i-2", 300, 2, false)), ErrStaleHeartbeat, "it was withdrawn")
	require.NoError(t, a.Announce(heartbeat("i-2", 301, 1, false)))
}

// The node's process restarts while its target leaves, and a delayed heartbeat arrives. Guards against using a target
// that has left or drains.
func TestLateHeartbeatsAfterARestart(t *testing.T) {
	before := newHeartbeatAgent(t)
	require.NoError(t, before.Announce(heartbeat("i-1", 100, 1, false)))
	before.Withdraw("", "i-1")
	require.NoError(t, before.Announce(heartbeat("i-2", 200, 5, true)))
	gone := before.Withdrawn()
	drains := []model.TargetRef{before.Targets()[0].Ref}

	after := newHeartbeatAgent(t)
	after.Restore(EarlierTargets{Draining: drains, Withdrawn: gone})
	require.ErrorIs(t, after.Announce(heartbeat("i-1", 100, 2, false)), ErrStaleHeartbeat, "it was withdrawn")
	require.NoError(t, after.Announce(heartbeat("i-2", 200, 4, false)))
	require.Equal(t, model.TargetDraining, after.Targets()[0].State)
	require.NoError(t, after.Announce(heartbeat("i-2", 201, 1, false)))
	require.Equal(t, model.TargetServing, after.Targets()[0].State, "a new incarnation of the target starts over")

	late := newHeartbeatAgent(t)
	require.NoError(t, late.Announce(heartbeat("i-1", 100, 2, false)))
	late.Restore(EarlierTargets{Draining: drains, Withdrawn: gone})
	require.Empty(t, refs(late), "the restored state arrives after the heartbeat")
	require.NoError(t, late.Announce(heartbeat("i-2", 200, 4, false)))
	require.Equal(t, model.TargetDraining, late.Targets()[0].State)
}

// A target that drains is silent for a while or refuses a connection, so that it is removed, and a heartbeat from before it
// drained arrives. Guards against using it as a serving target again.
func TestDrainingOutlivesTheRegistration(t *testing.T) {
	a := newHeartbeatAgent(t)
	require.NoError(t, a.Announce(heartbeat("i-1", 100, 5, true)))
	a.removeTarget(a.registry.all()[0], refusesConnections)
	require.Empty(t, refs(a))
	require.NoError(t, a.Announce(heartbeat("i-1", 100, 4, false)))
	require.Equal(t, model.TargetDraining, a.Targets()[0].State)
	require.Equal(t, []model.TargetRef{{Service: "kassa", ID: "i-1", Incarnation: 100}}, a.Draining(), "the next process must know as well")
}

// Guards against a draining heartbeat that is acknowledged as stale and has no effect: its sender would be used again once the
// newer message or target that made it stale is forgotten.
func TestStaleDrainingHeartbeatCounts(t *testing.T) {
	a := newHeartbeatAgent(t)
	require.NoError(t, a.Announce(heartbeat("i-1", 100, 5, false)))
	require.ErrorIs(t, a.Announce(heartbeat("i-1", 100, 4, true)), ErrStaleHeartbeat)
	require.Equal(t, model.TargetDraining, a.Targets()[0].State)
	require.NoError(t, a.Announce(heartbeat("i-2", 200, 1, false)))
	require.ErrorIs(t, a.Announce(heartbeat("i-0", 50, 9, true)), ErrStaleHeartbeat)
	a.Withdraw("", "i-2")
	require.ErrorIs(t, a.Announce(heartbeat("i-0", 50, 8, false)), ErrStaleHeartbeat)
}

// A node restarts and its target deregisters before it has sent a heartbeat to the new process. Guards against a delayed
// heartbeat that makes the target serve again, at this process or the next one, and against refusing its next run.
func TestUnknownTargetDeregisters(t *testing.T) {
	const now = 1000
	registered := EarlierTargets{Registered: []model.TargetRef{{Service: "kassa", ID: "i-1", Incarnation: now + 5}}}
	for name, leave := range map[string]func(*Agent){
		"before the earlier record is known": func(a *Agent) {
			require.False(t, a.Withdraw("", "i-1"))
			a.WithdrawUnknown("", "i-1", now)
			a.Restore(registered)
		},
		"after it": func(a *Agent) {
			a.Restore(registered)
			require.True(t, a.Withdraw("", "i-1"))
		},
		"a heartbeat arrives first": func(a *Agent) {
			a.WithdrawUnknown("", "i-1", now)
			require.NoError(t, a.Announce(heartbeat("i-1", now+5, 1, false)), "a clock that has jumped back makes it look like a new run")
			a.Restore(registered)
			require.Empty(t, refs(a))
		},
	} {
		t.Run(name, func(t *testing.T) {
			a := newHeartbeatAgent(t)
			leave(a)
			require.True(t, a.Withdraw("", "i-1"), "a repetition must not change the record again")
			next := newHeartbeatAgent(t)
			next.Restore(EarlierTargets{Withdrawn: a.Withdrawn()})
			for _, process := range []*Agent{a, next} {
				require.ErrorIs(t, process.Announce(heartbeat("i-1", now+5, 2, false)), ErrStaleHeartbeat)
				require.NoError(t, process.Announce(heartbeat("i-1", now+6, 1, false)))
			}
		})
	}
}

// Guards against departures that grow without bound, and against dropping the latest ones.
func TestLatestDeparturesAreKept(t *testing.T) {
	a := newHeartbeatAgent(t)
	for i := range uint64(3 * maxDepartures) {
		require.NoError(t, a.Announce(heartbeat("i-1", 100+i, 1, true)))
		a.Withdraw("", "i-1")
	}
	require.Len(t, a.Withdrawn(), maxDepartures)
	require.Len(t, a.Draining(), maxDepartures)
	require.EqualValues(t, 100+3*maxDepartures-1, a.Withdrawn()[maxDepartures-1].Incarnation)
}

// Guards against an invalid heartbeat that removes a valid target.
func TestInvalidHeartbeatKeepsTheTarget(t *testing.T) {
	a := newHeartbeatAgent(t)
	require.NoError(t, a.Announce(heartbeat("i-1", 100, 1, false)))
	for _, bad := range []Announcement{
		{},
		{Service: "kassa", ID: "i-9", Incarnation: 900, Slots: 3},
		{Service: "kassa", ID: "i-9", Incarnation: 900, Address: "x:1"},
		{Service: "kassa", ID: "i-9", Address: "x:1", Slots: 3},
		{Service: "ka ssa", ID: "i-9", Incarnation: 900, Address: "x:1", Slots: 3},
	} {
		require.Error(t, a.Announce(bad))
		require.Len(t, refs(a), 1)
		require.Equal(t, "i-1", refs(a)[0].ID)
	}
}
