package hosted_test

import (
	"net/http"
	"net/rpc"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/feed"
	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/auburnwinch/auburnwinch/platform/fake"
)

// slowWrite is the time that a slow store takes for a write. A process that is killed in it leaves nothing behind.
const slowWrite = 200 * time.Millisecond

// membersPause is more than the time that a node waits after a response of the store with changes.
const membersPause = 1500 * time.Millisecond

// storedRecord returns the record of the node in the store.
func (n *testNode) storedRecord() *roster.Record {
	n.fleet.t.Helper()
	row := n.fleet.store.Get("nodes", "a", n.id)
	record, err := roster.DecodeRecord(roster.Row{Part: row.Part, Key: row.Key, Value: row.Value, Version: row.Version})
	require.NoError(n.fleet.t, err)
	return record
}

func (g *target) ref() model.TargetRef {
	return model.TargetRef{Service: g.node.service, ID: g.id, Incarnation: uint64(g.born)}
}

// failWrites makes the store refuse or delay all writes.
func (f *fleet) failWrites(fault fake.Fault) {
	f.store.SetFault(func(c fake.Call) fake.Fault {
		if c.Name == "rows-tx" {
			return fault
		}
		return fake.Fault{}
	})
}

// dieAndRestart ends the node as a kill does, without a further write, and starts it again.
func (n *testNode) dieAndRestart() {
	n.fleet.t.Helper()
	n.fleet.failWrites(fake.Fault{Status: http.StatusServiceUnavailable})
	n.stop()
	<-n.done
	n.fleet.store.SetFault(nil)
	require.NoError(n.fleet.t, n.start("a"))
	require.Eventually(n.fleet.t, n.ready, 5*time.Second, 10*time.Millisecond)
}

// requireUnused delivers a delayed heartbeat and requires that the target of the node gets no request.
func (n *testNode) requireUnused(caller *testNode) {
	n.fleet.t.Helper()
	before := n.target.total()
	n.target.mu.Lock()
	n.target.sequence = 0 // The next heartbeat is older than all previous ones.
	n.target.mu.Unlock()
	n.target.sendHeartbeat("ready")
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		a := caller.call(http.MethodPost, "kassa", "/order/1")
		require.Equal(n.fleet.t, http.StatusOK, a.status, n.fleet.logOf(a.id))
	}
	require.Equal(n.fleet.t, before, n.target.total(), "a target that has left received a request\n%s", n.log.String())
}

// Pattern: a node stops, its target deregisters or drains meanwhile, the node starts again, and a delayed heartbeat arrives.
// Guards against a process that acknowledges the leaving after its last record was written (review case 3).
func TestLeavingDuringStopIsRemembered(t *testing.T) {
	for name, leave := range map[string]func(*target) bool{
		"deregisters": (*target).deregister,
		"drains":      func(g *target) bool { return g.sendHeartbeat("draining") },
	} {
		t.Run(name, func(t *testing.T) {
			f, caller := withCaller(t, 2)
			f.nodes[1].target.keepAlive()
			n := f.nodes[0]
			n.stop()
			time.Sleep(500 * time.Millisecond)
			require.True(t, leave(n.target))
			<-n.done
			require.NoError(t, n.start("a"))
			require.Eventually(t, n.ready, 5*time.Second, 10*time.Millisecond)
			n.requireUnused(caller)
		})
	}
}

// Pattern: a target leaves and its node is killed as soon as it has acknowledged that. Guards against an acknowledgement that
// only the memory of the process backs.
func TestAcknowledgedLeavingSurvivesKill(t *testing.T) {
	f, caller := withCaller(t, 2)
	f.nodes[1].target.keepAlive()
	n := f.nodes[0]
	f.failWrites(fake.Fault{Delay: slowWrite})
	require.True(t, n.target.sendHeartbeat("draining"))
	require.Contains(t, n.storedRecord().Draining(), n.target.ref())
	n.dieAndRestart()
	n.requireUnused(caller)
	f.failWrites(fake.Fault{Delay: slowWrite})
	require.True(t, n.target.deregister())
	require.Contains(t, n.storedRecord().Withdrawn, n.target.ref())
	n.dieAndRestart()
	n.requireUnused(caller)
}

// Pattern: a node is killed, and its target deregisters at the next process before it has sent a heartbeat. Guards against an
// acknowledgement without effect because the process does not know the target.
func TestUnknownTargetThatDeregistersStaysOut(t *testing.T) {
	f, caller := withCaller(t, 2)
	f.nodes[1].target.keepAlive()
	n := f.nodes[0]
	n.dieAndRestart()
	require.True(t, n.target.deregister())
	n.requireUnused(caller)
	n.dieAndRestart()
	n.requireUnused(caller)
	n.target.mu.Lock()
	n.target.born = time.Now().UnixMilli() + 1
	n.target.mu.Unlock()
	n.target.heartbeat("ready")
	require.Eventually(t, func() bool {
		return n.target.ran(n.call(http.MethodPost, "kassa", "/order/1").id) == 1
	}, 5*time.Second, 20*time.Millisecond, "a new run of the target must receive requests")
}

