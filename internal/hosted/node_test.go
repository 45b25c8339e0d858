package hosted_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/platform/fake"
)

// Guards against a node without a configuration that answers anything but 503 with Retry-After, and against a single
// node that never puts a configuration in force.
func TestSingleNode(t *testing.T) {
	f := newFleet(t)
	n := f.add("kassa", "a")
	require.False(t, n.ready())
	time.Sleep(startupPeriod)
	a := n.call(http.MethodGet, "kassa", "/read/x")
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))

	f.configure(3, "kassa")
	n.await("kassa", "/read/x")
	require.True(t, n.ready())
	a = n.call(http.MethodPost, "kassa", "/order/1?q=%2F")
	require.Equal(t, http.StatusOK, a.status)
	require.Equal(t, "POST /order/1?q=%2F order "+a.id+" from kassa", a.body)
	require.Equal(t, "seal-"+a.id, a.header.Get("Auburnwinch-Server-Seal"))
	require.Equal(t, a.id, a.header.Get("Auburnwinch-Request-Id"))
	require.Equal(t, http.StatusNotFound, n.call(http.MethodGet, "kassa", "/else/").status)
	require.Equal(t, http.StatusNotFound, n.call(http.MethodGet, "other", "/read/x").status)
	require.Equal(t, http.StatusOK, n.call(http.MethodDelete, "kassa", "/order/2").status, "a non-idempotent request without a body")
}

// startupPeriod is how long requests wait for the configuration and members of a starting node.
const startupPeriod = 5 * time.Second

// Pattern: all nodes start at once while callers already send requests. Guards against refusing requests just before
// the configuration and the targets are known.
func TestRequestsWaitDuringStartup(t *testing.T) {
	f := newFleet(t)
	n := f.add("kassa", "a")
	answers := make(chan answer, 1)
	go func() { answers <- n.callAs("early", http.MethodPost, "kassa", "/order/1") }()
	time.Sleep(200 * time.Millisecond)
	f.configure(1, "kassa")
	a := <-answers
	require.Equal(t, http.StatusOK, a.status, a.body)
	require.Equal(t, 1, n.target.ran("early"))
}

// Guards against requests that are only served on their own VM, and against a new node that receives no requests from
// others.
func TestRequestsReachOtherNodes(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "kassa", "vitrine")
	first := f.add("vitrine", "a")
	second := f.add("kassa", "b")
	first.await("kassa", "/read/x")
	a := first.call(http.MethodPost, "kassa", "/order/1")
	require.Equal(t, http.StatusOK, a.status)
	require.Equal(t, 1, second.target.ran(a.id))
	require.Contains(t, a.body, "from vitrine", "the service of the VM from which the request was sent")

	third := f.add("kassa", "a")
	require.Eventually(t, func() bool {
		first.call(http.MethodGet, "kassa", "/read/x")
		return third.target.total() > 0
	}, 4*time.Second, 20*time.Millisecond)
}

// Pattern: a third of the targets fail nearly all requests for seconds while their heartbeats are healthy. Guards
// against losing request after request to such a target, and against running a request twice.
func TestSickTargetGetsNoOrders(t *testing.T) {
	f, caller := withCaller(t, 2)
	n, other := f.nodes[0], f.nodes[1]
	var sick atomic.Bool
	sick.Store(true)
	n.target.set(func(w http.ResponseWriter, _ *http.Request) bool {
		if sick.Load() {
			w.Header().Set("Auburnwinch-Server-Seal", "s")
			w.WriteHeader(http.StatusInternalServerError)
		}
		return sick.Load()
	})
	failed := 0
	// A new agent's share of the extra retries grows over time: by then it has 8 of the 400 per target.
	time.Sleep(200 * time.Millisecond)
	for range 60 {
		a := caller.call(http.MethodPost, "kassa", "/order/1")
		if a.status != http.StatusOK {
			failed++
		}
		require.LessOrEqual(t, n.target.ran(a.id)+other.target.ran(a.id), 1, "a non-idempotent request ran twice")
		read := caller.call(http.MethodGet, "kassa", "/read/x")
		require.Equal(t, http.StatusOK, read.status, "idempotent requests are retried elsewhere:\n%s", f.logOf(read.id))
	}
	require.LessOrEqual(t, failed, 3)
	sick.Store(false)
	require.Eventually(t, func() bool {
		a := caller.call(http.MethodPost, "kassa", "/order/1")
		caller.call(http.MethodGet, "kassa", "/read/x")
		return n.target.ran(a.id) == 1
	}, 15*time.Second, 20*time.Millisecond, "the target must recover")
}

