package edge_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
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

const secret = "fleet secret of the tests"

// fleet is an edge and several agents, each with one target, over loopback.
type fleet struct {
	t      testing.TB
	edge   *edge.Edge
	front  *httptest.Server
	cell   *view.Holder
	agents []*agent.Agent
	relays []*httptest.Server
	nodes  []model.Node
	routes []model.RouteSpec
}

type fleetConfig struct {
	edge    edge.Config
	agent   agent.Config
	routes  []model.RouteSpec
	targets []http.Handler
	slots   int
	// relay wraps the agent of a node to inject faults between edge and agent.
	relay func(i int, next http.Handler) http.Handler
}

func defaultRoutes() []model.RouteSpec {
	return []model.RouteSpec{
		{Name: "reads", PathPrefix: "/reads", Idempotent: true, Timeout: model.Duration(5 * time.Second)},
		{Name: "orders", PathPrefix: "/orders", Timeout: model.Duration(5 * time.Second)},
		{Name: "artwork", PathPrefix: "/artwork", Idempotent: true, Resumable: true, Timeout: model.Duration(time.Minute)},
	}
}

func newFleet(t testing.TB, c fleetConfig) *fleet {
	if c.routes == nil {
		c.routes = defaultRoutes()
	}
	f := &fleet{t: t, cell: &view.Holder{}, routes: c.routes}
	f.publish(nil)
	if c.slots == 0 {
		c.slots = 64
	}
	if c.agent.Expiry == 0 {
		// The fake targets announce themselves only once; on a busy machine a test may take longer than the default of
		// 6 s.
		c.agent.Expiry = time.Hour
	}
	for i, handler := range c.targets {
		f.addTarget(i, handler, c)
	}
	if testing.Verbose() {
		c.edge.Logger = log.NewJSONLogger(log.NewSyncWriter(os.Stderr))
	}
	c.edge.View, c.edge.Secret = f.cell, []byte(secret)
	e, err := edge.New(c.edge)
	require.NoError(t, err)
	f.edge = e
	table, err := router.New(f.configuration())
	require.NoError(t, err)
	e.SetRoutes(table)
	f.front = httptest.NewUnstartedServer(e)
	f.front.Config = edge.NewServer(e, nil)
	f.front.Listener = edge.NewListener(f.front.Listener, c.edge.Logger)
	f.front.Start()
	f.refresh()
	t.Cleanup(f.close)
	return f
}

func (f *fleet) close() {
	f.front.Close()
	_ = f.edge.Close()
	for i := range f.relays {
		f.relays[i].CloseClientConnections()
		f.relays[i].Close()
		_ = f.agents[i].Close()
	}
}

func (f *fleet) addTarget(i int, handler http.Handler, c fleetConfig) {
	target := httptest.NewServer(handler)
	f.t.Cleanup(target.Close)
	ref := model.NodeRef{ID: fmt.Sprintf("node-%d", i), Incarnation: 1}
	c.agent.Self, c.agent.Secret, c.agent.View = ref, []byte(secret), f.cell
	a, err := agent.New(c.agent)
	require.NoError(f.t, err)
	var next http.Handler = a
	if c.relay != nil {
		next = c.relay(i, a)
	}
	relay := httptest.NewServer(next)
	f.agents, f.relays = append(f.agents, a), append(f.relays, relay)
	f.nodes = append(f.nodes, model.Node{Ref: ref, RelayAddress: relay.Listener.Addr().String()})
	f.announce(i, target.Listener.Addr().String(), c.slots)
}

func (f *fleet) announce(i int, address string, slots int) {
	body := fmt.Sprintf(`{"service":"shop","id":"t%d","incarnation":1,"address":%q,"slots":%d}`, i, address, slots)
	recorder := httptest.NewRecorder()
	f.agents[i].LocalHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body)))
	require.Equal(f.t, http.StatusNoContent, recorder.Code, recorder.Body.String())
}

func (f *fleet) configuration() *model.Configuration {
	return &model.Configuration{Number: 1, Services: []model.ServiceSpec{{Name: "shop", Routes: f.routes}}}
}

// refresh publishes the targets of all agents to the edge.
func (f *fleet) refresh() {
	var candidates []view.Candidate
	for i, a := range f.agents {
		for _, t := range a.Targets() {
			candidates = append(candidates, view.Candidate{Target: t, Node: f.nodes[i]})
		}
	}
	f.publish(candidates)
}

func (f *fleet) publish(candidates []view.Candidate) {
	f.cell.Store(view.New(view.Config{Configuration: f.configuration(), Candidates: candidates}))
}

type result struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (f *fleet) send(method, path string, body []byte, header ...string) result {
	request, err := http.NewRequest(method, f.front.URL+path, bytes.NewReader(body))
	require.NoError(f.t, err)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return f.do(request)
}

func (f *fleet) do(request *http.Request) result {
	response, err := f.front.Client().Do(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: content, err: err}
}

func (a result) outcome() model.Outcome {
	return model.Outcome(a.header.Get(model.HeaderOutcome))
}
