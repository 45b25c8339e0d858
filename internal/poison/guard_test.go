package poison

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// network connects guards over net/rpc; silent nodes do not answer.
type network struct {
	mu      sync.Mutex
	nodes   []model.Node
	guards  map[model.NodeRef]*Guard
	clients map[model.NodeRef]*rpc.Client
	silent  map[model.NodeRef]bool
	running []uint64
}

func (n *network) Agents(string) []model.Node { return n.nodes }

func (n *network) Call(_ context.Context, node model.Node, method string, args, reply any) error {
	n.mu.Lock()
	silent := n.silent[node.Ref]
	n.mu.Unlock()
	if silent {
		return errors.New("silent")
	}
	return n.clients[node.Ref].Call(method, args, reply)
}

func newNetwork(t *testing.T, size int) *network {
	n := &network{guards: map[model.NodeRef]*Guard{}, clients: map[model.NodeRef]*rpc.Client{}, silent: map[model.NodeRef]bool{}}
	for i := range size {
		g, err := NewGuard(GuardConfig{
			Config: Config{Self: ref(i)}, Peers: n, Directory: n, Clock: timer.NewManual(start),
			Running: func(_ string, fps []uint64) []uint64 {
				return slices.DeleteFunc(slices.Clone(fps), func(fp uint64) bool { return i == 0 || !slices.Contains(n.running, fp) })
			},
			Publish: func(entries []model.PoisonEntry) {
				for other, g := range n.guards {
					if other != ref(i) {
						g.Report(ref(i), entries)
					}
				}
			},
		})
		require.NoError(t, err)
		t.Cleanup(g.Close)
		server := rpc.NewServer()
		require.NoError(t, server.RegisterName(ServiceName, NewCalls(g)))
		near, far := net.Pipe()
		go server.ServeConn(far)
		n.nodes = append(n.nodes, model.Node{Ref: ref(i)})
		n.guards[ref(i)], n.clients[ref(i)] = g, rpc.NewClient(near)
		t.Cleanup(func() { _ = n.clients[ref(i)].Close() })
	}
	return n
}

// Guards against a trial before every agent knows the suspicion, against two trials, and against a third crash.
func TestGuardGrantsOneTrial(t *testing.T) {
	n, ctx := newNetwork(t, 3), t.Context()
	a, c := n.guards[ref(0)], n.guards[ref(2)]
	n.silent[ref(2)], n.running = true, []uint64{2}
	a.Crash(ctx, model.TargetRef{Service: service}, []Request{{Fingerprint: 2, Idempotent: true}})
	require.Equal(t, Suspect, n.guards[ref(1)].Snapshot().Verdict(service, 2))
	ask := func() bool {
		granted, err := AskTrial(ctx, n, n.nodes[0], service, 2)
		require.NoError(t, err)
		return granted
	}
	require.False(t, ask(), "one agent is silent")
	n.silent[ref(2)] = false
	require.False(t, ask(), "the request runs elsewhere")
	n.running = nil
	var grants atomic.Int64
	var wg conc.WaitGroup
	for range 8 {
		wg.Go(func() {
			if ask() {
				grants.Add(1)
			}
		})
	}
	wg.Wait()
	require.EqualValues(t, 1, grants.Load())
	c.Crash(ctx, model.TargetRef{Service: service}, []Request{{Fingerprint: 2, Idempotent: true}})
	require.NoError(t, TellTrial(ctx, n, n.nodes[0], service, 2, false))
	for _, g := range n.guards {
		require.Equal(t, Quarantined, g.Snapshot().Verdict(service, 2))
	}
}

// Guards against a suspicion that stays on the fleet after the request survived its trial.
func TestGuardClearsSurvivor(t *testing.T) {
	n, ctx := newNetwork(t, 2), t.Context()
	n.guards[ref(0)].Crash(ctx, model.TargetRef{Service: service}, []Request{{Fingerprint: 4, Idempotent: true}})
	require.True(t, n.guards[ref(0)].Trial(ctx, service, 4))
	require.NoError(t, TellTrial(ctx, n, n.nodes[0], service, 4, true))
	for _, g := range n.guards {
		require.Equal(t, Clear, g.Snapshot().Verdict(service, 4))
	}
}
