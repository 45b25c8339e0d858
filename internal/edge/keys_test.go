package edge_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// fakeKeys is a key owner with fixed decisions that records what it is told.
type fakeKeys struct {
	begin   edge.Decision
	resolve edge.Decision
	mu      sync.Mutex
	events  []string
}

func (k *fakeKeys) note(event string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.events = append(k.events, event)
}

func (k *fakeKeys) said() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return strings.Join(k.events, " ")
}

func (*fakeKeys) OwnerToken() string { return "aw1.node.1.1" }

func (k *fakeKeys) Begin(_ context.Context, s edge.KeyRequest) edge.Decision {
	k.note("begin:" + s.Key)
	return k.begin
}

func (k *fakeKeys) StartAttempt(key string, _ model.TargetRef, _ model.Node) (string, bool) {
	k.note("start")
	return key, true
}

func (k *fakeKeys) RefuseAttempt(string)                        { k.note("refuse") }
func (k *fakeKeys) FinishAttempt(string)                        { k.note("finish") }
func (k *fakeKeys) End(_ string, o model.Outcome)               { k.note("end:" + string(o)) }
func (k *fakeKeys) Query(context.Context, string) edge.Decision { return k.resolve }

func (k *fakeKeys) ResolveAttempt(context.Context, string) edge.Decision {
	k.note("resolve")
	return k.resolve
}

// Guards against non-idempotent requests that run without the key owner's word, and against attempts that it isn't
// told of.
func TestKeyOwnerDecides(t *testing.T) {
	run := edge.Decision{Kind: edge.DecisionRun, Key: "aw1.node.1.1.x"}
	stored := edge.Decision{Kind: edge.DecisionReplay, Response: &edge.StoredResponse{Status: 201, Body: []byte("stored")}}
	cases := map[string]struct {
		begin, resolve edge.Decision
		breaks         bool
		status         int
		outcome        model.Outcome
		events         string
	}{
		"run":      {begin: run, status: 200, outcome: "done", events: "begin:k start finish end:done"},
		"answer":   {begin: stored, status: 201, outcome: "done", events: "begin:k"},
		"running":  {begin: edge.Decision{Kind: edge.DecisionInProgress}, status: 409, outcome: "unknown", events: "begin:k"},
		"unknown":  {begin: edge.Decision{Kind: edge.DecisionUnknown}, status: 502, outcome: "unknown", events: "begin:k"},
		"not run":  {begin: edge.Decision{Kind: edge.DecisionNotRun}, status: 503, outcome: "not-run", events: "begin:k"},
		"resolved": {begin: run, resolve: stored, breaks: true, status: 201, outcome: "done", events: "begin:k start resolve end:done"},
		"doubt": {
			begin: run, resolve: edge.Decision{Kind: edge.DecisionInProgress}, breaks: true,
			status: 502, outcome: "unknown", events: "begin:k start resolve end:unknown",
		},
		"fenced": {
			begin: run, resolve: run, breaks: true, status: 200, outcome: "done",
			events: "begin:k start resolve start finish end:done",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			keys := &fakeKeys{begin: c.begin, resolve: c.resolve}
			first := &counter{}
			if c.breaks {
				first.next = func(w http.ResponseWriter, _ *http.Request) { cut(w) }
			}
			f := newFleet(t, fleetConfig{
				targets: []http.Handler{first, &counter{}}, edge: edge.Config{KeyOwner: keys, Picker: inOrder{}},
			})
			got := f.send(http.MethodPost, "/orders/1", nil, model.HeaderIdempotencyKey, "k")
			require.Equal(t, c.status, got.status)
			require.Equal(t, c.outcome, got.outcome())
			require.Equal(t, c.events, keys.said())
			require.Equal(t, "aw1.node.1.1", got.header.Get(model.HeaderOwner))
		})
	}
}

// Guards against outcome queries that take the route of a service.
func TestOwnPaths(t *testing.T) {
	keys := &fakeKeys{resolve: edge.Decision{Kind: edge.DecisionUnknown, Reason: "dropped"}}
	f := newFleet(t, fleetConfig{edge: edge.Config{KeyOwner: keys}})
	require.JSONEq(t, `{"owner":"aw1.node.1.1"}`, string(f.send(http.MethodGet, model.PathOwner, nil).body))
	got := f.send(http.MethodGet, model.PathKeys+"k", nil)
	require.Contains(t, string(got.body), `"outcome":"unknown","reason":"dropped"`)
	require.Equal(t, 404, f.send(http.MethodGet, "/.well-known/auburnwinch/other", nil).status)
	require.Equal(t, 405, f.send(http.MethodPost, model.PathOwner, nil).status)
}

// quarantine refuses every request.
type quarantine struct{}

func (quarantine) Fingerprint(edge.PoisonRequest) uint64 { return 1 }
func (quarantine) Quarantined(string, uint64) bool       { return true }

// Guards against a quarantined request that is answered not-run although an earlier send of its key may have run.
func TestQuarantineAsksKeyOwner(t *testing.T) {
	for name, c := range map[string]struct {
		begin   edge.Decision
		status  int
		outcome model.Outcome
		events  string
	}{
		"first send":  {edge.Decision{Kind: edge.DecisionRun, Key: "x"}, 422, "not-run", "begin:k end:not-run"},
		"sent before": {edge.Decision{Kind: edge.DecisionUnknown}, 502, "unknown", "begin:k"},
	} {
		t.Run(name, func(t *testing.T) {
			keys := &fakeKeys{begin: c.begin}
			f := newFleet(t, fleetConfig{edge: edge.Config{KeyOwner: keys, PoisonDetector: quarantine{}}})
			got := f.send(http.MethodPost, "/orders/1", nil, model.HeaderIdempotencyKey, "k")
			require.Equal(t, c.status, got.status)
			require.Equal(t, c.outcome, got.outcome())
			require.Equal(t, c.events, keys.said())
		})
	}
}
