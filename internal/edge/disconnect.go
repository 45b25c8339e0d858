package edge

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"
)

const (
	// disconnectCheckInterval is the interval of the checks whether a caller whose body has not been read disconnected.
	disconnectCheckInterval = 100 * time.Millisecond
	// tcpEstablished is TCP_ESTABLISHED of the Linux kernel: neither side has closed the connection.
	tcpEstablished = 1
)

// connKey is the context key of the caller's connection.
type connKey struct{}

// withConn adds the caller's connection to the context of its requests.
func withConn(s *http.Server) *http.Server {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	return s
}

// watchDisconnect cancels the request when the caller closes the connection; the returned function stops the watch. It
// is needed because net/http detects a closed connection only after it has read the complete body.
func (q *request) watchDisconnect(cancel func()) (stop func()) {
	conn, ok := q.r.Context().Value(connKey{}).(syscall.Conn)
	if !ok || q.body.buffered {
		return func() {}
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return func() {} // The connection is closed; the next read or write fails.
	}
	ended := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() {
		checks := q.edge.config.Clock.Subscribe(disconnectCheckInterval)
		defer checks.Stop()
		for {
			select {
			case <-ended:
				return
			case <-checks.C:
				if closedByPeer(raw) {
					cancel()
					return
				}
			}
		}
	})
	return func() {
		close(ended)
		group.Wait()
	}
}

// closedByPeer reports whether the peer has closed the connection; received bytes may still be unread.
func closedByPeer(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State != tcpEstablished
	})
	return closed || err != nil
}
