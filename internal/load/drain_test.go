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

// drainBound is the time after which a leaving target gets no new request.
const drainBound = 5 * time.Second

// begun returns how many runs a target has begun.
func begun(t *testing.T, target procs.TargetPlan) int {
	t.Helper()
	runs, err := load.CollectRunsOf(t.Context(), target)
	require.NoError(t, err)
	total := 0
	for _, run := range runs {
		total += run.Begun
	}
	return total
}

// tellDrain announces at the node of the target that it leaves; the process goes on, so that late requests show.
func tellDrain(ctx context.Context, t *testing.T, fleet *procs.Fleet, target procs.TargetPlan) {
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

// Guards against new requests to a target that leaves, also from a node that was frozen while the drain was announced
// and goes on with the old view, and against callers that notice the drain.
func TestDrainingTargetGetsNoNewRequest(t *testing.T) {
	t.Parallel()
	fleet := start(t, "kleefwerk", procs.PlanConfig{})
	target := fleet.Plan.Targets[0]
	deaf := (target.Node + 1) % len(fleet.Nodes)
	report := under(t, fleet, load.Config{Services: []string{target.Service}}, func() {
		require.NoError(t, fleet.Nodes[deaf].Pause())
		require.Positive(t, begun(t, target))
		tellDrain(t.Context(), t, fleet, target)
		time.Sleep(drainBound)
		atBound := begun(t, target)
		require.NoError(t, fleet.Nodes[deaf].Resume())
		time.Sleep(3 * time.Second)
		require.Equal(t, atBound, begun(t, target), "new requests after the bound")
	})
	total := report.Total()
	require.Zero(t, total.Contradicted)
	require.Positive(t, total.Done)
}

// Guards against a stalled target that goes on receiving work because it still answers probes, and against one that
// does not come back after it has recovered.
func TestStalledTargetStopsAndComesBack(t *testing.T) {
	t.Parallel()
	// A healthy share is 1 in 6 of some hundred requests/s; a target that gets less than 2 requests in a second has
	// stopped receiving work.
	const (
		stopBound = 10 * time.Second
		backBound = 15 * time.Second
		fewRuns   = 2
	)
	fleet := start(t, "kleefwerk", procs.PlanConfig{})
	target := fleet.Plan.Targets[0]
	under(t, fleet, load.Config{Services: []string{target.Service}}, func() {
		begin := time.Now()
		require.NoError(t, load.SetFault(t.Context(), target, load.Fault{Stall: true}))
		stopped := untilRate(t, target, stopBound, func(n int) bool { return n < fewRuns })
		t.Logf("the stalled target stopped receiving work after %s", stopped.Sub(begin).Round(time.Millisecond))
		response, err := http.Get("http://" + target.Address + "/health")
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusNoContent, response.StatusCode, "probes are still answered")
		require.NoError(t, load.SetFault(t.Context(), target, load.Fault{}))
		healed := time.Now()
		back := untilRate(t, target, backBound, func(n int) bool { return n >= 10*fewRuns })
		t.Logf("the recovered target was back after %s", back.Sub(healed).Round(time.Millisecond))
	})
}

// untilRate waits until the runs begun within a second satisfy the condition; it returns the begin of that second.
func untilRate(t *testing.T, target procs.TargetPlan, bound time.Duration, holds func(int) bool) time.Time {
	t.Helper()
	for end := time.Now().Add(bound + time.Second); time.Now().Before(end); {
		before, at := begun(t, target), time.Now()
		time.Sleep(time.Second)
		if holds(begun(t, target) - before) {
			return at
		}
	}
	require.FailNow(t, "the rate of requests did not change in time")
	return time.Time{}
}