// Pattern: a node starts while the store is away and its target deregisters. Guards against acknowledging that before the
// store holds it, and against an acknowledgement that does not follow soon after the store's return.
func TestLeavingIsNotAcknowledgedWithoutStore(t *testing.T) {
	f, caller := withCaller(t, 2)
	f.nodes[1].target.keepAlive()
	n := f.nodes[0]
	n.stop()
	<-n.done
	f.store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Status: http.StatusServiceUnavailable} })
	require.NoError(t, n.start("a"))
	begin := time.Now()
	require.False(t, n.target.deregister())
	require.Less(t, time.Since(begin), time.Second, "the target waits for one second")
	f.store.SetFault(nil)
	require.Eventually(t, n.target.deregister, 2*time.Second, 10*time.Millisecond)
	n.requireUnused(caller)
}

// Pattern: the store takes a write and its response is lost. Guards against an acknowledgement that never comes.
func TestLeavingIsAcknowledgedAfterALostResponse(t *testing.T) {
	f, _ := withCaller(t, 2)
	n := f.nodes[0]
	f.failWrites(fake.Fault{DropResponse: true})
	require.Eventually(t, n.target.deregister, 4*time.Second, 10*time.Millisecond)
	require.Contains(t, n.storedRecord().Withdrawn, n.target.ref())
}

// introduce tells the node of others, as one of them does after a response that shows that it knows none.
func (n *testNode) introduce(others []*testNode) {
	client, err := rpc.Dial("tcp", n.listeners.Peer)
	if err != nil {
		return
	}
	defer func() { _ = client.Close() }()
	args := feed.IntroduceArgs{Number: 1}
	for _, other := range others {
		args.Peers = append(args.Peers, feed.Peer{ID: other.id, Incarnation: 1, Address: other.listeners.Peer})
	}
	args.From = args.Peers[0]
	_ = client.Call("Feed.Introduce", args, &feed.IntroduceReply{}) // The caller checks whether it had an effect.
}

// Pattern: a target leaves, its node ends and starts again while the store turns its VM away, it gets the rows from another
// node that has not heard of the leaving, and a delayed heartbeat arrives. Guards against a process that takes outdated rows of
// another node for all that its predecessor has acknowledged (DRAIN, review case 6).
func TestOutdatedRowsDoNotEndTheWaitForThePast(t *testing.T) {
	deregisters, drains := (*target).deregister, func(g *target) bool { return g.sendHeartbeat("draining") }
	for name, c := range map[string]struct {
		leave func(*target) bool
		// served reports whether the store responds to a call that reads changes.
		served func(fake.Call) bool
	}{
		"deregisters":                  {deregisters, func(c fake.Call) bool { return c.Wait == 0 }},
		"drains":                       {drains, func(c fake.Call) bool { return c.Wait == 0 }},
		"no node hears from the store": {deregisters, func(fake.Call) bool { return false }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // It waits most of the time.
			f, _ := withCaller(t, 3)
			for _, other := range f.nodes[1:] {
				other.target.keepAlive()
			}
			n := f.nodes[0]
			require.Eventually(t, func() bool { return len(f.readers()) == 2 }, 15*time.Second, 10*time.Millisecond) // Long polls of 5 s end before.
			time.Sleep(membersPause)                                                                                 // The readers wait for the next change.
			f.store.SetFault(func(call fake.Call) fake.Fault {
				return fake.Fault{Hang: call.Name == "rows-feed" && !c.served(call)}
			})
			f.store.Put("nodes", "b", "row", nil) // Ends the pending long polls, and the next ones get no response.
			time.Sleep(100 * time.Millisecond)
			require.True(t, c.leave(n.target))
			n.stop()
			<-n.done
			n.store.setCut(true)
			require.NoError(t, n.start("a"))
			started := len(n.log.String())
			require.Eventually(t, func() bool {
				n.introduce(f.nodes[1:])
				return strings.Contains(n.log.String()[started:], "members changed") && n.ready()
			}, 3*time.Second, 10*time.Millisecond)
			n.requireUnused(n)
		})
	}
}

// Pattern: a target leaves, its node is killed and starts while the store is away, other nodes have not heard of the leaving,
// and a delayed heartbeat arrives. Guards against using the target because the node can't read what it knew, and against never
// using a target that has not left.
func TestUnknownPastHoldsTheTargetBack(t *testing.T) {
	const interval = 1500 * time.Millisecond // Targets send a heartbeat so often.
	f, caller := withCaller(t, 2)
	f.nodes[1].target.keepAlive()
	n := f.nodes[0]
	// The watchers of other nodes hear of nothing from here on.
	f.store.SetFault(func(c fake.Call) fake.Fault { return fake.Fault{Hang: c.Name == "rows-feed"} })
	f.store.EndWatches()
	require.True(t, n.target.deregister())
	f.store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Status: http.StatusServiceUnavailable} })
	n.stop()
	<-n.done
	require.NoError(t, n.start("a"))
	n.requireUnused(caller)
	n.requireUnused(caller) // The same heartbeat once more.
	before := n.target.total()
	n.target.mu.Lock()
	n.target.id, n.target.born = "i-next", time.Now().UnixMilli()
	n.target.mu.Unlock()
	n.target.keepAlive()
	require.Eventually(t, func() bool { return strings.Contains(n.log.String(), `"target":"i-next"`) }, 3*interval, 10*time.Millisecond)
	require.Equal(t, before, n.target.total())
}
