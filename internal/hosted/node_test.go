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

// Guards against a node without a configuration that refuses what is allowed, and against one that is alone and never puts
// a configuration in force.
func TestLoneNode(t *testing.T) {
	f := newFleet(t)
	n := f.add("kassa", "a")
	require.False(t, n.ready())
	time.Sleep(startPeriod)
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
	require.Equal(t, http.StatusOK, n.call(http.MethodDelete, "kassa", "/order/2").status, "a request without a body, in two steps")
}

// startPeriod is the time in which requests wait for what a starting node may still learn.
const startPeriod = 5 * time.Second

// Pattern: all nodes start at once, with callers already there. Guards against requests that are refused a moment before
// configuration and targets are known.
func TestRequestsWaitForTheStart(t *testing.T) {
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

// Guards against requests that stay on their own VM, and against a new node that gets none of the others' requests.
func TestRequestsReachOtherNodes(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "kassa", "vitrine")
	first := f.add("vitrine", "a")
	second := f.add("kassa", "b")
	first.await("kassa", "/read/x")
	a := first.call(http.MethodPost, "kassa", "/order/1")
	require.Equal(t, http.StatusOK, a.status)
	require.Equal(t, 1, second.target.ran(a.id))
	require.Contains(t, a.body, "from vitrine", "the service of the VM where the request began")

	third := f.add("kassa", "a")
	require.Eventually(t, func() bool {
		first.call(http.MethodGet, "kassa", "/read/x")
		return third.target.total() > 0
	}, 4*time.Second, 20*time.Millisecond)
}

// Pattern: a third of the targets fail nearly all requests for seconds, with good heartbeats. Guards against requests that
// are lost to such a target one after the other, and against requests that run twice.
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
	// New agents grow into the extra repeats: 8 of the 400 of each target by then.
	time.Sleep(200 * time.Millisecond)
	for range 60 {
		a := caller.call(http.MethodPost, "kassa", "/order/1")
		if a.status != http.StatusOK {
			failed++
		}
		require.LessOrEqual(t, n.target.ran(a.id)+other.target.ran(a.id), 1, "an order ran twice")
		read := caller.call(http.MethodGet, "kassa", "/read/x")
		require.Equal(t, http.StatusOK, read.status, "reads are repeated elsewhere:\n%s", f.story(read.id))
	}
	require.LessOrEqual(t, failed, 3)
	sick.Store(false)
	require.Eventually(t, func() bool {
		a := caller.call(http.MethodPost, "kassa", "/order/1")
		caller.call(http.MethodGet, "kassa", "/read/x")
		return n.target.ran(a.id) == 1
	}, 15*time.Second, 20*time.Millisecond, "the target comes back")
}

// Pattern: all targets of a service shed at once. Guards against orders that are lost although a repeat is certain not to
// double them, and against repeats without bound.
func TestShedOrdersAreSentElsewhere(t *testing.T) {
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

// Guards against an order whose answer was lost and that is reported as not run or runs again.
func TestBrokenOrderIsUnknown(t *testing.T) {
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

// Guards against an answer of another request that is given to the caller, and against half an answer that looks whole.
func TestGarbledAnswers(t *testing.T) {
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

// Pattern: a target drains or says goodbye, the process of its node is restarted, once or twice, and a heartbeat that was
// held up arrives.
// Guards against a target that has left and is in use again.
func TestRestartDoesNotReviveLeavingTargets(t *testing.T) {
	f, caller := withCaller(t, 2)
	f.nodes[1].target.runOn()
	leaving := f.nodes[0]
	late := func() {
		leaving.target.mu.Lock()
		leaving.target.sequence = 0 // The next heartbeat is older than all before.
		leaving.target.mu.Unlock()
		leaving.target.heartbeat("ready")
	}
	for _, leave := range []func(){
		func() { leaving.target.heartbeat("draining") },
		func() { leaving.restart("a") }, // This process hears nothing of the target before the next one starts.
		leaving.target.withdraw,
	} {
		leave()
		leaving.restart("a")
		before := leaving.target.total()
		late()
		for range 20 {
			a := caller.call(http.MethodPost, "kassa", "/order/1")
			require.Equal(t, http.StatusOK, a.status, f.story(a.id))
			time.Sleep(20 * time.Millisecond)
		}
		late()
		a := leaving.call(http.MethodPost, "kassa", "/order/1")
		require.Equal(t, http.StatusOK, a.status, f.story(a.id))
		require.Equal(t, before, leaving.target.total(), "a target that has left got a request")
	}
	leaving.target.mu.Lock()
	leaving.target.born++
	leaving.target.mu.Unlock()
	leaving.target.heartbeat("ready")
	require.Eventually(t, func() bool {
		return leaving.target.ran(leaving.call(http.MethodPost, "kassa", "/order/1").id) == 1
	}, 5*time.Second, 20*time.Millisecond, "its next run is served")
}

// Pattern: a VM leaves for good while the store is away, so that its row says that it serves.
// Guards against callers that wait again and again to learn that it is gone, and against a VM that is not used after its
// return.
func TestCallersDoNotTryALostNodeAgain(t *testing.T) {
	f, caller := withCaller(t, 2)
	f.nodes[1].target.runOn()
	lost := f.nodes[0]
	f.store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Status: http.StatusServiceUnavailable} })
	lost.stop()
	<-lost.done
	f.store.SetFault(nil)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		a := caller.call(http.MethodGet, "kassa", "/read/x")
		require.Equal(t, http.StatusOK, a.status, f.story(a.id))
	}
	tries := strings.Count(caller.log.String(), "the node of the target can't be reached")
	require.LessOrEqual(t, tries, 1, "one caller learns that the node is gone")
	require.NoError(t, lost.start("a"))
	require.Eventually(t, lost.ready, 5*time.Second, 10*time.Millisecond)
	lost.target.heartbeat("ready")
	before := lost.target.total()
	require.Eventually(t, func() bool {
		caller.call(http.MethodGet, "kassa", "/read/x")
		return lost.target.total() > before
	}, 5*time.Second, 20*time.Millisecond)
}

