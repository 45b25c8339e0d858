package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/router"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// testNode is an edge and an agent without membership or platform.
type testNode struct {
	edge  *httptest.Server
	local *httptest.Server
	agent *agent.Agent
}

func newTestNode(t *testing.T) *testNode {
	self := model.Node{Ref: model.NodeRef{ID: "n", Incarnation: 1}}
	configuration := &model.Configuration{Number: 1, Services: []model.ServiceSpec{{Name: "shop", Routes: []model.RouteSpec{
		{Name: "reads", PathPrefix: "/reads", Idempotent: true, Resumable: true}, {Name: "orders", PathPrefix: "/orders"},
	}}}}
	holder := &view.Holder{}
	publish := func(targets []model.Target) {
		var candidates []view.Candidate
		for _, target := range targets {
			candidates = append(candidates, view.Candidate{Target: target, Node: self})
		}
		holder.Store(view.New(view.Config{Self: self, Configuration: configuration, Candidates: candidates}))
	}
	a, err := agent.New(agent.Config{View: holder, OnTargets: publish})
	require.NoError(t, err)
	relay := httptest.NewServer(a)
	self.RelayAddress = relay.Listener.Addr().String()
	publish(nil)
	e, err := edge.New(edge.Config{View: holder})
	require.NoError(t, err)
	table, err := router.New(configuration)
	require.NoError(t, err)
	e.SetRoutes(table)
	n := &testNode{edge: httptest.NewServer(e), local: httptest.NewServer(a.LocalHandler()), agent: a}
	t.Cleanup(func() {
		n.edge.Close()
		_ = e.Close()
		relay.Close()
		n.local.Close()
		_ = a.Close()
	})
	return n
}

func (n *testNode) start(t *testing.T, id string) *target {
	s, err := startTarget(targetConfig{
		Node: n.local.Listener.Addr().String(), Service: "shop", ID: id, Listen: "127.0.0.1:0", Control: "127.0.0.1:0",
		Records: filepath.Join(t.TempDir(), "records"), Slots: 50, ServiceTime: time.Millisecond, Spread: 0.3, Seed: 1,
		Logger: log.NewNopLogger(), Crash: func() {},
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Shutdown() })
	return s
}

func (n *testNode) waitForTargets(t *testing.T, targets int) {
	require.Eventually(t, func() bool { return len(n.agent.Targets()) == targets }, 5*time.Second, 5*time.Millisecond)
}

func sendControl(t *testing.T, s *target, method, path, body string) string {
	request, err := http.NewRequest(method, "http://"+s.ControlAddress()+path, strings.NewReader(body))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Less(t, response.StatusCode, 300, "%s", content)
	return string(content)
}

// Guards against a stand-in caller that misses violations, and against violations caused by connection resets and
// truncated bodies.
func TestCallerReportsViolations(t *testing.T) {
	for name, c := range map[string]callerCmd{
		"reads":     {Path: "/reads/1", Method: "GET", Bytes: -1, Idempotent: true},
		"downloads": {Path: "/reads/1", Method: "GET", Bytes: 300_000, Idempotent: true},
		"orders":    {Path: "/orders/1", Method: "POST", Bytes: -1, Body: 5000},
		// There is no key owner here, so a retry runs the request again, which the caller has to detect.
		"resent": {Path: "/orders/1", Method: "POST", Bytes: -1, Body: 5000, Key: true},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(t)
			healthy, faulty := n.start(t, "healthy"), n.start(t, "faulty")
			n.waitForTargets(t, 2)
			sendControl(t, faulty, http.MethodPut, "/fault", `{"reset-ratio":0.2,"truncate-after":100000}`)
			c.Edge = []string{n.edge.Listener.Addr().String()}
			c.Control = []string{healthy.ControlAddress(), faulty.ControlAddress()}
			c.Rate, c.Duration, c.Timeout, c.MaxPending = 200, time.Second, 5*time.Second, 100
			caller := newCaller(&c)
			caller.run(t.Context())
			require.NoError(t, caller.verifyRuns(t.Context()))
			report := caller.report()
			require.Equal(t, c.Key, len(report.Violations) > 0, "%v", report.Violations)
			require.Greater(t, report.Outcomes["done"], report.Requests/2)
			require.Equal(t, 201, report.Requests+report.Skipped)
		})
	}
	caller := newCaller(&callerCmd{})
	require.Error(t, checkResponse(strings.NewReader(`{"request":"other"}`), "own", nil))
	require.Error(t, checkDownload(strings.NewReader("abc"), 3))
	require.Empty(t, caller.report().Violations)
}

// Guards against injected faults that have no effect or don't expire, and against run records lost in a crash.
func TestTargetFaults(t *testing.T) {
	n := newTestNode(t)
	s := n.start(t, "t")
	n.waitForTargets(t, 1)
	client := &http.Client{Timeout: 200 * time.Millisecond}
	get := func(path string) error {
		request, err := http.NewRequest(http.MethodGet, "http://"+s.Address()+path, nil)
		require.NoError(t, err)
		request.Header.Set(headerRequestID, "r1")
		response, err := client.Do(request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		return err
	}
	require.NoError(t, get("/x"))
	sendControl(t, s, http.MethodPut, "/fault", `{"stall":true}`)
	require.Error(t, get("/x"))
	require.NoError(t, get(pathHealth), "probes are answered while requests stall")
	require.Eventually(t, func() bool {
		return strings.Contains(sendControl(t, s, http.MethodGet, "/runs?key=r1", ""), `"in-flight":0,`)
	}, 2*time.Second, 10*time.Millisecond, "a stalled run ends when its client leaves")
	sendControl(t, s, http.MethodPut, "/fault", `{"truncate-after":10}`)
	require.Error(t, get("/x"))
	sendControl(t, s, http.MethodPut, "/fault", `{"error-ratio":1,"for":"50ms"}`)
	require.NoError(t, get("/x"))
	require.Eventually(t, func() bool {
		return !strings.Contains(sendControl(t, s, http.MethodGet, "/runs", ""), `"error-ratio":1`)
	}, 2*time.Second, 10*time.Millisecond)
	require.Contains(t, sendControl(t, s, http.MethodGet, "/runs?key=r1", ""), `"begun":4,"ended":2`)
	var reopened records
	require.NoError(t, reopened.open(s.config.Records))
	require.Equal(t, 4, reopened.find("r1")[0].Begun)
	sendControl(t, s, http.MethodPost, "/drain", "")
	require.Equal(t, model.TargetDraining, n.agent.Targets()[0].State)
}

// Guards against a stalled run that counts as completed because the fault was lifted after its client had left.
func TestStalledRunOfDepartedClient(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	leave()
	lifted := make(chan struct{})
	close(lifted)
	for range 100 {
		require.False(t, waitForFaultChange(httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil), lifted))
	}
}
