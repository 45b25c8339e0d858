package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	unframedBytes = 1000
	// longUpload far exceeds the buffers of both sockets, so that the writer of the request waits for its peer.
	longUpload = 16 << 20
)

// unframedPeer accepts one connection, reads the start of the request, answers with the head and a body without a length
// and ends the connection by end.
func unframedPeer(t *testing.T, head string, end func(*net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, conn, 64<<10)
		_, _ = io.WriteString(conn, head+"\r\n\r\n"+strings.Repeat("x", unframedBytes))
		if tcp, ok := conn.(*net.TCPConn); ok {
			end(tcp)
		}
	}()
	return listener.Addr().String()
}

// sendUpload sends a long request and returns the response once the peer has had time to end the connection.
func sendUpload(t *testing.T, address string, length int64) (*Conn, *http.Response) {
	t.Helper()
	conn, err := NewPool(PoolConfig{Address: address}).Get(t.Context(), ConnAny)
	require.NoError(t, err)
	response, err := conn.RoundTrip(t.Context(), &Request{
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, ContentLength: length,
		Body: io.LimitReader(zeros{}, longUpload),
	})
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond) // The writer receives the reset, if there is one.
	return conn, response
}

type zeros struct{}

// Read fills the block.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Pattern: a peer answers a long upload early, without a length, and resets the connection. Guards against taking the
// part that has arrived for the whole body, because the writer of the request has received the only error (MIXED).
func TestResetUnderTheWriterIsNoEnd(t *testing.T) {
	for name, head := range map[string]string{
		"close": "HTTP/1.1 200 OK\r\nConnection: close", "without a header": "HTTP/1.1 200 OK", "HTTP/1.0": "HTTP/1.0 200 OK",
	} {
		for _, length := range []int64{longUpload, -1} {
			t.Run(name, func(t *testing.T) {
				conn, response := sendUpload(t, unframedPeer(t, head, func(c *net.TCPConn) {
					time.Sleep(20 * time.Millisecond) // The head arrives before the reset.
					_ = c.SetLinger(0)
					_ = c.Close()
				}), length)
				defer conn.Close()
				body, err := io.ReadAll(response.Body)
				require.Error(t, err, "%d bytes of a body that was reset were taken for the whole", len(body))
			})
		}
	}
}

// Pattern: a peer answers a long upload early, without a length, and ends its side in order, but never reads the rest.
// Guards against holding such an answer back or taking it for broken.
func TestOrderlyEndBeforeTheWholeUpload(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	conn, response := sendUpload(t, unframedPeer(t, "HTTP/1.1 200 OK", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		<-release
		_ = c.Close()
	}), longUpload)
	defer conn.Close()
	begin := time.Now()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Len(t, body, unframedBytes)
	require.Less(t, time.Since(begin), time.Second)
}

// Pattern: the last block of a request is read together with its end, and the write of that block fails. Guards against
// taking the failed write for an upload that its sender broke off, which says nothing about the peer.
func TestFailedLastWriteIsNotTheSender(t *testing.T) {
	body := &errorReader{reader: strings.NewReader("x")}
	_, _ = io.ReadAll(body)
	require.NotErrorIs(t, body.classify(net.ErrClosed), ErrBody)
	require.ErrorIs(t, body.classify(io.EOF), ErrBody)
}
