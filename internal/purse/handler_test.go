package purse

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/timer"
)

// A client waits for permission to send its body, and the handler refuses the request at once. Guards against a server that
// waits for the body before it sends the refusal.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	p := New(Config{Budget: NewBudget(64<<20, 0), Clock: timer.NewReal()})
	defer p.Close()
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	server := &http.Server{Handler: p.Handler(refuse, nil), ReadHeaderTimeout: time.Minute}
	p.Attach(server)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(p.Listener(Relay, socket)) }() // It ends when the server is closed.
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", socket.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n"))
	require.NoError(t, err)
	// Well below discardTimeout, after which the server would give the body up.
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}