// Pattern: a target sheds all requests. Guards against losing non-idempotent requests that are safe to retry because
// they have not run.
func TestShedRequestsAreRetriedElsewhere(t *testing.T) {
	f, caller := withCaller(t, 2)
	n := f.nodes[0]
	n.target.set(func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Auburnwinch-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	for range 10 {
		a := caller.call(http.MethodPost, "kassa", "/order/1")
		require.Equal(t, http.StatusOK, a.status, a.body)
	}
}

// Guards against a non-idempotent request whose response was lost and that is reported as not run or runs again.
func TestBrokenConnectionIsUnknownOutcome(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "kassa")
	n := f.add("kassa", "a")
	other := f.add("kassa", "a")
	n.await("kassa", "/read/x")
	breakOff := func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }
	n.target.set(breakOff)
	other.target.set(breakOff)
	a := n.call(http.MethodPost, "kassa", "/order/1")
	require.Equal(t, http.StatusBadGateway, a.status)
	require.Equal(t, 1, n.target.ran(a.id)+other.target.ran(a.id))
}

// Guards against returning the response of another request to the caller, and against a truncated response that looks
// complete.
func TestInvalidResponses(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "kassa")
	n := f.add("kassa", "a")
	n.await("kassa", "/read/x")
	for name, behave := range map[string]func(http.ResponseWriter, *http.Request) bool{
		"another id": func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Auburnwinch-Request-Id", "another")
			w.Header().Set("Auburnwinch-Server-Seal", "s")
			_, _ = w.Write([]byte("wrong"))
			return true
		},
		"no signature": func(w http.ResponseWriter, _ *http.Request) bool {
			_, _ = w.Write([]byte("wrong"))
			return true
		},
		"cut short": func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Auburnwinch-Server-Seal", "s")
			w.Header().Set("Content-Length", "1000")
			_, _ = w.Write([]byte(strings.Repeat("x", 900)))
			panic(http.ErrAbortHandler)
		},
	} {
		n.target.set(behave)
		a := n.call(http.MethodGet, "kassa", "/read/x")
		require.False(t, a.err == nil && a.status < 300, "%s: %+v", name, a)
	}
}

// Pattern: a target drains or deregisters, its node is restarted once or twice, and a delayed heartbeat arrives. Guards
// against using a target again after it has left.
func TestRestartDoesNotReviveLeavingTargets(t *testing.T) {
	f, caller := withCaller(t, 2)
	f.nodes[1].target.keepAlive()
	leaving := f.nodes[0]
	late := func() {
		leaving.target.mu.Lock()
		leaving.target.sequence = 0 // The next heartbeat is older than all previous ones.
		leaving.target.mu.Unlock()
		leaving.target.heartbeat("ready")
	}
	for _, leave := range []func(){
		func() { leaving.target.heartbeat("draining") },
		func() { leaving.restart("a") }, // This process receives no heartbeat before it is restarted again.
		leaving.target.withdraw,
	} {
		leave()
		leaving.restart("a")
		before := leaving.target.total()
		late()
		for range 20 {
			a := caller.call(http.MethodPost, "kassa", "/order/1")
			require.Equal(t, http.StatusOK, a.status, f.logOf(a.id))
			time.Sleep(20 * time.Millisecond)
		}
		late()
		a := leaving.call(http.MethodPost, "kassa", "/order/1")
		require.Equal(t, http.StatusOK, a.status, f.logOf(a.id))
		require.Equal(t, before, leaving.target.total(), "a target that has left received a request")
	}
	leaving.target.mu.Lock()
	leaving.target.born++
	leaving.target.mu.Unlock()
	leaving.target.heartbeat("ready")
	require.Eventually(t, func() bool {
		return leaving.target.ran(leaving.call(http.MethodPost, "kassa", "/order/1").id) == 1
	}, 5*time.Second, 20*time.Millisecond, "a new run of the target must receive requests")
}

