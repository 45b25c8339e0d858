package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// A target starts again under its id after its clock has jumped back, so that its incarnation is lower than the one before.
// Guards against its draining heartbeat being acknowledged as a late one without effect (DRAIN), also when late heartbeats of the
// run before arrive afterwards, alone or several at once.
func TestRunWithALowerIncarnationDrains(t *testing.T) {
	a := newHeartbeatAgent(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	a.config.Clock = clock
	require.NoError(t, a.Announce(heartbeat("i-1", 200, 1, false)))
	require.ErrorIs(t, a.Announce(heartbeat("i-1", 100, 1, false)), ErrStaleHeartbeat)
	requireDrains := func() {
		t.Helper()
		require.Equal(t, []model.TargetRef{{Service: "kassa", ID: "i-1", Incarnation: 100}}, refs(a))
		require.Equal(t, model.TargetDraining, a.Targets()[0].State)
	}
	require.NoError(t, a.Announce(heartbeat("i-1", 100, 2, true)))
	requireDrains()
	require.Equal(t, []model.TargetRef{{Service: "kassa", ID: "i-1", Incarnation: 100}}, a.Draining(), "the next process must know as well")
	for sequence := range uint64(4) {
		require.ErrorIs(t, a.Announce(heartbeat("i-1", 200, sequence, false)), ErrStaleHeartbeat)
		requireDrains()
	}
	clock.Advance(1500 * time.Millisecond)
	require.NoError(t, a.Announce(heartbeat("i-1", 100, 3, true)))
	require.ErrorIs(t, a.Announce(heartbeat("i-1", 200, 4, false)), ErrStaleHeartbeat, "the other run has shown that it lives")
	requireDrains()

	require.True(t, a.Withdraw("", "i-1"))
	clock.Advance(1500 * time.Millisecond)
	require.ErrorIs(t, a.Announce(heartbeat("i-1", 200, 5, false)), ErrStaleHeartbeat)
	require.Empty(t, refs(a))
	require.NoError(t, a.Announce(heartbeat("i-1", 201, 1, false)))
	require.Equal(t, model.TargetServing, a.Targets()[0].State)
}

// A late draining heartbeat of an earlier run of a target arrives. Guards against a target that is never used again because of it.
func TestLateDrainingHeartbeatOfAnEarlierRun(t *testing.T) {
	a := newHeartbeatAgent(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	a.config.Clock = clock
	require.NoError(t, a.Announce(heartbeat("i-1", 200, 1, false)))
	require.NoError(t, a.Announce(heartbeat("i-1", 100, 9, true)))
	for sequence := uint64(2); sequence < 4; sequence++ {
		clock.Advance(1500 * time.Millisecond)
		_ = a.Announce(heartbeat("i-1", 200, sequence, false))
	}
	require.Equal(t, []model.TargetRef{{Service: "kassa", ID: "i-1", Incarnation: 200}}, refs(a))
	require.Equal(t, model.TargetServing, a.Targets()[0].State)
	require.NoError(t, a.Announce(heartbeat("i-1", 200, 4, true)))
	require.Equal(t, model.TargetDraining, a.Targets()[0].State)
}
