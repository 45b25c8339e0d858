package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/config"
	"github.com/auburnwinch/auburnwinch/internal/fakes/cloud"
	"github.com/auburnwinch/auburnwinch/internal/node"
	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/internal/store"
)

// singleNode is the environment of a node that runs without any other node.
type singleNode struct {
	plan     *procs.Plan
	settings *config.Settings
	platform *cloud.Platform
	store    *store.Store
}

func newSingleNode(t *testing.T) singleNode {
	t.Helper()
	network, claim, err := procs.ClaimNetwork(firstNetwork, lastNetwork)
	require.NoError(t, err)
	t.Cleanup(func() { _ = claim.Close() })
	l := singleNode{}
	l.plan, err = procs.LoadPlan("../../examples/instituto", procs.PlanConfig{Directory: t.TempDir(), Network: network, TargetsPerService: 6})
	require.NoError(t, err)
	l.platform, err = cloud.Start(cloud.Config{})
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.platform.Close() })
	l.settings = &l.plan.Nodes[0].Settings
	l.settings.Platform, l.settings.ShutdownTimeout = l.platform.Settings(), 0
	l.store, err = store.New(store.Config{Platform: l.settings.Platform})
	require.NoError(t, err)
	return l
}

// Guards against a node that reads the configuration but never puts it in force, because no other node changes the
// membership: it is the last VM that runs, or is cut off from all others.
func TestLoneNodeServes(t *testing.T) {
	for name, filedFirst := range map[string]bool{"ticket before the start": true, "ticket after the start": false} {
		t.Run(name, func(t *testing.T) {
			single := newSingleNode(t)
			settings, ticket := single.settings, single.plan.Ticket
			file := func() {
				_, err := single.store.FileTicket(t.Context(), ticket)
				require.NoError(t, err)
			}
			if filedFirst {
				file()
			}
			n, err := node.New(node.Config{Settings: settings})
			require.NoError(t, err)
			ctx, stop := context.WithCancel(context.Background())
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				_ = n.Run(ctx)
			}()
			defer func() { stop(); <-stopped }()
			if !filedFirst {
				file()
			}
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }))
			defer target.Close()
			service := ticket.Services[0]
			route := service.Routes[0]
			announce := func() error {
				body, err := json.Marshal(map[string]any{
					"service": service.Name, "id": "lone", "incarnation": 1, "address": target.Listener.Addr().String(), "slots": 2,
				})
				require.NoError(t, err)
				response, err := http.Post("http://"+settings.Listeners.Local+"/v1/announce", "application/json", bytes.NewReader(body))
				if err == nil {
					_ = response.Body.Close() // A refused announcement is retried with the next one.
				}
				return err
			}
			get := func() string {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+settings.Listeners.Callers+route.PathPrefix, nil)
				require.NoError(t, err)
				request.Host = route.Host
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					return err.Error()
				}
				defer response.Body.Close()
				body, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				return string(body)
			}
			require.Eventually(t, func() bool {
				return strings.Contains(get(), "no target")
			}, 30*time.Second, 200*time.Millisecond, "the configuration is not in force")
			require.Eventually(t, func() bool {
				return announce() == nil && get() == "whole"
			}, 10*time.Second, 200*time.Millisecond, "the target on the node's VM is not used")
		})
	}
}