// Guards against a leaving target that gets new work, and against a leave that is not acknowledged while the store is away.
func TestDrainingTargetGetsNothingNew(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "kassa")
	n := f.add("kassa", "a")
	other := f.add("kassa", "a")
	n.await("kassa", "/read/x")
	for _, node := range f.nodes {
		// A node learns of targets from the store, which is about to go away.
		require.Eventually(t, func() bool { return strings.Contains(node.log.String(), `"nodes":2`) }, 5*time.Second, 10*time.Millisecond)
	}
	f.store.SetFault(func(fake.Call) fake.Fault { return fake.Fault{Status: http.StatusServiceUnavailable} })
	n.target.heartbeat("draining") // Returns once it is acknowledged.
	before := n.target.total()
	for range 20 {
		a := other.call(http.MethodPost, "kassa", "/order/1")
		require.Equal(t, http.StatusOK, a.status, f.story(a.id))
		a = n.call(http.MethodGet, "kassa", "/read/1")
		require.Equal(t, http.StatusOK, a.status, f.story(a.id))
	}
	require.Equal(t, before, n.target.total())
}

// Guards against a configuration that goes back when an older one is seen again, and against one that is half in force.
func TestConfigurationNeverGoesBack(t *testing.T) {
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

// Guards against a target at an address that another one had before, and against a late heartbeat of the earlier one.
func TestReusedAddress(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "kassa")
	n := f.add("kassa", "a")
	n.await("kassa", "/read/x")
	earlier := n.target
	next := &target{node: n, id: "i-next", born: earlier.born + 5000, runs: make(map[string]int)}
	earlier.server.Config.Handler = next
	next.server = earlier.server
	require.Eventually(t, func() bool {
		return n.call(http.MethodPost, "kassa", "/order/1").status == http.StatusServiceUnavailable
	}, 3*time.Second, 10*time.Millisecond,
		"the target that answers is not the expected one")
	next.heartbeat("ready")
	n.await("kassa", "/read/x")
	earlier.heartbeat("ready")
	require.Equal(t, http.StatusOK, n.call(http.MethodPost, "kassa", "/order/1").status)
	require.Contains(t, n.log.String(), "heartbeat ignored")
}

// Guards against a graceful stop that cuts requests off, keeps the node ready, or takes requests that it can't finish.
func TestStopCutsNothing(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "kassa")
	n := f.add("kassa", "a")
	other := f.add("kassa", "a")
	n.await("kassa", "/read/x")
	other.await("kassa", "/read/x")
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
	require.Equal(t, http.StatusOK, n.call(http.MethodPost, "kassa", "/order/1").status, "callers are served until they hear of the stop")
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
		t.Fatal("the node did not end within its grace")
	}
}

// Pattern: a node stops while its callers' requests wait for slots elsewhere. Guards against requests that are cut off
// without a word although nobody has run them.
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
