package node_test

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/auburnwinch/auburnwinch/internal/node"
)

// Ports of the hops, as assigned by procs.
const (
	hopPeer   = 7401
	hopRelay  = 7402
	hopTarget = 9000
)

// network simulates the network between the nodes of one process. Bytes in a direction that is cut are lost, and a
// connection that lost bytes stays silent in that direction even after the cut has ended.
type network struct {
	mu    sync.Mutex
	cut   map[[2]int]bool
	conns []*networkConn
	// dropResponses is the number of responses still to be dropped on each hop.
	dropResponses map[int]*atomic.Int64
}

// networkConn is a connection from one node to another.
type networkConn struct {
	net.Conn
	network  *network
	from, to int
	port     int
	sent     atomic.Bool
	// lostOut and lostIn are set once bytes of the direction were lost.
	lostOut, lostIn atomic.Bool
}

func newNetwork() *network {
	return &network{
		cut: make(map[[2]int]bool), dropResponses: map[int]*atomic.Int64{hopPeer: {}, hopRelay: {}, hopTarget: {}},
	}
}

// config connects one node to the network; nodes are numbered from 1.
func (l *network) config(c node.Config, from int) node.Config {
	c.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		to, port := hostOf(address)
		if l.isCut(from, to) || l.isCut(to, from) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		linked := &networkConn{Conn: conn, network: l, from: from, to: to, port: port}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conns = append(l.conns, linked)
		return linked, nil
	}
	c.DropDatagram = func(address string) bool {
		to, _ := hostOf(address)
		return l.isCut(from, to)
	}
	return c
}

// setLink enables or cuts the direction from one node to the other.
func (l *network) setLink(from, to int, up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[[2]int{from, to}] = !up
}

// silenceConns permanently silences all open connections between nodes; new ones work. Connections to targets are left
// alone: they stay within a VM, so that a silent one would be a stalled target.
func (l *network) silenceConns() (silenced int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c.port != hopTarget {
			c.lostOut.Store(true)
			c.lostIn.Store(true)
			silenced++
		}
	}
	l.conns = nil
	return silenced
}

func (l *network) isCut(from, to int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[[2]int{from, to}]
}

// takeDroppedResponse reports whether to drop a response on the hop, and counts it.
func (l *network) takeDroppedResponse(port int) bool {
	n := l.dropResponses[port]
	if n == nil {
		return false
	}
	for remaining := n.Load(); remaining > 0; remaining = n.Load() {
		if n.CompareAndSwap(remaining, remaining-1) {
			return true
		}
	}
	return false
}

// Write discards the bytes of a direction that is cut; the sender does not notice.
func (c *networkConn) Write(p []byte) (int, error) {
	if c.lostOut.Load() || c.network.isCut(c.from, c.to) {
		c.lostOut.Store(true)
		return len(p), nil
	}
	c.sent.Store(true)
	return c.Conn.Write(p)
}

// Read delivers nothing from a direction that is cut, and breaks the connection in place of a response that is to be
// dropped.
func (c *networkConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 && c.sent.Load() && c.network.takeDroppedResponse(c.port) {
			_ = c.Close() // The response is lost with the connection.
			return 0, syscall.ECONNRESET
		}
		if err == nil && (c.lostIn.Load() || c.network.isCut(c.to, c.from)) {
			c.lostIn.Store(true)
			continue
		}
		return n, err
	}
}

// hostOf parses the number of the node and the hop from 127.<network>.<node>.1:<port>.
func hostOf(address string) (host, port int) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		panic("address " + strconv.Quote(address))
	}
	port = int(parsed.Port())
	if port >= hopTarget {
		port = hopTarget
	}
	return int(parsed.Addr().As4()[2]), port
}
