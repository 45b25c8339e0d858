package load_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/load"
	"github.com/auburnwinch/auburnwinch/internal/procs"
)

// Guards against relay listeners that accept requests without a certificate of the fleet, and against nodes that can't
// connect to each other with certificates.
func TestMutualTLSBetweenNodes(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, "kleefwerk", procs.PlanConfig{TLS: true, TargetsPerService: 2})
	report := runUnderLoad(t, fleet, load.Config{Callers: 4}, func() { time.Sleep(time.Second) })
	total := report.Total()
	require.Positive(t, total.Done)
	require.Zero(t, total.Unknown)
	response, err := http.Get("http://" + fleet.Plan.Nodes[0].Settings.Listeners.Relay + "/orders/1")
	if err == nil {
		_ = response.Body.Close() // Only the status counts.
		require.Equal(t, http.StatusBadRequest, response.StatusCode, "a request without TLS must not reach the agent")
	}
}
