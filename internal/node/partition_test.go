package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/load"
)

// requireService checks that service continued over other paths: idempotent operations are done, and those that may run
// only once are never refused for lack of a path. Their outcome may be unknown if the answer was lost in the fault.
func requireService(t *testing.T, report *load.Report) {
	t.Helper()
	for _, row := range report.Rows {
		require.Zero(t, row.NotRun, "%s: %v", row.Service, report.Unserved)
		if row.Service == "courtview" || row.Service == "plandesk" {
			require.Equal(t, len(row.Durations), row.Done, "%s: %v", row.Service, report.Unserved)
		}
	}
	total := report.Total()
	require.Greater(t, total.Done, 10*total.Unknown, "most operations must be done")
}

// Guards against double runs, untrue not-run outcomes and loss of service when only the direction from one edge to one
// agent is cut, and when only the reverse direction is.
func TestOneWayPartitionOfAgent(t *testing.T) {
	t.Parallel()
	for name, back := range map[string]bool{"requests": false, "answers": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			from, to := 1, 2
			if back {
				from, to = 2, 1
			}
			requireService(t, f.runDuring(load.Config{}, func() {
				f.network.setLink(from, to, false)
				time.Sleep(6 * time.Second)
				f.network.setLink(from, to, true)
				time.Sleep(time.Second)
			}))
		})
	}
}

// Guards against the same faults between regions, and against a side that does not continue with its own targets.
func TestOneWayPartitionOfRegion(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	lost := f.regionOf(1)
	cut := func(up bool) {
		for from := 1; from <= len(f.Plan.Nodes); from++ {
			for to := 1; to <= len(f.Plan.Nodes); to++ {
				if f.regionOf(from) == lost && f.regionOf(to) != lost {
					f.network.setLink(from, to, up)
				}
			}
		}
	}
	requireService(t, f.runDuring(load.Config{}, func() {
		cut(false)
		time.Sleep(8 * time.Second)
		cut(true)
		time.Sleep(time.Second)
	}))
}

// Guards against requests that wait forever on open connections that went silent while new ones work.
func TestOpenConnectionsGoSilent(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	requireService(t, f.runDuring(load.Config{}, func() {
		for range 4 {
			require.Positive(t, f.network.silenceConns())
			time.Sleep(1500 * time.Millisecond)
		}
	}))
}

// Guards against double runs and untrue answers when responses are lost after the request took effect, on each hop
// separately. More responses are lost than the retry budget lets the fleet retry, so a read can lose five in a row by
// chance: callers send up to twelve times, and the total number of resent reads may not exceed the number of lost
// responses.
func TestAnswersLostAfterEffect(t *testing.T) {
	t.Parallel()
	const rounds, lostInRound = 40, 2
	for name, hop := range map[string]int{"target to agent": hopTarget, "agent to edge": hopRelay, "peer to peer": hopPeer} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			report := f.runDuring(load.Config{MaxSends: 12}, func() {
				for range rounds {
					f.network.dropResponses[hop].Store(lostInRound)
					time.Sleep(100 * time.Millisecond)
				}
				f.network.dropResponses[hop].Store(0)
			})
			requireService(t, report)
			again := 0
			for _, row := range report.Rows {
				if row.Service == "courtview" || row.Service == "plandesk" {
					again += row.Sends - len(row.Durations)
				}
			}
			require.LessOrEqual(t, again, rounds*lostInRound, "reads were resent more often than responses were lost")
		})
	}
}
