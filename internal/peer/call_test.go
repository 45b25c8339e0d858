package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/stretchr/testify/require"
)

// proxy forwards TCP connections to a node and can turn into a blackhole: bytes are accepted and dropped, as behind a
// dead router.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	dropping bool
}

func startProxy(t *testing.T, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &proxy{listener: listener, target: target}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.forward(conn)
		}
	}()
	return r
}

func (r *proxy) node() model.Node { return model.Node{PeerAddress: r.listener.Addr().String()} }

// blackhole drops the bytes of all connections that are open now; later connections work.
func (r *proxy) blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropping = true
}

func (r *proxy) forward(conn net.Conn) {
	other, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.dropping = false
	r.mu.Unlock()
	lost := false
	var mu sync.Mutex
	pipe := func(to io.Writer, from io.Reader) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			r.mu.Lock()
			mu.Lock()
			lost = lost || r.dropping
			drop := lost
			mu.Unlock()
			r.mu.Unlock()
			if !drop {
				_, _ = to.Write(buffer[:n])
			}
		}
	}
	go pipe(other, conn)
	pipe(conn, other)
}

func double(p *Peer, node model.Node, n int) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var reply int
	err := p.Call(ctx, node, "Double.Double", n, &reply)
	return reply, err
}

// Guards against concurrent calls that mix up responses or open a connection each.
func TestConcurrentCallsShareConnection(t *testing.T) {
	a, b := startPeer(t, "a"), startPeer(t, "b")
	var group sync.WaitGroup
	for n := range 200 {
		group.Go(func() {
			reply, err := double(a, b.Self(), n)
			if err != nil || reply != 2*n {
				t.Errorf("double of %d: %d, %v", n, reply, err)
			}
		})
	}
	group.Wait()
	require.Equal(t, uint64(1), a.Stats().ConnectionsOpened)
}

// Guards against handler errors and unknown methods that close the connection or count as a lost connection.
func TestHandlerErrorKeepsConnection(t *testing.T) {
	a, b := startPeer(t, "a"), startPeer(t, "b")
	var reply int
	err := a.Call(context.Background(), b.Self(), "Double.Fail", 1, &reply)
	require.ErrorContains(t, err, "refused by the handler")
	require.NotErrorIs(t, err, ErrConnectionLost)
	require.ErrorContains(t, a.Call(context.Background(), b.Self(), "Double.None", 1, &reply), "can't find method")
	_, err = double(a, b.Self(), 1)
	require.NoError(t, err)
	require.Equal(t, uint64(1), a.Stats().ConnectionsOpened)
}

// Guards against a call that hangs on a connection that stops responding, or that is retried automatically.
func TestConnectionLostDuringCall(t *testing.T) {
	a, b := startPeer(t, "a"), startPeer(t, "b")
	r := startProxy(t, b.Self().PeerAddress)
	_, err := double(a, r.node(), 1)
	require.NoError(t, err)
	r.blackhole()
	start := time.Now()
	_, err = double(a, r.node(), 2)
	require.ErrorIs(t, err, ErrConnectionLost)
	require.Less(t, time.Since(start), 5*time.Second)
	_, err = double(a, r.node(), 3)
	require.NoError(t, err, "no new connection is used")
}

// Guards against a call that is sent on an idle connection that no longer responds, which leaves its outcome unknown.
func TestUnresponsiveIdleConnectionIsReplaced(t *testing.T) {
	a, b := startPeer(t, "a"), startPeer(t, "b")
	r := startProxy(t, b.Self().PeerAddress)
	_, err := double(a, r.node(), 1)
	require.NoError(t, err)
	r.blackhole()
	time.Sleep(echoFreeTime + 100*time.Millisecond)
	reply, err := double(a, r.node(), 2)
	require.NoError(t, err)
	require.Equal(t, 4, reply)
	require.Equal(t, uint64(1), a.Stats().ConnectionsSilent)
}

// Guards against a slow handler that is mistaken for an unresponsive connection.
func TestSlowHandlerKeepsConnection(t *testing.T) {
	a, b := startPeer(t, "a"), startPeer(t, "b")
	var reply int
	require.NoError(t, a.Call(context.Background(), b.Self(), "Double.Slow", 3500*time.Millisecond, &reply))
	require.Equal(t, 1, reply)
}

// Guards against a late response that is written to the reply of a caller that has returned, and against calls that
// exceed their deadline.
func TestDeadline(t *testing.T) {
	a, b := startPeer(t, "a"), startPeer(t, "b")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	var reply int
	require.ErrorIs(t, a.Call(ctx, b.Self(), "Double.Slow", 300*time.Millisecond, &reply), context.DeadlineExceeded)
	time.Sleep(500 * time.Millisecond)
	require.Zero(t, reply)
	_, err := double(a, b.Self(), 1)
	require.NoError(t, err)
}

// Guards against errors that leave the outcome of a call open although it was certainly not sent.
func TestUnsentCallsReturnErrUnsent(t *testing.T) {
	a, b := startPeer(t, "a"), startPeer(t, "b")
	gone := b.Self()
	_, err := double(a, gone, 1)
	require.NoError(t, err)
	b.closing.Do(b.stop)
	eventually(t, "closed connection noticed", func() bool { return a.State().Connections == 0 })
	_, err = double(a, gone, 1)
	require.ErrorIs(t, err, ErrUnsent)
	_, err = double(a, model.Node{}, 1)
	require.ErrorIs(t, err, ErrUnsent)
	var reply int
	require.ErrorIs(t, a.Call(context.Background(), a.Self(), "Double.Double", make([]byte, MaxFrame+1), &reply), ErrOversized)
	a.closing.Do(a.stop)
	_, err = double(a, gone, 1)
	require.ErrorIs(t, err, ErrClosed)
}
