package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 400
	// legalFields is the number of one-letter fields in a head of 16 KiB.
	legalFields = 3200
	// holdTime is how long a crowd stays after it has sent what it sends.
	holdTime = 3 * time.Second
)

// crowd is one kind of client that doesn't behave; send writes what each of them sends and returns while the connection
// is open.
type crowd struct {
	name string
	port int
	send func(c net.Conn)
}

// Guards against clients that end or block a node: each row names what they send.
func TestCrowds(t *testing.T) {
	program := build(t)
	for _, c := range []crowd{
		{"bodies that stop short", portCallers, stopShort("/idempotent/", "shop.example")},
		{"orders that stop short", portCallers, stopShort("/non_idempotent/", "shop.example")},
		{"bodies without a route that stop short", portCallers, stopShort("/nowhere/", "other.example")},
		{"bodies in single bytes", portCallers, singleBytes},
		{"bodies in small chunks", portCallers, smallChunks},
		{"bodies over the limit", portCallers, overLimit},
		{"heads of many fields", portCallers, write(post("/idempotent/", "shop.example", fields(legalFields)+"Content-Length: 9\r\n") + "12345678")},
		{"heads of many fields without a route", portCallers, write(post("/nowhere/", "other.example", fields(legalFields)+"Content-Length: 9\r\n") + "12345678")},
		{"half a head", portCallers, write("POST /idempotent/x HTTP/1.1\r\nHost: shop.example\r\n" + fields(legalFields))},
		{"requests sent ahead", portCallers, write(strings.Repeat(get("/idempotent/"), 1000))},
		{"requests without a route sent ahead", portCallers, write(strings.Repeat(get("/nowhere/"), 1000))},
		{"readers that stop", portCallers, write(get("/download/"))},
		{"readers of single bytes", portCallers, slowReader},
		{"heads at the ready path", portReady, write("GET /api/readiness HTTP/1.1\r\nHost: x\r\n" + fields(legalFields))},
		{"bodies at the ready path", portReady, stopShort("/api/readiness", "x")},
		{"heads of heartbeats", portLocal, write("POST /api/instances/i-2/heartbeat HTTP/1.1\r\nHost: x\r\n" + fields(legalFields))},
		{"bodies of heartbeats", portLocal, stopShort("/api/instances/i-2/heartbeat", "x")},
		{"relayed heads", portRelay, write("POST /idempotent/x HTTP/1.1\r\nHost: shop.example\r\n" + fields(legalFields))},
		{"relayed bodies", portRelay, stopShort("/idempotent/", "shop.example")},
		{"heads at the metrics", portMetrics, write("GET /metrics HTTP/1.1\r\nHost: x\r\n" + fields(legalFields))},
		{"messages of peers without end", portPeer, write("\xfc\x30\x00\x00\x00" + strings.Repeat("x", 1<<20))},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t, program)
			sockets := c.visit(t, n)
			n.requireAnswer()
			n.requireAlive(max(sockets, n.sockets()))
		})
	}
}

// visit opens all connections, lets each send, and keeps them open for the rest of the test; it returns the largest
// number of sockets of the node.
func (c crowd) visit(t *testing.T, n *node) (sockets int) {
	var group sync.WaitGroup
	for range crowdSize {
		conn, err := net.DialTimeout("tcp", nodeHost(c.port), 10*time.Second)
		if err != nil {
			continue // Closed at once or not accepted.
		}
		require.NoError(t, conn.SetWriteDeadline(time.Now().Add(10*time.Second)))
		t.Cleanup(func() { _ = conn.Close() })
		group.Go(func() { c.send(conn) })
	}
	sent := make(chan struct{})
	go func() {
		group.Wait()
		time.Sleep(holdTime)
		close(sent)
	}()
	for {
		sockets = max(sockets, n.sockets())
		select {
		case <-sent:
			return sockets
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Guards against bounds that a single request inside the limits meets in calm.
func TestSingleLargeRequests(t *testing.T) {
	n := startNode(t, build(t))
	const chunk = 64 << 10
	for name, request := range map[string][]string{
		"4,000 fields":      {get("/non_idempotent/")[:len(get("/non_idempotent/"))-2] + strings.Repeat("a:\r\n", 4000) + "\r\n"},
		"body of a length":  {post("/idempotent/", "shop.example", fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes)), strings.Repeat("x", chunk)},
		"order of a length": {post("/non_idempotent/", "shop.example", fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes)), strings.Repeat("x", chunk)},
		"order in chunks":   {post("/non_idempotent/", "shop.example", "Transfer-Encoding: chunked\r\n"), fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk)), "0\r\n\r\n"},
		"body in chunks":    {post("/idempotent/", "shop.example", "Transfer-Encoding: chunked\r\n"), fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk)), "0\r\n\r\n"},
		"many different":    {post("/idempotent/", "shop.example", fields(legalFields)+"Content-Length: 0\r\n")},
	} {
		conn, err := net.DialTimeout("tcp", nodeHost(portCallers), 10*time.Second)
		require.NoError(t, err)
		write(request[0])(conn)
		if len(request) > 1 {
			for range maxBodyBytes / chunk {
				write(request[1])(conn)
			}
			write(strings.Join(request[2:], ""))(conn)
		}
		answer, err := bufio.NewReader(conn).ReadString('\n')
		require.NoError(t, err, name)
		require.Equal(t, "HTTP/1.1 200 OK\r\n", answer, name)
		require.NoError(t, conn.Close())
	}
	n.requireAlive(n.sockets())
}

func head(method, path, host, fields string) string {
	return fmt.Sprintf("%s %sx HTTP/1.1\r\nHost: %s\r\nAuburnwinch-Request-Id: c1\r\nAuburnwinch-Deadline-Ms: 10000\r\n%s\r\n", method, path, host, fields)
}

func post(path, host, fields string) string { return head("POST", path, host, fields) }

func get(path string) string { return head("GET", path, "shop.example", "") }

// fields returns distinct short header fields.
func fields(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(string([]byte{'a' + byte(i%26), 'a' + byte(i/26%26), 'a' + byte(i/676)}) + ":\r\n")
	}
	return b.String()[:min(b.Len(), 16<<10)]
}

func write(text string) func(net.Conn) {
	return func(c net.Conn) { _, _ = io.WriteString(c, text) } // The node may close the connection.
}

// stopShort sends all of a body but its last byte.
func stopShort(path, host string) func(net.Conn) {
	const length = 256 << 10
	return write(post(path, host, fmt.Sprintf("Content-Length: %d\r\n", length)) + strings.Repeat("x", length-1))
}

func singleBytes(c net.Conn) {
	write(post("/idempotent/", "shop.example", "Content-Length: 2000\r\n"))(c)
	for range 1999 {
		write("x")(c)
	}
}

func smallChunks(c net.Conn) {
	write(post("/idempotent/", "shop.example", "Transfer-Encoding: chunked\r\n"))(c)
	write(strings.Repeat("1\r\nx\r\n", 64<<10))(c)
}

func overLimit(c net.Conn) {
	write(post("/idempotent/", "shop.example", "Content-Length: 1000000000000\r\n"))(c)
	for range 16 {
		write(strings.Repeat("x", 64<<10))(c)
	}
}

// slowReader reads an answer one byte at a time.
func slowReader(c net.Conn) {
	write(get("/download/"))(c)
	go readSlowly(c)
}

func readSlowly(c net.Conn) {
	for one := make([]byte, 1); ; time.Sleep(100 * time.Millisecond) {
		if _, err := c.Read(one); err != nil {
			return // The node or the test has closed the connection.
		}
	}
}
