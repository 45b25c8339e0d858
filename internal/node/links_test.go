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

// Ports of the hops, as procs plans them.
const (
	hopPeer   = 7401
	hopRelay  = 7402
	hopTarget = 9000
)

// links are the network between the nodes of one process. Bytes of a direction that is cut are lost, and a connection
// that lost bytes stays silent in that direction, also after the cut has ended.
type links struct {
	mu    sync.Mutex
	cuts  map[[2]int]bool
	conns []*linkConn
	// lose holds the number of answers that are still to be lost on a hop.
	lose map[int]*atomic.Int64
}

// linkConn is a connection from one node to another.
type linkConn struct {
	net.Conn
	links    *links
	from, to int
	port     int
	sent     atomic.Bool
	// lostOut and lostIn tell that bytes of the direction were lost.
	lostOut, lostIn atomic.Bool
}

func newLinks() *links {
	return &links{
		cuts: make(map[[2]int]bool), lose: map[int]*atomic.Int64{hopPeer: {}, hopRelay: {}, hopTarget: {}},
	}
}

// config connects one node, counted from 1, to the links.
func (l *links) config(c node.Config, from int) node.Config {
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
		linked := &linkConn{Conn: conn, links: l, from: from, to: to, port: port}
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

// cut loses or, when up, carries what one node sends to the other.
func (l *links) cut(from, to int, up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[[2]int{from, to}] = !up
}

// silence makes all open connections between nodes silent for good; new ones work. Connections to targets stay within
// a VM, so that a silent one is a stalled target.
func (l *links) silence() (silenced int) {
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

func (l *links) isCut(from, to int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts[[2]int{from, to}]
}

// losesAnswer takes one of the answers that are to be lost on the hop.
func (l *links) losesAnswer(port int) bool {
	n := l.lose[port]
	if n == nil {
		return false
	}
	for left := n.Load(); left > 0; left = n.Load() {
		if n.CompareAndSwap(left, left-1) {
			return true
		}
	}
	return false
}

// Write loses the bytes of a direction that is cut; the sender does not notice.
func (c *linkConn) Write(p []byte) (int, error) {
	if c.lostOut.Load() || c.links.isCut(c.from, c.to) {
		c.lostOut.Store(true)
		return len(p), nil
	}
	c.sent.Store(true)
	return c.Conn.Write(p)
}

// Read delivers nothing of a direction that is cut, and breaks the connection in place of an answer that is to be lost.
func (c *linkConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 && c.sent.Load() && c.links.losesAnswer(c.port) {
			_ = c.Close() // The answer is lost with the connection.
			return 0, syscall.ECONNRESET
		}
		if err == nil && (c.lostIn.Load() || c.links.isCut(c.to, c.from)) {
			c.lostIn.Store(true)
			continue
		}
		return n, err
	}
}

// hostOf reads the number of the node and the kind of the hop from 127.<network>.<node>.1:<port>.
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
