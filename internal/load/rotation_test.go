package load_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/load"
	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/internal/secret"
)

const (
	oldSecret  = "the fleet secret before the change of the test"
	nextSecret = "the fleet secret after the change of the test "
	oldToken   = "operator-token-before"
	nextToken  = "operator-token-after"
)

// restartWith restarts a node with changed settings and waits until it is ready.
func restartWith(t *testing.T, fleet *procs.Fleet, node int, change func(*procs.NodePlan)) {
	t.Helper()
	change(&fleet.Plan.Nodes[node])
	require.NoError(t, fleet.Plan.WriteSettings(node))
	require.NoError(t, fleet.Nodes[node].Terminate())
	require.True(t, fleet.Nodes[node].Wait(20*time.Second), "node %d does not exit", node)
	require.NoError(t, fleet.StartNode(node))
	require.NoError(t, fleet.WaitReady(t.Context()))
}

func acceptedUses(t *testing.T, fleet *procs.Fleet, node int) uint64 {
	t.Helper()
	var dump struct {
		Secrets struct {
			Accepted []secret.Use `json:"accepted"`
		} `json:"secrets"`
	}
	require.NoError(t, fleet.Admin(t.Context(), node, "/state?section=secrets", &dump))
	require.Len(t, dump.Secrets.Accepted, 1)
	return dump.Secrets.Accepted[0].Uses
}

// Guards against a rotation of fleet secret and operator token that aborts requests, refuses requests between nodes at
// different stages of the rotation, or does not show operators that the old secret is no longer used.
func TestSecretChangesUnderLoad(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, "kleefwerk", procs.PlanConfig{TargetsPerService: 3, ServiceTime: 20 * time.Millisecond, Prepare: func(n *procs.NodePlan) {
		n.Settings.FleetSecret, n.Settings.AcceptedFleetSecrets = oldSecret, []string{nextSecret}
		n.Settings.OperatorToken, n.Settings.AcceptedOperatorTokens = oldToken, []string{nextToken}
	}})
	report := runUnderLoad(t, fleet, load.Config{Callers: 8}, func() {
		for i := range fleet.Nodes {
			restartWith(t, fleet, i, func(n *procs.NodePlan) {
				n.Settings.FleetSecret, n.Settings.AcceptedFleetSecrets = nextSecret, []string{oldSecret}
				n.Settings.OperatorToken, n.Settings.AcceptedOperatorTokens = nextToken, []string{oldToken}
			})
		}
		last := len(fleet.Nodes) - 1
		require.Eventually(t, func() bool {
			before := acceptedUses(t, fleet, last)
			time.Sleep(time.Second)
			return acceptedUses(t, fleet, last) == before
		}, 20*time.Second, time.Millisecond, "the old secret is no longer used")
		restartWith(t, fleet, 0, func(n *procs.NodePlan) {
			n.Settings.AcceptedFleetSecrets, n.Settings.AcceptedOperatorTokens = nil, nil
		})
	})
	total := report.Total()
	require.Positive(t, total.Done)
	require.Zero(t, total.Unknown, "a change of the secret must not abort requests")
}
