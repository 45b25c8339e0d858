package load_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/load"
	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/pkg/client"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Guards against a client library that can't reach routes with a host, and against a write that runs again when its key
// is sent through other nodes, also after the node that owns the key was killed.
func TestClientLibrary(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, "kleefwerk", procs.PlanConfig{TargetsPerService: 2})
	edges := []string{"http://" + fleet.Plan.Nodes[0].Settings.Listeners.Callers, "http://" + fleet.Plan.Nodes[3].Settings.Listeners.Callers}
	c, err := client.New(client.Config{Edges: edges, Account: "modeller-17"})
	require.NoError(t, err)
	order := client.Request{
		Method: http.MethodPost, Host: "kassa.kleefwerk.example", Path: "/orders", Body: []byte("two sheets"),
		Header: http.Header{"Standin-Request": {"order-1"}},
	}
	first, err := c.Do(t.Context(), order)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, first.Status)

	other, err := client.New(client.Config{Edges: edges[1:], Account: "modeller-17"})
	require.NoError(t, err)
	order.Key = first.Key
	again, err := other.Do(t.Context(), order)
	require.NoError(t, err)
	require.Equal(t, first.Body, again.Body, "the stored response of the only run")

	require.NoError(t, fleet.Nodes[0].Kill())
	require.True(t, fleet.Nodes[0].Wait(5*time.Second))
	late, err := other.Do(t.Context(), order)
	var failure *client.Error
	if errors.As(err, &failure) {
		require.NotEqual(t, model.OutcomeNotRun, failure.Outcome, "the order has run")
	} else {
		require.NoError(t, err)
		require.Equal(t, first.Body, late.Body)
	}
	runs, err := load.CollectRuns(t.Context(), fleet)
	require.NoError(t, err)
	count := 0
	for _, run := range runs {
		if run.Request == "order-1" {
			count += run.Begun
		}
	}
	require.LessOrEqual(t, count, 1)
}