// Pattern: a VM is removed during a store outage, so that its row still lists it as serving. Guards against requests
// that repeatedly wait for a dial to the removed VM, and against not using a VM after its return.
func TestLostNodeIsNotRetried(t *testing.T) {
	f, caller := withCaller(t, 2)
	f.nodes[1].target.keepAlive()
	lost := f.nodes[0]
	f.store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Status: http.StatusServiceUnavailable} })
	lost.stop()
	<-lost.done
	f.store.SetFault(nil)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		a := caller.call(http.MethodGet, "kassa", "/read/x")
		require.Equal(t, http.StatusOK, a.status, f.logOf(a.id))
	}
	tries := strings.Count(caller.log.String(), "the node of the target can't be reached")
	require.LessOrEqual(t, tries, 1, "only one request may fail to reach the lost node")
	require.NoError(t, lost.start("a"))
	require.Eventually(t, lost.ready, 5*time.Second, 10*time.Millisecond)
	lost.target.heartbeat("ready")
	before := lost.target.total()
	require.Eventually(t, func() bool {
		caller.call(http.MethodGet, "kassa", "/read/x")
		return lost.target.total() > before
	}, 5*time.Second, 20*time.Millisecond)
}

// Guards against a draining target that receives new requests during a store outage, against an acknowledgement that the
// next process of the node could not keep, and against one that does not follow soon after the store's return.
func TestDrainingTargetGetsNoNewRequests(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "kassa")
	n := f.add("kassa", "a")
	other := f.add("kassa", "a")
	n.await("kassa", "/read/x")
	for _, node := range f.nodes {
		// A node learns about targets from the store, which is about to fail.
		require.Eventually(t, func() bool { return strings.Contains(node.log.String(), `"nodes":2`) }, 5*time.Second, 10*time.Millisecond)
	}
	f.store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Status: http.StatusServiceUnavailable} })
	require.False(t, n.target.sendHeartbeat("draining"), "the store does not hold it")
	before := n.target.total()
	for range 20 {
		a := other.call(http.MethodPost, "kassa", "/order/1")
		require.Equal(t, http.StatusOK, a.status, f.logOf(a.id))
		a = n.call(http.MethodGet, "kassa", "/read/1")
		require.Equal(t, http.StatusOK, a.status, f.logOf(a.id))
	}
	require.Equal(t, before, n.target.total())
	require.False(t, n.target.sendHeartbeat("draining"))
	f.store.SetFault(nil)
	require.Eventually(t, func() bool { return n.target.sendHeartbeat("draining") }, 2*time.Second, 10*time.Millisecond)
	require.Contains(t, n.storedRecord().Draining(), n.target.ref())
}

// Guards against returning to an older configuration when it is read again, and against applying an invalid one
// partially.
func TestConfigurationNeverRollsBack(t *testing.T) {
	f := newFleet(t)
	f.configure(5, "kassa", "vitrine")
	n := f.add("kassa", "a")
	n.await("kassa", "/read/x")
	f.configure(9, "kassa")
	require.Eventually(t, func() bool { return n.call(http.MethodGet, "vitrine", "/read/x").status == http.StatusNotFound }, 2*time.Second, 10*time.Millisecond)
	f.configure(5, "kassa", "vitrine")
	f.store.Put("op", "", "config", []byte(`{"version":"r10","resources":[{"resourceType":"routes","metadata":{"name":"x"},"spec":{}}]}`))
	for range 20 {
		require.Equal(t, http.StatusNotFound, n.call(http.MethodGet, "vitrine", "/read/x").status)
		require.Equal(t, http.StatusOK, n.call(http.MethodGet, "kassa", "/read/x").status)
		time.Sleep(10 * time.Millisecond)
	}
	require.Contains(t, n.log.String(), "configuration rejected")
}

