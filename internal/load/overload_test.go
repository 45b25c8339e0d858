package load_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/load"
	"github.com/auburnwinch/auburnwinch/internal/procs"
)

// Guards against idle slots, retries beyond the budget, refusals without Retry-After or close to the deadline, wrong
// responses and a starved client account at twice the capacity. The test checks slot utilization instead of goodput,
// because a busy machine lowers the goodput.
func TestOverloadOfProcesses(t *testing.T) {
	const seed = 1
	fleet := startFleet(t, "instituto", procs.PlanConfig{ServiceTime: 200 * time.Millisecond, Services: []string{"courtview"}})
	report, err := load.RunStep(t.Context(), load.Step{
		Open: load.OpenConfig{
			Fleet: fleet, Service: "courtview", Deadline: 2 * time.Second, Prefix: "overload", Seed: seed,
			Accounts: []load.AccountLoad{{Name: "greedy", Weight: 18}, {Name: "modest-1", Weight: 1}, {Name: "modest-2", Weight: 1}},
		},
		Factor: 2, Duration: 4 * time.Second, WarmUp: time.Second, ReducedDuration: time.Second,
	})
	require.NoError(t, err)
	t.Logf("seed %d: slots in use %.1f%%, goodput %.1f%% of capacity, %d of %d retried, refusals %s, fairness %.1f%%, limit %d of %d",
		seed, 100*report.SlotUtilization, 100*report.Goodput/report.Step.Capacity, report.Retries, report.FirstAttempts, report.RefusalTimes,
		100*report.Fairness(report.Goodput*3), report.Limit, report.Slots)
	require.Greater(t, report.SlotUtilization, 0.9)
	require.LessOrEqual(t, 10*report.Retries, max(report.FirstAttempts, 10*3*uint64(len(fleet.Nodes))), "the budget or its reserve")
	require.Positive(t, report.Refused)
	require.Zero(t, report.NoRetryAfter)
	require.Less(t, report.RefusalTimes.Median, time.Second)
	require.Empty(t, report.Contradicted)
	require.Greater(t, report.Fairness(report.Goodput*3), 0.8)
}
