package purse

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// fieldBytes is the memory of one header field in a map, in bytes, besides its text.
	fieldBytes = 256
	// maxAhead is the number of requests that a client may send without waiting for the answers before its connection is
	// closed after an answer.
	maxAhead = 100
	// maxRawMessage is the length of a message on a raw connection, in bytes.
	maxRawMessage = 64 << 10
)

var (
	errClosed   = eris.New("the node has closed the connection to make room; try again later")
	errNoSocket = eris.New("no descriptor is left for a connection to another node or the target; raise the limit of descriptors")
	errTooLong  = eris.New("the message of the other node is too long; check what connects to the listener")
)

// connKey is the context key of the connection.
type connKey struct{}

// listener accepts connections as long as there is room.
type listener struct {
	net.Listener
	purse *Purse
	name  string
	raw   bool
}

// Conn is an accepted connection, which one goroutine reads and one writes.
type Conn struct {
	*net.TCPConn
	purse    *Purse
	id       uint64
	listener string
	peer     string
	raw      bool
	phase    atomic.Int32
	// message is the length of what a raw connection has received since the last answer.
	message atomic.Int64
	// received tells that bytes have arrived since the last request began; ahead counts the requests without.
	received atomic.Bool
	ahead    atomic.Int32
	wasCut   atomic.Bool
	// discarding means that the server reads the rest of a body that no handler wants.
	discarding atomic.Bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		tcp, ok := conn.(*net.TCPConn)
		if err != nil || !ok {
			return conn, err
		}
		peer, _, _ := net.SplitHostPort(tcp.RemoteAddr().String()) // The address of a TCP connection has a port.
		c := &Conn{TCPConn: tcp, purse: l.purse, id: l.purse.nextID(), listener: l.name, peer: peer, raw: l.raw}
		if !c.raw {
			c.phase.Store(int32(PhaseHead))
		}
		if c.open() {
			return c, nil
		}
		_ = tcp.Close() // Nothing was read from it.
	}
}

func (c *Conn) open() bool {
	p := c.purse
	p.mu.Lock()
	p.conns[c.id] = c
	p.mu.Unlock()
	if !p.update(OpenedMsg{ID: c.id, Listener: c.listener, Peer: c.peer, Now: p.now()}) {
		return true
	}
	p.mu.Lock()
	delete(p.conns, c.id)
	p.mu.Unlock()
	return false
}

// Read reads from the client and accounts for heads.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		if errors.Is(err, os.ErrDeadlineExceeded) && c.discarding.Load() {
			c.report(ReasonUnreadBody)
		}
		return n, err
	}
	c.received.Store(true)
	if c.raw {
		if c.message.Add(int64(n)) > maxRawMessage {
			c.report(ReasonLongMessage)
			return 0, errTooLong
		}
		c.purse.update(PhaseMsg{ID: c.id, Phase: PhaseIdle, Now: c.purse.now()}, HeldMsg{ID: c.id, Bytes: int64(n), Now: c.purse.now()})
		return n, err
	}
	if phase := Phase(c.phase.Load()); phase == PhaseIdle || phase == PhaseHead {
		c.phase.Store(int32(PhaseHead))
		cost := int64(2*n + fieldBytes*bytes.Count(p[:n], []byte{'\n'}))
		now := c.purse.now()
		c.purse.update(PhaseMsg{ID: c.id, Phase: PhaseHead, Bytes: n, Now: now}, HeldMsg{ID: c.id, Bytes: cost, Now: now})
		if c.wasCut.Load() {
			return 0, errClosed
		}
	}
	return n, err
}

// Write writes to the client.
func (c *Conn) Write(p []byte) (int, error) {
	now := c.purse.now()
	if c.raw {
		c.message.Store(0)
		c.purse.update(PhaseMsg{ID: c.id, Phase: PhaseWrite, Now: now}, ReleasedMsg{ID: c.id})
	} else {
		c.purse.update(PhaseMsg{ID: c.id, Phase: PhaseWrite, Now: now})
	}
	n, err := c.TCPConn.Write(p)
	c.purse.update(PhaseMsg{ID: c.id, Phase: Phase(c.phase.Load()), Bytes: n, Now: c.purse.now()})
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.purse.mu.Lock()
	delete(c.purse.conns, c.id)
	c.purse.mu.Unlock()
	c.purse.update(ClosedMsg{ID: c.id})
	return c.TCPConn.Close()
}

// begin reports that the server has read a head.
func (c *Conn) begin() {
	switch {
	case !c.received.Swap(false):
		c.ahead.Add(1)
	case c.ahead.Load() > 0:
		c.ahead.Add(-1)
	}
	c.discarding.Store(false)
	c.phase.Store(int32(PhaseWork))
	c.purse.update(PhaseMsg{ID: c.id, Phase: PhaseWork, Now: c.purse.now()})
}

// report reports that the connection is closed for a reason that the module does not know.
func (c *Conn) report(r Reason) {
	if observe := c.purse.config.Observe; observe != nil {
		observe(CloseCmd{ID: c.id, Listener: c.listener, Peer: c.peer, Reason: r})
	}
}

// cut closes the connection at the command of the module. A client in the middle of a message gets a reset, which frees
// what the kernel holds and can't be mistaken for the end of an answer.
func (c *Conn) cut() {
	c.wasCut.Store(true)
	if Phase(c.phase.Load()) != PhaseIdle {
		_ = c.SetLinger(0) // It fails if the client has closed the connection.
	}
	_ = c.TCPConn.Close() // The server closes it again.
}
