package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/fakes/cloud"
	"github.com/auburnwinch/auburnwinch/internal/load"
	"github.com/auburnwinch/auburnwinch/internal/node"
	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/internal/store"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	firstNetwork  = 150
	lastNetwork   = 199
	patternPeriod = 251
	// readyTimeout is above several rounds of anti-entropy (10 s each): in small regions a record that gossip missed
	// can take more than two of them.
	readyTimeout = 60 * time.Second
)

// places bounds the fleets at a time: each is 6 nodes and 24 targets in a process with the race detector.
var places = make(chan struct{}, 2)

// testFleet is a deployment of whole nodes in one process.
type testFleet struct {
	*procs.Fleet
	t     *testing.T
	links *links
	mu    sync.Mutex
	runs  map[string]*load.RunRecord
}

// startFleet starts platform, nodes and targets of Instituto and waits until every node serves every target.
func startFleet(t *testing.T) *testFleet {
	t.Helper()
	places <- struct{}{}
	t.Cleanup(func() { <-places })
	network, claim, err := procs.ClaimNetwork(firstNetwork, lastNetwork)
	require.NoError(t, err)
	t.Cleanup(func() { _ = claim.Close() })
	plan, err := procs.LoadPlan("../../examples/instituto", procs.PlanConfig{
		Directory: t.TempDir(), Network: network, TargetsPerService: 6,
	})
	require.NoError(t, err)
	f := &testFleet{Fleet: &procs.Fleet{Plan: plan}, t: t, links: newLinks(), runs: make(map[string]*load.RunRecord)}
	platform := plan.Nodes[0].Settings.Platform
	c, err := cloud.Start(cloud.Config{
		TableAddress:   strings.TrimPrefix(platform.TableEndpoint, "http://"),
		ObjectAddress:  strings.TrimPrefix(platform.ObjectEndpoint, "http://"),
		ControlAddress: plan.PlatformControl(),
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	tickets, err := store.New(store.Config{Platform: platform})
	require.NoError(t, err)
	_, err = tickets.FileTicket(t.Context(), plan.Ticket)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(running.Wait)
	t.Cleanup(stop)
	for i := range plan.Nodes {
		settings := &plan.Nodes[i].Settings
		settings.ShutdownTimeout = 0
		n, err := node.New(f.links.config(node.Config{Settings: settings}, i+1))
		require.NoError(t, err)
		running.Go(func() { _ = n.Run(ctx) })
	}
	for _, target := range plan.Targets {
		f.startTarget(ctx, target)
	}
	f.waitReady()
	return f
}

// waitReady waits until every node serves every target.
func (f *testFleet) waitReady() {
	f.t.Helper()
	end := time.Now().Add(readyTimeout)
	for i := range f.Plan.Nodes {
		for n := -1; n != len(f.Plan.Targets); time.Sleep(20 * time.Millisecond) {
			var err error
			if n, err = f.Candidates(f.t.Context(), i); err != nil {
				n = -1
			}
			if time.Now().After(end) {
				f.logMembers()
				require.FailNow(f.t, "a node does not see all targets", "node %d sees %d, error %v", i+1, n, err)
			}
		}
	}
}

// logMembers shows which records each node holds.
func (f *testFleet) logMembers() {
	for i, n := range f.Plan.Nodes {
		var dump struct {
			Members struct {
				Records []struct {
					Node    model.Node        `json:"node"`
					Version uint64            `json:"version"`
					Targets []json.RawMessage `json:"targets"`
				} `json:"records"`
			} `json:"members"`
		}
		err := f.Admin(f.t.Context(), i, "/state?section=members", &dump)
		f.t.Logf("%s, error %v", n.Settings.Node.ID, err)
		for _, r := range dump.Members.Records {
			f.t.Logf("  %s version %d: %d targets", r.Node.Ref, r.Version, len(r.Targets))
		}
	}
}

func (f *testFleet) startTarget(ctx context.Context, target procs.TargetPlan) {
	socket, err := net.Listen("tcp", target.Address)
	require.NoError(f.t, err)
	server := &http.Server{Handler: http.HandlerFunc(f.serve)}
	go func() { _ = server.Serve(socket) }()
	f.t.Cleanup(func() { _ = server.Close() })
	body, err := json.Marshal(map[string]any{
		"service": target.Service, "id": target.ID, "incarnation": 1, "address": target.Address, "slots": target.Slots,
	})
	require.NoError(f.t, err)
	address := "http://" + f.Plan.Nodes[target.Node].Settings.Listeners.Local + "/v1/announce"
	go func() {
		for ctx.Err() == nil {
			if response, err := http.Post(address, "application/json", bytes.NewReader(body)); err == nil {
				_ = response.Body.Close() // The next announcement repeats a refused one.
			}
			time.Sleep(time.Second)
		}
	}()
}

// serve answers as the stand-in targets do and keeps the runs.
func (f *testFleet) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Standin-Request")
	f.mu.Lock()
	if f.runs[id] == nil {
		f.runs[id] = &load.RunRecord{Request: id}
	}
	f.runs[id].Begun++
	f.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(2 * time.Millisecond)
	if size, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(i % patternPeriod)
		}
		w.Header().Set("Etag", fmt.Sprintf(`"%d"`, size))
		http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(body))
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]string{"request": id})
}

// under sends operations while the fault is applied and checks every answer against the runs.
func (f *testFleet) under(c load.Config, fault func()) *load.Report {
	f.t.Helper()
	c.Fleet, c.Callers = f.Fleet, 12
	runner := load.New(c)
	ctx, stop := context.WithCancel(f.t.Context())
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		runner.Run(ctx)
	}()
	time.Sleep(time.Second)
	fault()
	stop()
	<-finished
	f.mu.Lock()
	defer f.mu.Unlock()
	var runs []load.RunRecord
	for _, run := range f.runs {
		runs = append(runs, *run)
	}
	report := load.Check(f.Plan, runner.Operations(), runs)
	require.NoError(f.t, report.Print(f.t.Output()))
	require.Empty(f.t, report.Contradicted)
	return report
}

// regionOf returns the region of the node, counted from 1.
func (f *testFleet) regionOf(node int) string {
	return f.Plan.Nodes[node-1].Settings.Node.Region
}
