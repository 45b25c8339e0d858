package purse

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/timer"
)

// tickInterval is the interval of the search for connections that have waited too long.
const tickInterval = time.Second

// Config configures a Purse; Observe is called for each connection closed and each request refused, without a lock held.
type Config struct {
	Budget  Budget
	Clock   timer.Service
	Observe func(Cmd)
}

// Purse applies the decisions of the Module to connections; a nil Purse bounds nothing.
type Purse struct {
	config Config
	stop   chan struct{}
	group  conc.WaitGroup

	mu     sync.Mutex
	module *Module
	conns  map[uint64]*Conn
	lastID uint64
}

// New starts a purse, or returns nil if the budget has no bounds; Close stops it.
func New(c Config) *Purse {
	if !c.Budget.Enabled() {
		return nil
	}
	p := &Purse{config: c, stop: make(chan struct{}), module: NewModule(c.Budget), conns: make(map[uint64]*Conn)}
	ticks := c.Clock.Subscribe(tickInterval)
	p.group.Go(func() {
		defer ticks.Stop()
		for {
			select {
			case <-p.stop:
				return
			case <-ticks.C:
				p.update(TickMsg{Now: c.Clock.Now()})
			}
		}
	})
	return p
}

// Close stops background work; connections stay open.
func (p *Purse) Close() {
	if p != nil {
		close(p.stop)
		p.group.Wait()
	}
}

// Held returns the bytes held for clients.
func (p *Purse) Held() int64 {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.module.Held()
}

// Open returns the number of connections, outbound ones included.
func (p *Purse) Open() int {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.module.Open()
}

// Listener bounds the connections of an HTTP listener.
func (p *Purse) Listener(name string, l net.Listener) net.Listener {
	if p == nil {
		return l
	}
	return &listener{Listener: l, purse: p, name: name}
}

// RawListener bounds the connections of a listener for another protocol, whose messages to the node are short.
func (p *Purse) RawListener(name string, l net.Listener) net.Listener {
	if p == nil {
		return l
	}
	return &listener{Listener: l, purse: p, name: name, raw: true}
}

// DialFunc opens a connection, as net.Dialer does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dial counts the connections that the function opens.
func (p *Purse) Dial(dial DialFunc) DialFunc {
	if p == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		id := p.nextID()
		if p.update(OpenedMsg{ID: id, Outbound: true, Now: p.now()}) {
			return nil, errNoSocket
		}
		conn, err := dial(ctx, network, address)
		tcp, ok := conn.(*net.TCPConn)
		if err != nil || !ok {
			p.update(ClosedMsg{ID: id})
			return conn, err
		}
		return &outbound{TCPConn: tcp, purse: p, id: id}, nil
	}
}

// Attach makes the server report the state of its connections.
func (p *Purse) Attach(s *http.Server) {
	if p == nil {
		return
	}
	inner := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		conn, ok := c.(*Conn)
		switch {
		case !ok:
		case state == http.StateActive:
			conn.begin()
		case state == http.StateIdle:
			conn.phase.Store(int32(PhaseIdle))
			p.update(PhaseMsg{ID: conn.id, Phase: PhaseIdle, Now: p.now()}, ReleasedMsg{ID: conn.id})
		}
	}
}

func (p *Purse) now() time.Time { return p.config.Clock.Now() }

func (p *Purse) nextID() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	return p.lastID
}

// update applies the messages and closes connections; it reports whether the last message was refused.
func (p *Purse) update(msgs ...Msg) (refused bool) {
	var closing []*Conn
	var done []Cmd
	p.mu.Lock()
	for _, msg := range msgs {
		for _, cmd := range p.module.Update(msg) {
			done = append(done, cmd)
			switch cmd := cmd.(type) {
			case CloseCmd:
				if c := p.conns[cmd.ID]; c != nil {
					delete(p.conns, cmd.ID)
					closing = append(closing, c)
				}
			case RefuseCmd:
				refused = true
			}
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.cut()
	}
	if p.config.Observe != nil {
		for _, cmd := range done {
			p.config.Observe(cmd)
		}
	}
	return refused
}

// outbound is a connection that the node has opened.
type outbound struct {
	*net.TCPConn
	purse *Purse
	id    uint64
}

// Close closes the connection.
func (c *outbound) Close() error {
	c.purse.update(ClosedMsg{ID: c.id})
	return c.TCPConn.Close()
}
