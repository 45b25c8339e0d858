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
	after.Restore(drains, gone)
	require.ErrorIs(t, after.Announce(heartbeat("i-1", 100, 2, false)), ErrStaleHeartbeat, "it was withdrawn")
	require.NoError(t, after.Announce(heartbeat("i-2", 200, 4, false)))
	require.Equal(t, model.TargetDraining, after.Targets()[0].State)
	require.NoError(t, after.Announce(heartbeat("i-2", 201, 1, false)))
	require.Equal(t, model.TargetServing, after.Targets()[0].State, "a new incarnation of the target starts over")

	late := newHeartbeatAgent(t)
	require.NoError(t, late.Announce(heartbeat("i-1", 100, 2, false)))
	late.Restore(drains, gone)
	require.Empty(t, refs(late), "the restored state arrives after the heartbeat")
	require.NoError(t, late.Announce(heartbeat("i-2", 200, 4, false)))
	require.Equal(t, model.TargetDraining, late.Targets()[0].State)
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
