package relay

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	defaultDialTimeout = 3 * time.Second
	defaultIdleTimeout = 50 * time.Second
	defaultMaxIdle     = 512
)

// Reuse states which connections a request may use.
type Reuse uint8

// The values of Reuse.
const (
	// ConnAny uses an idle connection if there is one.
	ConnAny Reuse = iota
	// ConnNew always dials, for use after a connection of the pool has become suspect.
	ConnNew
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// PoolConfig configures a Pool; zero fields take defaults.
type PoolConfig struct {
	Address     string
	Dial        DialFunc
	DialTimeout time.Duration
	// IdleTimeout must be shorter than that of the server, so that requests are not sent on a connection that is
	// closing.
	IdleTimeout time.Duration
	MaxIdle     int
}

// Pool keeps idle connections to one address.
type Pool struct {
	config PoolConfig
	mu     sync.Mutex
	idle   []*Conn
	closed bool
}

// NewPool returns an empty pool.
func NewPool(c PoolConfig) *Pool {
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.DialTimeout <= 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.MaxIdle <= 0 {
		c.MaxIdle = defaultMaxIdle
	}
	return &Pool{config: c}
}

// Get returns a connection; it fails with ErrDial.
func (p *Pool) Get(ctx context.Context, reuse Reuse) (*Conn, error) {
	if reuse == ConnAny {
		for c := p.takeIdle(); c != nil; c = p.takeIdle() {
			if c.alive() {
				c.reused = true
				c.acquireBuffers()
				return c, nil
			}
			c.Close()
		}
	}
	return p.dial(ctx)
}

// CloseIdle closes all idle connections, because another connection to the address stopped responding.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// Close closes the idle connections, and the others when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIfEmpty closes the pool if it has no idle connections, and reports whether it is closed. Connections in use are
// closed when they are released.
func (p *Pool) CloseIfEmpty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = p.closed || len(p.idle) == 0
	return p.closed
}

// CloseExpired closes connections that were idle for longer than the idle timeout.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[n].idleSince) > p.config.IdleTimeout {
		n++
	}
	expired := append([]*Conn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.DialTimeout)
	defer cancel()
	conn, err := p.config.Dial(ctx, "tcp", p.config.Address)
	if err != nil {
		return nil, &DialError{Address: p.config.Address, Cause: err}
	}
	return newConn(conn, p), nil
}

func (p *Pool) takeIdle() *Conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	p.idle = p.idle[:last]
	if now.Sub(c.idleSince) > p.config.IdleTimeout {
		// The remaining connections have been idle even longer.
		for _, old := range p.idle {
			old.Close()
		}
		p.idle = p.idle[:0]
		c.Close()
		return nil
	}
	return c
}

func (p *Pool) put(c *Conn) {
	c.releaseBuffers()
	c.idleSince = time.Now()
	p.mu.Lock()
	keep := !p.closed && len(p.idle) < p.config.MaxIdle
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.Close()
	}
}
