package once

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

var errUnreachable = errors.New("unreachable")

// fleet connects nodes without a network; nodes in unreachable don't respond.
type fleet struct {
	mu          sync.Mutex
	nodes       map[model.NodeRef]*testNode
	unreachable map[model.NodeRef]bool
	successors  map[model.NodeRef]model.NodeRef
	rows        map[string]string
	// loseReply decides whether the reply to a call is lost after the call took effect.
	loseReply func() bool
	// lostClaims is the number of next claims that take effect but return an error.
	lostClaims   int
	platformDown bool
	clock        *timer.Manual
}

type testNode struct {
	fleet  *fleet
	self   model.Node
	owner  *Owner
	ledger *Ledger
	keys   *KeyService
}

func newFleet() *fleet {
	return &fleet{
		nodes: map[model.NodeRef]*testNode{}, unreachable: map[model.NodeRef]bool{}, successors: map[model.NodeRef]model.NodeRef{},
		rows: map[string]string{}, clock: timer.NewManual(time.Unix(1_700_000_000, 0)),
	}
}

func (f *fleet) start(t testing.TB, id string, incarnation uint64) *testNode {
	n := &testNode{fleet: f, self: model.Node{Ref: model.NodeRef{ID: id, Incarnation: incarnation}}}
	var err error
	n.ledger, err = NewLedger(LedgerConfig{Self: n.self.Ref, Clock: f.clock})
	require.NoError(t, err)
	n.owner, err = NewOwner(Config{Self: n.self, Peers: f, Claims: f, Directory: f, Ledger: n.ledger, Clock: f.clock})
	require.NoError(t, err)
	n.keys = NewKeyService(n.owner, n.ledger)
	f.nodes[n.self.Ref] = n
	t.Cleanup(func() { n.owner.Close(); n.ledger.Close() })
	return n
}

func (f *fleet) Call(_ context.Context, node model.Node, method string, args, reply any) (err error) {
	n := f.nodes[node.Ref]
	if n == nil || f.unreachable[node.Ref] {
		return errUnreachable
	}
	if f.loseReply != nil && f.loseReply() {
		defer func() { err = errUnreachable }()
	}
	switch method {
	case methodFence:
		return n.keys.Fence(args.(FenceArgs), reply.(*FenceReply))
	case methodResolve:
		return n.keys.Resolve(args.(ResolveArgs), reply.(*ResolveReply))
	case methodLookup:
		return n.keys.Lookup(args.(LookupArgs), reply.(*FenceReply))
	default:
		return n.keys.Handover(args.(HandoverArgs), reply.(*HandoverReply))
	}
}

func (f *fleet) ClaimKey(_ context.Context, row, token string) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.platformDown {
		return "", errUnreachable
	}
	if f.rows[row] == "" {
		f.rows[row] = token
	}
	if f.lostClaims > 0 {
		f.lostClaims--
		return "", errUnreachable
	}
	return f.rows[row], nil
}

func (f *fleet) Node(ref model.NodeRef) (model.Node, bool) {
	return model.Node{Ref: ref}, f.nodes[ref] != nil && !f.unreachable[ref]
}

func (f *fleet) Successor(ref model.NodeRef) (model.Node, bool) {
	next, ok := f.successors[ref]
	return model.Node{Ref: next}, ok
}

func (f *fleet) Agents(string) []model.Node {
	var agents []model.Node
	for _, n := range f.nodes {
		agents = append(agents, n.self)
	}
	return agents
}

// run makes one attempt at the agent that completes with the response body.
func (n *testNode) run(t testing.TB, key string, agent *testNode, body string) {
	attempt, ok := n.owner.StartAttempt(key, model.TargetRef{}, agent.self)
	require.True(t, ok)
	require.True(t, agent.ledger.Admit(attempt))
	agent.ledger.Finish(attempt, &StoredResponse{Status: http.StatusOK, Body: []byte(body)})
	n.owner.FinishAttempt(key)
	n.owner.End(key, model.OutcomeDone)
}

// Guards against a retry at another node that runs the key again or does not get the stored response.
func TestRetryAtAnotherNodeGetsStoredResponse(t *testing.T) {
	f, ctx := newFleet(), t.Context()
	a, b := f.start(t, "a", 1), f.start(t, "b", 1)
	req := KeyRequest{Key: a.owner.Token() + ".one", Fingerprint: 7}
	d := a.owner.Begin(ctx, req)
	require.Equal(t, KindRun, d.Kind)
	a.run(t, d.Key, b, "paid")
	for _, n := range []*testNode{a, b} {
		d = n.owner.Begin(ctx, req)
		require.Equal(t, KindReplay, d.Kind, d.Reason)
		require.Equal(t, "paid", string(d.Response.Body))
	}
}

// Guards against a key that runs at both nodes after one granted it to the other.
func TestGrantMovesKey(t *testing.T) {
	f, ctx := newFleet(), t.Context()
	a, b := f.start(t, "a", 1), f.start(t, "b", 1)
	req := KeyRequest{Key: a.owner.Token() + ".one", Fingerprint: 7}
	d := b.owner.Begin(ctx, req)
	require.Equal(t, KindRun, d.Kind, d.Reason)
	require.Equal(t, KindInProgress, a.owner.Begin(ctx, req).Kind)
	b.run(t, d.Key, a, "paid")
	require.Equal(t, KindReplay, a.owner.Begin(ctx, req).Kind)
}

// Guards against a second run when an attempt arrives after its fence, or when the fence finds the key running.
func TestResolveAttempt(t *testing.T) {
	f, ctx := newFleet(), t.Context()
	a, b := f.start(t, "a", 1), f.start(t, "b", 1)
	d := a.owner.Begin(ctx, KeyRequest{Key: a.owner.Token() + ".one"})
	lost, ok := a.owner.StartAttempt(d.Key, model.TargetRef{}, b.self)
	require.True(t, ok)
	d = a.owner.ResolveAttempt(ctx, d.Key)
	require.Equal(t, KindRun, d.Kind)
	require.False(t, b.ledger.Admit(lost), "the fenced attempt arrives late")
	second, ok := a.owner.StartAttempt(d.Key, model.TargetRef{}, a.self)
	require.True(t, ok)
	require.True(t, a.ledger.Admit(second))
	d = a.owner.ResolveAttempt(ctx, d.Key)
	require.Equal(t, KindInProgress, d.Kind)
	a.owner.End(d.Key, model.OutcomeUnknown)
}

// Guards against a plain key that runs twice because the response to its claim was lost.
func TestPlainKeyClaimResponseLost(t *testing.T) {
	f, ctx := newFleet(), t.Context()
	a, b := f.start(t, "a", 1), f.start(t, "b", 1)
	req := KeyRequest{Key: "order-17", Account: "x"}
	f.lostClaims = 1
	d := a.owner.Begin(ctx, req)
	require.Equal(t, KindRun, d.Kind)
	require.Equal(t, KindInProgress, b.owner.Begin(ctx, req).Kind)
	a.run(t, d.Key, b, "ok")
	f.platformDown = true
	d = b.owner.Begin(ctx, req)
	require.Equal(t, KindUnknown, d.Kind, "the key ran, so not-run would be wrong")
	require.Equal(t, ReasonPlatformUnavailable, d.Reason)
}
