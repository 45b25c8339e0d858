package edge_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// pathBound is the time after which a silent connection between nodes counts as dead in these tests, and pause a much
	// longer pause of a target within its answer.
	pathBound = 300 * time.Millisecond
	pause     = 4 * pathBound
)

// pausing answers in two halves, a pause apart.
func pausing(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "first ")
	_ = http.NewResponseController(w).Flush()
	time.Sleep(pause)
	_, _ = io.WriteString(w, "second")
}

// mutePath dials through a relay that stops to forward the bytes of the peer, without closing anything, once it is muted.
type mutePath struct {
	t     *testing.T
	mu    sync.Mutex
	muted bool
}

func (m *mutePath) dial(ctx context.Context, network, address string) (net.Conn, error) {
	peer, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }()
	near, err := (&net.Dialer{}).DialContext(ctx, network, listener.Addr().String())
	if err != nil {
		return nil, err
	}
	far, err := listener.Accept()
	if err != nil {
		return nil, err
	}
	m.t.Cleanup(func() { _, _ = peer.Close(), far.Close() })
	go func() { _, _ = io.Copy(peer, far) }()
	go m.forward(far, peer)
	return near, nil
}

func (m *mutePath) forward(to io.Writer, from io.Reader) {
	block := make([]byte, 4<<10)
	for {
		n, err := from.Read(block)
		m.mu.Lock()
		muted := m.muted
		m.mu.Unlock()
		if err != nil || muted {
			return
		}
		if _, err := to.Write(block[:n]); err != nil {
			return
		}
	}
}

// Pattern: a target pauses within its answer for longer than a silent path is tolerated. Guards against breaking the
// answer off before the deadline (LOST).
func TestTargetMayPauseWithinItsAnswer(t *testing.T) {
	f := newFleet(t, fleetConfig{
		targets: []http.Handler{http.HandlerFunc(pausing)}, edge: edge.Config{BodyIdleTimeout: pathBound},
		agent: agent.Config{InterimInterval: pathBound / 4},
	})
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		path := "/reads/1"
		if method == http.MethodPost {
			path = "/orders/1"
		}
		got := f.send(method, path, nil)
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status, "%s: %s", method, got.body)
		require.Equal(t, "first second", string(got.body))
		require.Empty(t, got.header.Get(model.HeaderFrames), "the framing is a matter between nodes")
	}
}

// Pattern: the path between two nodes goes silent while a target pauses within its answer. Guards against waiting for the
// deadline, because silence of the path is taken for silence of the target.
func TestSilentPathWithinAnAnswerIsFound(t *testing.T) {
	path := &mutePath{t: t}
	f := newFleet(t, fleetConfig{
		targets: []http.Handler{http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.AfterFunc(pause/4, func() {
				path.mu.Lock()
				defer path.mu.Unlock()
				path.muted = true
			})
			pausing(w, r)
		})},
		edge:  edge.Config{BodyIdleTimeout: pathBound, Dial: path.dial, BufferBytes: 1 << 20},
		agent: agent.Config{InterimInterval: pathBound / 4},
	})
	begin := time.Now()
	got := f.send(http.MethodPost, "/orders/1", nil)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Less(t, time.Since(begin), pause)
}
