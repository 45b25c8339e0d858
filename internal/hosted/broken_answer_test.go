package hosted_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// raw makes a target write the answer itself and close the connection; ID stands for the id of the request.
func raw(answer string) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return false
		}
		defer func() { _ = conn.Close() }()
		writeAnswer(conn, r, answer)
		return true
	}
}

// writeAnswer writes the parts of the answer, which are separated by PAUSE, 50 ms apart.
func writeAnswer(conn net.Conn, r *http.Request, answer string) {
	for i, part := range strings.Split(strings.ReplaceAll(answer, "ID", r.Header.Get("Auburnwinch-Request-Id")), "PAUSE") {
		if i > 0 {
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = conn.Write([]byte(part)) // The node may have closed the connection already.
	}
}

// Guards against a success with an empty or short body for an answer that broke off within its head (MIXED, ORDER).
func TestHeadThatBreaksOffIsNoSuccess(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "kassa")
	n := f.add("kassa", "a")
	n.target.keepAlive()
	n.await("kassa", "/read/x")
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nAuburnwinch-Request-Id: ID\r\nAuburnwinch-Server-Seal: s\r\nContent-Length: 120\r\n\r\n",
		"chunked": "HTTP/1.1 200 OK\r\nAuburnwinch-Request-Id: ID\r\nTransfer-Encoding: chunked\r\nAuburnwinch-Server-Seal: s\r\n\r\n",
		"close":   "HTTP/1.1 200 OK\r\nAuburnwinch-Request-Id: ID\r\nAuburnwinch-Server-Seal: s\r\nConnection: close\r\n\r\n",
	} {
		cuts := []int{len(head) - 1, len(head) - 2, len(head) - 3} // Within the empty line that ends the head.
		for i := range head {
			if i%7 == 0 || head[i] == '\n' || head[i] == '\r' {
				cuts = append(cuts, i, i+1)
			}
		}
		for i, cut := range cuts {
			if cut >= len(head) {
				continue
			}
			part := head[:cut]
			if strings.HasSuffix(part, "I") {
				part = part[:cut-1] // Half of the placeholder.
			}
			n.target.set(raw(part))
			method, path := http.MethodGet, "/read/x"
			if i%2 == 1 {
				method, path = http.MethodPost, "/order/1"
			}
			a := n.call(method, "kassa", path)
			require.GreaterOrEqual(t, a.status, 500, "%s, cut after %q: %q\n%s", name, part, a.body, f.logOf(a.id))
		}
	}
}

// A faulty target repeats an earlier refusal on a connection that it keeps, before the answer to the next request. Guards
// against telling a caller that an order has not run although it has, and against running it at another target (REFUSED,
// TWICE).
func TestRepeatedRefusalIsNotTheAnswer(t *testing.T) {
	const (
		whole = "HTTP/1.1 200 OK\r\nAuburnwinch-Request-Id: ID\r\nAuburnwinch-Server-Seal: s\r\nContent-Length: 4\r\n" +
			"Connection: close\r\n\r\ndone"
		refusal = "HTTP/1.1 %d Refused\r\n%sAuburnwinch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	)
	f, caller := withCaller(t, 2)
	var runs atomic.Int64
	send := func(response string) answer {
		runs.Store(0)
		for _, n := range f.nodes[:2] {
			behave := raw(response)
			n.target.set(func(w http.ResponseWriter, r *http.Request) bool {
				runs.Add(1)
				return behave(w, r)
			})
		}
		a := caller.call(http.MethodPost, "kassa", "/order/1")
		require.EqualValues(t, 1, runs.Load(), f.logOf(a.id))
		return a
	}
	for _, status := range []int{503, 429, 421, 408, 400} {
		for name, id := range map[string]string{"earlier id": "Auburnwinch-Request-Id: earlier\r\n", "no id": "", "empty id": "Auburnwinch-Request-Id: \r\n"} {
			for _, pause := range []string{"", "PAUSE"} {
				a := send(fmt.Sprintf(refusal, status, id) + pause + whole)
				require.Equal(t, http.StatusOK, a.status, "%d, %s %s\n%s", status, name, pause, f.logOf(a.id))
				require.Equal(t, "done", a.body)
			}
		}
	}
	a := send(fmt.Sprintf(refusal, 503, ""))
	require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, a.status, "nothing follows\n%s", f.logOf(a.id))
}
