package hosted_test

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"runtime"
	"strings"
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
