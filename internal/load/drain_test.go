package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/load"
	"github.com/auburnwinch/auburnwinch/internal/procs"
)

// drainBound is the time after which a draining target must not receive new requests.
const drainBound = 5 * time.Second

// runsBegun returns the number of requests that a target has started to run.
func runsBegun(t *testing.T, target procs.TargetPlan) int {
	t.Helper()
	runs, err := load.CollectRunsOf(t.Context(), target)
	require.NoError(t, err)
	total := 0
	for _, run := range runs {
		total += run.Begun
	}
	return total
}

// announceDrain announces the drain of the target to its node; the process keeps running, so that late requests are
// recorded.
func announceDrain(ctx context.Context, t *testing.T, fleet *procs.Fleet, target procs.TargetPlan) {
	t.Helper()
	body, err := json.Marshal(map[string]string{"service": target.Service, "id": target.ID})
	require.NoError(t, err)
	address := fleet.Plan.Nodes[target.Node].Settings.Listeners.Local
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/drain", bytes.NewReader(body))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusNoContent, response.StatusCode)
}

// Guards against new requests to a draining target, also from a node that was paused while the drain was announced and
// resumes with an outdated view, and against requests that fail because of the drain.
func TestDrainingTargetGetsNoNewRequest(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, "kleefwerk", procs.PlanConfig{})
	target := fleet.Plan.Targets[0]
	paused := (target.Node + 1) % len(fleet.Nodes)
	report := runUnderLoad(t, fleet, load.Config{Services: []string{target.Service}}, func() {
		require.NoError(t, fleet.Nodes[paused].Pause())
		require.Positive(t, runsBegun(t, target))
		announceDrain(t.Context(), t, fleet, target)
		time.Sleep(drainBound)
		atBound := runsBegun(t, target)
		require.NoError(t, fleet.Nodes[paused].Resume())
		time.Sleep(3 * time.Second)
		require.Equal(t, atBound, runsBegun(t, target), "new requests after the bound")
	})
	total := report.Total()
	require.Zero(t, total.Contradicted)
	require.Positive(t, total.Done)
}

// Guards against a stalled target that keeps receiving requests because it still answers probes, and against a recovered
// target that is not readmitted.
func TestStalledTargetStopsAndComesBack(t *testing.T) {
	t.Parallel()
	// A healthy target gets 1 in 6 of some hundred requests/s; one that gets less than 2 requests in a second has stopped
	// receiving work.
	const (
		stopTimeout    = 10 * time.Second
		readmitTimeout = 15 * time.Second
		minRuns        = 2
	)
	fleet := startFleet(t, "kleefwerk", procs.PlanConfig{})
	target := fleet.Plan.Targets[0]
	runUnderLoad(t, fleet, load.Config{Services: []string{target.Service}}, func() {
		begin := time.Now()
		require.NoError(t, load.SetFault(t.Context(), target, load.Fault{Stall: true}))
		stopped := waitForRate(t, target, stopTimeout, func(n int) bool { return n < minRuns })
		t.Logf("the stalled target stopped receiving work after %s", stopped.Sub(begin).Round(time.Millisecond))
		response, err := http.Get("http://" + target.Address + "/health")
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusNoContent, response.StatusCode, "probes are still answered")
		require.NoError(t, load.SetFault(t.Context(), target, load.Fault{}))
		recovered := time.Now()
		readmitted := waitForRate(t, target, readmitTimeout, func(n int) bool { return n >= 10*minRuns })
		t.Logf("the recovered target was back after %s", readmitted.Sub(recovered).Round(time.Millisecond))
	})
}

// waitForRate waits until the number of requests started within a second satisfies the condition; it returns the start
// of that second.
func waitForRate(t *testing.T, target procs.TargetPlan, bound time.Duration, condition func(int) bool) time.Time {
	t.Helper()
	for end := time.Now().Add(bound + time.Second); time.Now().Before(end); {
		before, at := runsBegun(t, target), time.Now()
		time.Sleep(time.Second)
		if condition(runsBegun(t, target) - before) {
			return at
		}
	}
	require.FailNow(t, "the rate of requests did not change in time")
	return time.Time{}
}
