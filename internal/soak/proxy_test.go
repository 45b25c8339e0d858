package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// path is what a proxy does with the bytes between two sides.
type path int32

const (
	pathOpen path = iota
	pathSlow
	// pathReset closes all connections and refuses new ones.
	pathReset
	// pathSilent takes bytes and passes none on, in both directions.
	pathSilent
	// pathOneWay passes requests on and swallows the answers.
	pathOneWay
	paths
)

// slowness is the delay of each piece of data on a slow path.
const slowness = 150 * time.Millisecond

// proxy stands on a path and disturbs it.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(mode path) {
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

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(pathReset)
}

func (p *proxy) serve() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if path(p.mode.Load()) == pathReset {
			_ = near.(*net.TCPConn).SetLinger(0)
			_ = near.Close()
			continue
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p.mu.Lock()
		p.conns[near], p.conns[far] = struct{}{}, struct{}{}
		p.mu.Unlock()
		go p.pump(far, near, false)
		go p.pump(near, far, true)
	}
}

// pump passes bytes on until one side ends. A connection that was silenced stays silent for good.
func (p *proxy) pump(to, from net.Conn, answers bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	block := make([]byte, 16<<10)
	for {
		n, err := from.Read(block)
		switch mode := path(p.mode.Load()); {
		case mode == pathSilent || mode == pathOneWay && answers:
			_, _ = io.Copy(io.Discard, from)
			return
		case mode == pathSlow:
			time.Sleep(slowness)
		}
		if n > 0 {
			if _, err := to.Write(block[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
