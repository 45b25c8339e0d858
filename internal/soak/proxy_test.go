package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// pathMode is how a proxy treats connections and the bytes on them.
type pathMode int32

const (
	pathOpen pathMode = iota
	pathSlow
	// pathReset resets all existing and new connections.
	pathReset
	// pathBlackhole accepts connections and drops all bytes in both directions.
	pathBlackhole
	// pathOneWay forwards requests and drops responses.
	pathOneWay
	pathModeCount
)

// slowPathDelay is the delay of each read in mode pathSlow.
const slowPathDelay = 150 * time.Millisecond

// proxy forwards TCP connections to an upstream address and injects network faults.
type proxy struct {
	listener net.Listener
	upstream string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// clients are the connections of clients by the local address of the upstream connection.
	clients map[string]net.Conn
}

func newProxy(upstream string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, upstream: upstream, conns: make(map[net.Conn]struct{}), clients: make(map[string]net.Conn)}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(mode pathMode) {
	p.mode.Store(int32(mode))
	if mode != pathReset {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// reset resets the connection of the client whose bytes arrive upstream from the address.
func (p *proxy) reset(from net.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if client, ok := p.clients[from.String()].(*net.TCPConn); ok {
		_ = client.SetLinger(0)
		_ = client.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(pathReset)
}

func (p *proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if pathMode(p.mode.Load()) == pathReset {
			_ = client.(*net.TCPConn).SetLinger(0)
			_ = client.Close()
			continue
		}
		server, err := net.Dial("tcp", p.upstream)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = struct{}{}, struct{}{}
		p.clients[server.LocalAddr().String()] = client
		p.mu.Unlock()
		go p.forward(server, client, false)
		go p.forward(client, server, true)
	}
}

// forward copies bytes until one side closes. A connection that has dropped bytes drops all further ones, whatever the
// mode.
func (p *proxy) forward(to, from net.Conn, isResponse bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		delete(p.clients, to.LocalAddr().String())
		delete(p.clients, from.LocalAddr().String())
		p.mu.Unlock()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		switch mode := pathMode(p.mode.Load()); {
		case mode == pathBlackhole || mode == pathOneWay && isResponse:
			_, _ = io.Copy(io.Discard, from)
			return
		case mode == pathSlow:
			time.Sleep(slowPathDelay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
