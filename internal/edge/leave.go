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
	// leaveCheck is the time between two looks at the connection of a caller whose body has not been read.
	leaveCheck = 100 * time.Millisecond
	// established is the state of a TCP connection that neither side has closed, as in the kernel's TCP_ESTABLISHED.
	established = 1
)

// connKey is the key of the caller's connection in the context of its requests.
type connKey struct{}

// withConn makes the connections of callers known to their requests.
func withConn(s *http.Server) *http.Server {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	return s
}

// watchLeave cancels the request when the caller closes the connection; the returned function ends the watch. While a part of
// the body is unread, net/http does not see the end of the connection behind it.
func (q *request) watchLeave(cancel func()) (stop func()) {
	conn, ok := q.r.Context().Value(connKey{}).(syscall.Conn)
	if !ok || q.body.whole {
		return func() {}
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return func() {} // The connection is closed, which the next read or write tells.
	}
	ended := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() {
		checks := q.edge.config.Clock.Subscribe(leaveCheck)
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

// closedByPeer reports whether the other side has closed the connection; bytes from before may still be unread.
func closedByPeer(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State != established
	})
	return closed || err != nil
}
