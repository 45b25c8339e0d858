package hosted_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endless writes start once and then piece repeatedly until the peer closes; with a pause of zero it writes at full
// speed.
func endless(start, piece string, pause time.Duration) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		conn, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return false
		}
		defer func() { _ = conn.Close() }()
		id := r.Header.Get("Auburnwinch-Request-Id")
		write(conn, buffer, strings.ReplaceAll(start, "ID", id), strings.ReplaceAll(piece, "ID", id), pause)
		return true
	}
}

func write(conn net.Conn, buffer *bufio.ReadWriter, start, piece string, pause time.Duration) {
	_, err := buffer.WriteString(start)
	for err == nil {
		_, err = buffer.WriteString(piece)
		if pause > 0 && err == nil {
			err = buffer.Flush()
			time.Sleep(pause)
		}
		_ = conn.SetWriteDeadline(time.Now().Add(time.Minute)) // The write fails if the node neither reads nor closes.
	}
}

// Pattern: a target sends an endless stream, fast or slowly, in a header, in a body or as responses to other requests.
// Guards against a caller that waits past its deadline, against reporting success, against unbounded memory use, and
// against leaked slots: the target must serve again once it behaves.
func TestAnswersWithoutEnd(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nAuburnwinch-Request-Id: ID\r\nAuburnwinch-Server-Seal: s\r\n"
		foreign = "HTTP/1.1 200 OK\r\nAuburnwinch-Request-Id: another\r\nAuburnwinch-Server-Seal: s\r\nContent-Length: 5\r\n\r\nwrong"
		drip    = 20 * time.Millisecond
		// slack covers network and scheduling delays beyond the caller's timeout.
		slack = 1200 * time.Millisecond
		// maxHeapBytes is far below what an endless body transfers in three seconds.
		maxHeapBytes = 160 << 20
	)
	block := strings.Repeat("x", 4096)
	f := newFleet(t)
	f.configure(1, "kassa")
	n := f.add("kassa", "a")
	n.await("kassa", "/read/x")
	for _, c := range []struct {
		name   string
		behave func(http.ResponseWriter, *http.Request) bool
	}{
		{"junk", endless("", block, 0)},
		{"header lines", endless(head, "X-More: "+block+"\r\n", 0)},
		{"dripping header", endless(head, "X-More: y\r\n", drip)},
		{"interim answers", endless("", "HTTP/1.1 103 Early Hints\r\n\r\n", 0)},
		{"body without length", endless(head+"Connection: close\r\n\r\n", block, 0)},
		{"chunks", endless(head+"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n"+block+"\r\n", 0)},
		{"dripping chunks", endless(head+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", drip)},
		{"chunk extension", endless(head+"Transfer-Encoding: chunked\r\n\r\n1;", block, 0)},
		{"trailers", endless(head+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-More: y\r\n", 0)},
		{"foreign answers", endless("", foreign, 0)},
		{"dripping foreigners", endless("", foreign, drip)},
		{"foreign body", endless(strings.Replace(head, "ID", "another", 1)+"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n"+block+"\r\n", 0)},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			path := map[string]string{http.MethodGet: "/read/x", http.MethodPost: "/order/1"}[method]
			n.serves(c.name)
			n.target.set(c.behave)
			a := n.call(method, "kassa", path)
			require.NotZero(t, n.target.ran(a.id), "%s %s did not reach the target:\n%s", method, c.name, f.logOf(a.id))
			require.False(t, a.err == nil && a.status < 300, "%s %s: a success of %d bytes", method, c.name, len(a.body))
			require.Less(t, a.took, 3*time.Second+slack, "%s %s:\n%s", method, c.name, f.logOf(a.id))
			if method == http.MethodPost && a.err == nil {
				require.NotEqual(t, http.StatusServiceUnavailable, a.status, "%s: a request that ran must not be refused", c.name)
			}
			var memory runtime.MemStats
			a.body = ""
			runtime.GC()
			runtime.ReadMemStats(&memory)
			require.Less(t, memory.HeapAlloc, uint64(maxHeapBytes), c.name)
			n.target.set(nil)
		}
	}
	n.serves("the last case")
	require.Contains(t, n.log.String(), `"sick":true`)
	require.Eventually(t, func() bool { return n.atTarget() == 0 }, 5*time.Second, 20*time.Millisecond, "all slots must be released")
}

// serves waits until the target, which may be considered unhealthy, serves idempotent and non-idempotent requests
// again.
func (n *testNode) serves(before string) {
	n.fleet.t.Helper()
	require.Eventually(n.fleet.t, func() bool {
		read, order := n.call(http.MethodGet, "kassa", "/read/x"), n.call(http.MethodPost, "kassa", "/order/1")
		n.target.heartbeat("ready") // Without heartbeats it would expire during this long test.
		return read.status == http.StatusOK && order.status == http.StatusOK
	}, 20*time.Second, 20*time.Millisecond, "the target must serve before %s", before)
}

// atTarget returns the number of requests in flight at the node's target, as reported by /state.
func (n *testNode) atTarget() int {
	response, err := http.Get("http://" + n.listeners.Metrics + "/state")
	require.NoError(n.fleet.t, err)
	defer func() { _ = response.Body.Close() }()
	var state struct {
		Agent struct {
			Targets []struct {
				InFlight int `json:"in-flight"`
			}
		}
	}
	require.NoError(n.fleet.t, json.NewDecoder(response.Body).Decode(&state))
	require.Len(n.fleet.t, state.Agent.Targets, 1)
	return state.Agent.Targets[0].InFlight
}

// Pattern: a target refuses requests, or fails them, with a body that never ends. Guards against reading the body until the
// deadline although the header says that another target may serve the request.
func TestRefusalWithoutEnd(t *testing.T) {
	const (
		shed   = "HTTP/1.1 503 Service Unavailable\r\nAuburnwinch-Request-Id: ID\r\nAuburnwinch-Not-Executed: 1\r\n"
		failed = "HTTP/1.1 500 Internal Server Error\r\nAuburnwinch-Request-Id: ID\r\nAuburnwinch-Server-Seal: s\r\n"
		drip   = 20 * time.Millisecond
		// maxTime is the objective of the routes; the deadline is three seconds.
		maxTime = time.Second
	)
	block := strings.Repeat("x", 4096)
	f, _ := withCaller(t, 2)
	for _, n := range f.nodes {
		n.target.keepAlive()
	}
	faulty, sound := f.nodes[0].target, f.nodes[1].target
	caller := f.nodes[0] // The target on the same VM is asked first.
	require.Eventually(t, func() bool { return strings.Contains(caller.log.String(), `"nodes":3`) }, 5*time.Second, 10*time.Millisecond)
	// A new agent's share of the extra retries grows over time.
	time.Sleep(200 * time.Millisecond)
	for _, c := range []struct {
		name    string
		behave  func(http.ResponseWriter, *http.Request) bool
		methods []string
	}{
		{"shed, body without length", endless(shed+"Connection: close\r\n\r\n", block, 0), []string{http.MethodGet, http.MethodPost}},
		{"shed, chunks", endless(shed+"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n"+block+"\r\n", 0), []string{http.MethodGet, http.MethodPost}},
		{"shed, dripping chunks", endless(shed+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", drip), []string{http.MethodGet, http.MethodPost}},
		{"shed, long length", endless(shed+"Content-Length: 1000000000\r\n\r\n", block, drip), []string{http.MethodGet, http.MethodPost}},
		{"failure, dripping chunks", endless(failed+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", drip), []string{http.MethodGet}},
	} {
		for _, method := range c.methods {
			path := map[string]string{http.MethodGet: "/read/x", http.MethodPost: "/order/1"}[method]
			faulty.set(c.behave)
			reached := false
			for i := 0; i < 40 && !reached; i++ {
				a := caller.call(method, "kassa", path)
				reached = faulty.ran(a.id) > 0
				require.Equal(t, http.StatusOK, a.status, "%s %s:\n%s", method, c.name, f.logOf(a.id))
				require.Equal(t, 1, sound.ran(a.id), "%s %s", method, c.name)
				require.Less(t, a.took, maxTime, "%s %s:\n%s", method, c.name, f.logOf(a.id))
			}
			require.True(t, reached, "%s %s: no request reached the faulty target", method, c.name)
			faulty.set(nil)
			require.Eventually(t, func() bool { return faulty.ran(caller.call(http.MethodPost, "kassa", "/order/1").id) > 0 },
				20*time.Second, 10*time.Millisecond, "the target must be used again after %s", c.name)
		}
	}
	require.Eventually(t, func() bool { return f.nodes[0].atTarget() == 0 }, 5*time.Second, 20*time.Millisecond, "all slots must be released")
}

// Pattern: a target sends endless bytes in a header or a body on all of its slots at once, for several clients. Guards against a
// node that keeps them all, runs out of memory and takes the requests of other clients with it.
func TestAnswersWithoutEndUseLittleMemory(t *testing.T) {
	const (
		head = "HTTP/1.1 200 OK\r\nAuburnwinch-Request-Id: ID\r\nAuburnwinch-Server-Seal: s\r\n"
		// clients is more than the slots of the target and several times those of the deployments.
		clients = 48
		slots   = 32
		// maxLiveBytes is the memory budget of a node. The test holds two nodes, the targets and the callers.
		maxLiveBytes = 128 << 20
	)
	block := strings.Repeat("x", 4096)
	f := newFleet(t)
	f.configure(1, "kassa", "vitrine")
	faulty, other := f.add("kassa", "a"), f.add("vitrine", "a")
	faulty.target.slots = slots
	faulty.target.heartbeat("ready")
	for _, n := range f.nodes {
		n.target.keepAlive()
	}
	faulty.await("kassa", "/read/x")
	faulty.await("vitrine", "/read/x")
	kinds := []func(http.ResponseWriter, *http.Request) bool{
		endless("", block, 0),
		endless(head, "X-More: "+block+"\r\n", 0),
		endless(head, "a:b\r\n", 0),
		endless(head+"X-More: ", block, 0),
		endless("", "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n", 0),
		endless(head+"Connection: close\r\n\r\n", block, 0),
		endless(head+"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n"+block+"\r\n", 0),
		endless(head+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 0),
		endless(head+"Transfer-Encoding: chunked\r\n\r\nffffffffffff\r\n", block, 0),
		endless(head+"Transfer-Encoding: chunked\r\n\r\n", "0", 0),
		endless(head+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "a:b\r\n", 0),
		endless(head+"Transfer-Encoding: chunked\r\n\r\n0\r\nX-More: ", block, 0),
	}
	var next atomic.Int64
	start := make(chan struct{})
	begin := sync.OnceFunc(func() { close(start) })
	t.Cleanup(begin) // After a failure, the fleet ends only when its requests do.
	faulty.target.set(func(w http.ResponseWriter, r *http.Request) bool {
		<-start
		return kinds[int(next.Add(1))%len(kinds)](w, r)
	})
	before, peak := faulty.target.total(), liveBytes()
	answers := make(chan answer, clients)
	for i := range clients {
		go func() { answers <- discarding(faulty, fmt.Sprintf("endless-%d", i)) }()
	}
	require.Eventually(t, func() bool { return faulty.target.total()-before == slots }, 2*time.Second, 5*time.Millisecond, "all slots must be taken")
	begin()
	for served := 0; served < clients; {
		select {
		case a := <-answers:
			served++
			require.False(t, a.err == nil && a.status < 300, "a success")
		case <-time.After(20 * time.Millisecond):
			a := faulty.call(http.MethodGet, "vitrine", "/read/x")
			require.Equal(t, http.StatusOK, a.status, "another client:\n%s", f.logOf(a.id))
		}
		peak = max(peak, liveBytes())
	}
	require.Less(t, peak, uint64(maxLiveBytes))
	require.NotZero(t, other.target.total())
	require.Eventually(t, func() bool { return faulty.atTarget() == 0 }, 5*time.Second, 10*time.Millisecond, "all slots must be released")
	t.Logf("peak of the live heap: %d bytes", peak)
}

// discarding sends a read of a client that does not keep what it gets.
func discarding(n *testNode, id string) answer {
	r, err := http.NewRequest(http.MethodGet, "http://"+n.listeners.Callers+"/read/x", nil)
	if err != nil {
		return answer{id: id, err: err}
	}
	r.Host = "kassa.example"
	r.Header.Set("Auburnwinch-Request-Id", id)
	r.Header.Set("Auburnwinch-Deadline-Ms", "3000")
	response, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(r)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return answer{id: id, status: response.StatusCode, err: err}
}

// liveBytes returns the size of the live heap.
func liveBytes() uint64 {
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}
