package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveOnce accepts one connection and runs serve on it.
func serveOnce(t *testing.T, serve func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		serve(conn, bufio.NewReader(conn))
	}()
	return l.Addr().String()
}

func continueRequest() *Request {
	return &Request{
		Method: http.MethodDelete, URI: "/x", Host: "h", Body: bytes.NewReader(nil), ContentLength: -1,
		ExpectContinue: true, NoTimeoutAfterContinue: true, HeaderTimeout: 200 * time.Millisecond,
	}
}

func roundTripTo(t *testing.T, address string, r *Request, timeout time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := NewPool(PoolConfig{Address: address}).Get(ctx, ConnAny)
	require.NoError(t, err)
	_, err = conn.RoundTrip(ctx, r)
	return err
}

// Guards against reporting a request that ran as not run: once the peer has requested the body, the end of the
// connection leaves the outcome unknown, even if the body was sent long before.
func TestOutcomeIsUnknownAfterContinue(t *testing.T) {
	address := serveOnce(t, func(conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
		time.Sleep(500 * time.Millisecond)
	})
	err := roundTripTo(t, address, continueRequest(), 300*time.Millisecond)
	require.NotErrorIs(t, err, ErrNotAdmitted)
	require.ErrorIs(t, err, ErrBroken)
}

// Guards against an unresponsive path that makes the outcome of a request unknown although its body was never sent.
func TestRequestWithoutContinueDidNotRun(t *testing.T) {
	address := serveOnce(t, func(net.Conn, *bufio.Reader) { time.Sleep(time.Second) })
	start := time.Now()
	require.ErrorIs(t, roundTripTo(t, address, continueRequest(), 5*time.Second), ErrNotAdmitted)
	require.Less(t, time.Since(start), time.Second, "the header timeout applies until the request is admitted")
}

// Guards against taking the response to an earlier request for that to the next one on the connection.
func TestStaleResponseIsDiscarded(t *testing.T) {
	address := serveOnce(t, func(conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Id: other\r\n\r\nbad"+
			"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Id: own\r\n\r\ngood")
		time.Sleep(100 * time.Millisecond)
	})
	ctx := context.Background()
	conn, err := NewPool(PoolConfig{Address: address}).Get(ctx, ConnAny)
	require.NoError(t, err)
	response, err := conn.RoundTrip(ctx, &Request{
		Method: http.MethodGet, URI: "/", Host: "h",
		Accept: func(r *http.Response) bool { return r.Header.Get("X-Id") == "own" },
	})
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "good", string(body))
}
