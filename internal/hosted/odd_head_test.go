package hosted_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Pattern: a target in trouble sends a head, an interim head or a trailer that no target may send. Guards against passing
// it on, and against believing a refusal that states that an order has not run (MIXED, REFUSED, TWICE).
func TestOddHeadsProveNothing(t *testing.T) {
	t.Parallel() // It waits most of the time.
	const (
		id     = "Auburnwinch-Request-Id: ID\r\n"
		fields = id + "Auburnwinch-Server-Seal: s\r\n"
		good   = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\ndone"
		odd    = "Odd Name: x\r\n"
	)
	cases := map[string]string{
		"blank in a name":         "HTTP/1.1 200 OK\r\n" + fields + odd + "Content-Length: 4\r\n\r\ndone",
		"blank before the colon":  "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 4\r\n\r\ndone",
		"blank before the coding": "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"interim with odd name":   "HTTP/1.1 103 Early Hints\r\n" + odd + "\r\n" + good,
		"interim with odd colon":  "HTTP/1.1 103 Early Hints\r\nContent-Length : 4\r\n\r\n" + good,
		"trailer with odd name":   "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n" + odd + "\r\n",
		"trailer with odd colon":  "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX : y\r\n\r\n",
		"status 600":              "HTTP/1.1 600 OK\r\n" + fields + "Content-Length: 4\r\n\r\ndone",
		"refusal 503":             "HTTP/1.1 503 Busy\r\n" + id + odd + "Auburnwinch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"refusal 429":             "HTTP/1.1 429 Busy\r\n" + id + odd + "Auburnwinch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"refusal 421":             "HTTP/1.1 421 Other\r\n" + id + odd + "Content-Length: 0\r\n\r\n",
		"refusal 408":             "HTTP/1.1 408 Late\r\n" + id + odd + "Auburnwinch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"refusal in odd version":  "HTTP/3.1 503 Busy\r\n" + id + "Auburnwinch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()                  // Each case waits for nodes that start and stop.
			f, caller := withCaller(t, 2) // New targets are not considered unhealthy yet.
			for _, n := range f.nodes[:2] {
				n.target.set(raw(answer))
			}
			order := caller.call(http.MethodPost, "kassa", "/order/1")
			require.Equal(t, 1, f.nodes[0].target.ran(order.id)+f.nodes[1].target.ran(order.id), f.logOf(order.id))
			if order.err == nil {
				require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, order.status, "%q\n%s", order.body, f.logOf(order.id))
			}
			read := caller.call(http.MethodGet, "kassa", "/read/x")
			require.False(t, read.err == nil && (read.status < 500 || read.status > 599), "%d %q\n%s", read.status, read.body, f.logOf(read.id))
		})
	}
	f, caller := withCaller(t, 2)
	f.nodes[0].target.set(raw(cases["blank in a name"]))
	require.Eventually(t, func() bool {
		a := caller.call(http.MethodGet, "kassa", "/read/x")
		require.Equal(t, http.StatusOK, a.status, "an idempotent request goes to the other target\n%s", f.logOf(a.id))
		require.NotEqual(t, "done", a.body)
		return f.nodes[0].target.ran(a.id) > 0
	}, 20*time.Second, 20*time.Millisecond)
}