// Guards against confusing a target with the earlier one at the same address, and against a late heartbeat of the
// earlier one.
func TestReusedAddress(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "kassa")
	n := f.add("kassa", "a")
	n.await("kassa", "/read/x")
	earlier := n.target
	next := &target{node: n, id: "i-next", born: earlier.born + 5000, slots: 3, runs: make(map[string]int)}
	earlier.server.Config.Handler = next
	next.server = earlier.server
	require.Eventually(t, func() bool {
		return n.call(http.MethodPost, "kassa", "/order/1").status == http.StatusServiceUnavailable
	}, 3*time.Second, 10*time.Millisecond,
		"the target at the address is not the expected one")
	next.heartbeat("ready")
	n.await("kassa", "/read/x")
	earlier.heartbeat("ready")
	require.Equal(t, http.StatusOK, n.call(http.MethodPost, "kassa", "/order/1").status)
	require.Contains(t, n.log.String(), "heartbeat ignored")
}

// Guards against a graceful shutdown that cuts requests off, keeps the node ready, or accepts requests that it cannot
// complete.
func TestStopCutsNothing(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "kassa")
	n := f.add("kassa", "a")
	other := f.add("kassa", "a")
	n.await("kassa", "/read/x")
	other.await("kassa", "/read/x")
	for _, node := range f.nodes {
		// Each node serves reads at its own target before it knows the other one, which must take over at the stop.
		require.Eventually(t, func() bool { return strings.Contains(node.log.String(), `"nodes":2`) }, 5*time.Second, 10*time.Millisecond)
	}
	slow := func(_ http.ResponseWriter, _ *http.Request) bool { time.Sleep(1500 * time.Millisecond); return false }
	n.target.set(slow)
	other.target.set(slow)
	answers := make(chan answer, 2)
	for i, id := range []string{"slow-1", "slow-2"} {
		go func() { answers <- f.nodes[i].callAs(id, http.MethodPost, "kassa", "/order/1") }()
	}
	require.Eventually(t, func() bool {
		return n.target.ran("slow-1")+other.target.ran("slow-1") == 1 && n.target.ran("slow-2")+other.target.ran("slow-2") == 1
	}, 2*time.Second, 5*time.Millisecond)
	n.target.set(nil)
	other.target.set(nil)
	n.stop()
	require.Eventually(t, func() bool { return !n.ready() }, time.Second, 5*time.Millisecond)
	late := n.call(http.MethodPost, "kassa", "/order/1")
	require.Equal(t, http.StatusOK, late.status, "callers are served until the platform has seen the failed probes:\n%s", f.logOf(late.id))
	require.Equal(t, http.StatusOK, other.call(http.MethodPost, "kassa", "/order/1").status)
	for range 2 {
		a := <-answers
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status, a.body)
	}
	time.Sleep(1200 * time.Millisecond)
	select {
	case <-n.done:
	case <-time.After(4 * time.Second):
		t.Fatal("the node did not stop within its grace period")
	}
}

// Pattern: a node stops while its callers' requests wait for slots elsewhere. Guards against closing the connections of
// such requests without answer although the requests have not run.
func TestStopAnswersThoseThatWait(t *testing.T) {
	f, caller := withCaller(t, 1)
	busy := f.nodes[0]
	busy.fill(caller)
	answers := make(chan answer, 1)
	go func() { answers <- caller.callAs("waiting", http.MethodPost, "kassa", "/long/2") }()
	time.Sleep(200 * time.Millisecond)
	caller.stop()
	a := <-answers
	require.NoError(t, a.err)
	require.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
	require.Zero(t, busy.target.ran("waiting"))
	<-caller.done
}
