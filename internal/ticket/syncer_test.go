package ticket_test

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/fakes/cloud"
	"github.com/auburnwinch/auburnwinch/internal/fakes/fault"
	"github.com/auburnwinch/auburnwinch/internal/store"
	"github.com/auburnwinch/auburnwinch/internal/ticket"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// inForce is the time within which the design requires an accepted ticket to be in force on every node.
const inForce = 6 * time.Second

// fleet is a set of Syncers that receive each other's numbers immediately and call each other over net/rpc.
type fleet struct {
	*testing.T
	platform *cloud.Platform
	mu       sync.Mutex
	nodes    []model.Node
	keepers  map[model.NodeRef]*ticket.Syncer
	ready    chan model.NodeRef
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	platform, err := cloud.Start(cloud.Config{})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, platform.Close()) })
	f := &fleet{T: t, platform: platform, keepers: make(map[model.NodeRef]*ticket.Syncer), ready: make(chan model.NodeRef, 1000)}
	for range size {
		f.join()
	}
	return f
}

func (f *fleet) newStore() *store.Store {
	f.Helper()
	s, err := store.New(store.Config{Platform: f.platform.Settings()})
	require.NoError(f, err)
	return s
}

func (f *fleet) join() *ticket.Syncer {
	f.Helper()
	self := model.Node{Ref: model.NodeRef{ID: fmt.Sprintf("vm-%d", len(f.nodes)), Incarnation: 1}, Domain: "norte-1"}
	last := uint64(0)
	k := ticket.NewSyncer(ticket.SyncerConfig{
		Self: self, Platform: f.newStore(), Peers: f,
		OnApply: func(c *model.Configuration) {
			assert.Greater(f, c.Number, last, "configurations are delivered in order")
			last = c.Number
			f.announce(self.Ref, c.Number)
		},
		OnReady: func() { f.ready <- self.Ref },
	})
	f.Cleanup(func() { require.NoError(f, k.Close()) })
	f.mu.Lock()
	f.nodes = append(f.nodes, self)
	f.keepers[self.Ref] = k
	nodes := f.nodes
	f.mu.Unlock()
	for _, other := range f.all() {
		other.SetPeers(nodes)
	}
	return k
}

func (f *fleet) all() (keepers []*ticket.Syncer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range f.keepers {
		keepers = append(keepers, k)
	}
	return keepers
}

func (f *fleet) announce(from model.NodeRef, number uint64) {
	for _, k := range f.all() {
		k.Observe(from, number)
	}
}

// Call makes one net/rpc call over a pipe.
func (f *fleet) Call(_ context.Context, n model.Node, method string, args, reply any) error {
	f.mu.Lock()
	k := f.keepers[n.Ref]
	f.mu.Unlock()
	server := rpc.NewServer()
	if err := server.RegisterName(ticket.RPCService, &ticket.Receiver{Syncer: k}); err != nil {
		return err
	}
	clientPipe, serverPipe := net.Pipe()
	go server.ServeConn(serverPipe)
	client := rpc.NewClient(clientPipe)
	defer func() { _ = client.Close() }()
	return client.Call(method, args, reply)
}

func (f *fleet) requireInForce(number uint64, within time.Duration) {
	f.Helper()
	begin := time.Now()
	require.Eventually(f, func() bool {
		for _, k := range f.all() {
			if k.Configuration().Number < number {
				return false
			}
		}
		return true
	}, within, 5*time.Millisecond)
	f.Logf("ticket %d in force on %d nodes after %v", number, len(f.nodes), time.Since(begin).Round(time.Millisecond))
}

func sample(number uint64) model.Ticket {
	return model.Ticket{Number: number, Author: "Ada", Services: []model.ServiceSpec{{
		Name: "courtview", FloorSlots: int(number), Routes: []model.RouteSpec{{Name: "all", PathPrefix: "/", Idempotent: true}},
	}}}
}

// Guards against an accepted ticket that is not in force on every node within the bound, both with a healthy platform
// and with one that takes 1.5 s to respond.
func TestAcceptedTicketIsInForceWithinTheBound(t *testing.T) {
	f := newFleet(t, 12)
	operator := f.newStore()
	_, err := operator.FileTicket(context.Background(), sample(1))
	require.NoError(t, err)
	f.requireInForce(1, inForce)
	require.NoError(t, f.platform.Faults.Set(fault.Rule{Kind: fault.Slow, Delay: model.Duration(1500 * time.Millisecond)}))
	_, err = operator.FileTicket(context.Background(), sample(2))
	require.NoError(t, err)
	f.requireInForce(2, inForce)
}

// Guards against nodes that lose their configuration in a platform outage, and against a node that can't join during
// one.
func TestJoiningDuringAnOutageTakesTheConfigurationOfPeers(t *testing.T) {
	f := newFleet(t, 4)
	operator := f.newStore()
	for n := uint64(1); n <= 70; n++ {
		_, err := operator.FileTicket(context.Background(), sample(n))
		require.NoError(t, err)
	}
	f.requireInForce(70, inForce)
	// A reader that skipped number 50 with a peer's snapshot saves that snapshot, so its number may be larger than 50.
	require.Eventually(t, func() bool {
		c, err := operator.Snapshot(context.Background())
		return err == nil && c.Number >= ticket.SnapshotEvery && c.Services[0].FloorSlots == int(c.Number)
	}, inForce, 10*time.Millisecond, "a reader saves the snapshot")
	require.NoError(t, f.platform.Faults.Set(fault.Rule{Kind: fault.Away}))
	joined := f.join()
	require.Eventually(t, joined.Ready, inForce, 5*time.Millisecond)
	require.Equal(t, f.all()[0].Configuration().Services, joined.Configuration().Services)
	require.EqualValues(t, 70, joined.Configuration().Number)
	require.NoError(t, f.platform.Faults.Set())
	_, err := f.newStore().FileTicket(context.Background(), sample(71))
	require.NoError(t, err)
	f.requireInForce(71, inForce)
}

// Guards against a node that is ready but never serves: when nothing else changes, OnReady is what makes it start.
func TestReadyIsReportedOnce(t *testing.T) {
	f := newFleet(t, 1)
	select {
	case ref := <-f.ready:
		require.True(t, f.keepers[ref].Ready())
	case <-time.After(inForce):
		require.FailNow(t, "readiness was not reported")
	}
	require.Never(t, func() bool { return len(f.ready) > 0 }, time.Second, 100*time.Millisecond)
}
