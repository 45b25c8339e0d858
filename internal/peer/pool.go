package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// dialTimeout bounds connecting and the handshake; one round trip between regions takes 24 ms.
	dialTimeout = 3 * time.Second
	// echoTimeout bounds the answer to an echo; a connection that stays silent longer is closed.
	echoTimeout = time.Second
	// freshFor is how long after its last received frame a connection is used without an echo.
	freshFor = time.Second
	// echoInterval is the time between echoes while a call waits, so that a slow handler is told from silence.
	echoInterval = time.Second
	// clientIdle is the idle time after which the caller closes a connection.
	clientIdle = 30 * time.Second
	// serverIdle is longer than clientIdle, so that the caller closes first and never sends into a closed connection.
	serverIdle = 90 * time.Second
	// echoMethod is answered by every node at once.
	echoMethod = "Peer.Echo"
)

// client is one cached connection to another node.
type client struct {
	rpc   *rpc.Client
	frame *frameConn
}

// pool caches one connection per address.
type pool struct {
	secret   []byte
	tls      *tls.Config
	counters *counters
	reject   func(source string, err error)

	mu      sync.Mutex
	closed  bool
	clients map[string]*client
}

func newPool(c Config, counters *counters, reject func(string, error)) *pool {
	return &pool{
		secret: c.Secret, tls: c.TLS, counters: counters, reject: reject,
		clients: make(map[string]*client),
	}
}

// call runs a method at an address and returns when it is answered, when the context ends or when the connection is
// silent. The call is sent at most once.
func (p *pool) call(ctx context.Context, address, method string, args, reply any) error {
	c, err := p.usable(ctx, address)
	if err != nil {
		return eris.Wrapf(ErrUnsent, "%s at %s: %v", method, address, err)
	}
	p.counters.callsSent.Add(1)
	done := c.rpc.Go(method, args, reply, make(chan *rpc.Call, 1)).Done
	watch := time.NewTicker(echoInterval)
	defer watch.Stop()
	for {
		select {
		case call := <-done:
			return p.finish(address, c, method, call.Error)
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "%s at %s", method, address)
		case <-watch.C:
			if err := p.probe(c); err != nil {
				p.counters.connectionsSilent.Add(1)
				p.drop(address, c)
				return eris.Wrapf(ErrSilent, "%s at %s", method, address)
			}
		}
	}
}

func (p *pool) finish(address string, c *client, method string, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return eris.Wrapf(err, "%s at %s", method, address)
	}
	p.drop(address, c)
	if errors.Is(err, rpc.ErrShutdown) {
		return eris.Wrapf(ErrUnsent, "%s at %s: %v", method, address, err)
	}
	if errors.Is(err, ErrOversized) {
		return eris.Wrapf(err, "%s at %s", method, address)
	}
	return eris.Wrapf(ErrSilent, "%s at %s: %v", method, address, err)
}

// usable returns a connection that answered lately; a connection that has been idle must answer an echo first.
func (p *pool) usable(ctx context.Context, address string) (*client, error) {
	if c := p.cached(address); c != nil {
		if c.heardWithin(freshFor) || p.probe(c) == nil {
			return c, nil
		}
		p.counters.connectionsSilent.Add(1)
		p.drop(address, c)
	}
	return p.dial(ctx, address)
}

// probe sends an echo and fails unless the connection delivers some frame in time.
func (p *pool) probe(c *client) error {
	timeout := time.NewTimer(echoTimeout)
	defer timeout.Stop()
	sent := time.Now()
	// The echo is sent from another goroutine, because a write blocks when the peer stops reading.
	done := make(chan *rpc.Call, 1)
	go c.rpc.Go(echoMethod, Empty{}, nil, done)
	select {
	case call := <-done:
		return call.Error
	case <-timeout.C:
		if c.frame.lastRead.Load() > sent.UnixNano() {
			return nil
		}
		return ErrSilent
	}
}

func (p *pool) dial(ctx context.Context, address string) (*client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.counters.connectionsOpened.Add(1)
	p.counters.bytesSent.Add(connectionOverhead / 2)
	p.counters.bytesReceived.Add(connectionOverhead / 2)
	conn = &countedConn{Conn: conn, counters: p.counters}
	if p.tls != nil {
		conn = tls.Client(conn, clientTLS(p.tls, address))
	}
	keys, err := clientHandshake(conn, p.secret)
	if err != nil {
		_ = conn.Close()
		p.reject(address, err)
		return nil, err
	}
	frame := &frameConn{conn: conn, readKey: keys.toClient, writeKey: keys.toServer, idle: clientIdle}
	frame.lastRead.Store(time.Now().UnixNano())
	codec := &clientCodec{frameCodec{frameConn: frame, reject: func(err error) { p.reject(address, err) }}}
	return p.keep(address, &client{rpc: rpc.NewClientWithCodec(codec), frame: frame})
}

// keep caches the connection; of two that were dialled at once both stay usable and the later one is cached.
func (p *pool) keep(address string, c *client) (*client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.rpc.Close()
		return nil, ErrClosed
	}
	p.clients[address] = c
	return c, nil
}

func (p *pool) cached(address string) *client {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clients[address]
}

func (p *pool) drop(address string, c *client) {
	p.mu.Lock()
	if p.clients[address] == c {
		delete(p.clients, address)
	}
	p.mu.Unlock()
	// The socket is closed first, because a blocked write holds the lock that rpc.Client.Close takes.
	_ = c.frame.conn.Close()
	_ = c.rpc.Close()
}

func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.clients)
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	clients := p.clients
	p.clients = make(map[string]*client)
	p.mu.Unlock()
	for _, c := range clients {
		_ = c.frame.conn.Close()
		_ = c.rpc.Close()
	}
}

func (c *client) heardWithin(d time.Duration) bool {
	return time.Since(time.Unix(0, c.frame.lastRead.Load())) < d
}
