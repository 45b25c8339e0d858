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
	// broken is guarded by the mutex of the pool.
	broken bool
}

// dialing is an attempt to connect that all callers of an address share.
type dialing struct {
	done   chan struct{}
	client *client
	err    error
}

// pool caches one connection per address.
type pool struct {
	ctx      context.Context
	secret   []byte
	tls      func() *tls.Config
	dialer   func(ctx context.Context, network, address string) (net.Conn, error)
	counters *counters
	reject   func(source string, err error)

	mu      sync.Mutex
	clients map[string]*client
	dials   map[string]*dialing
}

func newPool(ctx context.Context, c Config, counters *counters, reject func(string, error)) *pool {
	return &pool{
		ctx: ctx, secret: c.Secret, tls: c.TLS, dialer: c.Dial, counters: counters, reject: reject,
		clients: make(map[string]*client), dials: make(map[string]*dialing),
	}
}

// call runs a method at an address and returns when it is answered, when the context ends or when the connection is
// silent. The call is sent at most once, and neither args nor reply is used after the return.
func (p *pool) call(ctx context.Context, address, method string, args, reply any) error {
	request, err := encodeBody(method, args)
	if err != nil {
		return err
	}
	c, err := p.usable(ctx, address)
	if err != nil {
		return eris.Wrapf(ErrUnsent, "%s at %s: %v", method, address, err)
	}
	p.counters.callsSent.Add(1)
	var answer inbound
	if err := p.await(ctx, address, c, method, request, &answer); err != nil {
		return eris.Wrapf(err, "%s at %s", method, address)
	}
	if err := decoding.Unmarshal(answer.payload, reply); err != nil {
		err = eris.Wrapf(ErrMalformed, "answer of %s at %s: %v", method, address, err)
		p.reject(address, err)
		return err
	}
	return nil
}

// await sends the call and waits for the answer. While the answer is missing it sends echoes, so that a slow handler
// is told from a silent connection.
func (p *pool) await(ctx context.Context, address string, c *client, method string, request *outbound, answer *inbound) error {
	done := make(chan *rpc.Call, 1)
	// The call is sent from another goroutine, because a write blocks when the other node stops reading.
	go c.rpc.Go(method, request, answer, done)
	watch := time.NewTicker(echoInterval)
	defer watch.Stop()
	for {
		select {
		case call := <-done:
			return p.finish(address, c, request, call.Error)
		case <-ctx.Done():
			return ctx.Err()
		case <-watch.C:
			if p.probe(c) != nil {
				p.counters.connectionsSilent.Add(1)
				p.drop(address, c)
				return ErrSilent
			}
		}
	}
}

// finish tells errors of the handler and calls that were not sent from those that may have run.
func (p *pool) finish(address string, c *client, request *outbound, err error) error {
	var remote rpc.ServerError
	if err == nil || errors.As(err, &remote) {
		return err
	}
	p.drop(address, c)
	if !request.sent.Load() {
		return eris.Wrap(ErrUnsent, err.Error())
	}
	return eris.Wrap(ErrSilent, err.Error())
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
	d := p.dial(address)
	select {
	case <-d.done:
		return d.client, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
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

// dial joins the attempt to connect that is in progress or starts one.
func (p *pool) dial(address string) *dialing {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.dials[address]; d != nil {
		return d
	}
	d := &dialing{done: make(chan struct{})}
	if c := p.clients[address]; c != nil {
		// Another attempt ended since the caller looked.
		d.client = c
		close(d.done)
		return d
	}
	p.dials[address] = d
	go func() {
		defer close(d.done)
		d.client, d.err = p.connect(address)
		p.keep(address, d)
	}()
	return d
}

func (p *pool) connect(address string) (*client, error) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	conn, err := p.dialer(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.counters.connectionsOpened.Add(1)
	p.counters.bytesSent.Add(connectionOverhead / 2)
	p.counters.bytesReceived.Add(connectionOverhead / 2)
	conn = &countedConn{Conn: conn, counters: p.counters}
	if p.tls != nil {
		conn = tls.Client(conn, clientTLS(p.tls(), address))
	}
	keys, err := clientHandshake(conn, p.secret)
	if err != nil {
		_ = conn.Close()
		p.reject(address, err)
		return nil, err
	}
	c := &client{frame: newFrameConn(conn, keys.toClient, keys.toServer, clientIdle)}
	c.rpc = rpc.NewClientWithCodec(&clientCodec{frameCodec{frameConn: c.frame, reject: func(err error) {
		p.forget(address, c)
		p.reject(address, err)
	}}})
	return c, nil
}

// keep ends an attempt to connect and caches its connection.
func (p *pool) keep(address string, d *dialing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.dials, address)
	switch {
	case d.err != nil:
	case p.ctx.Err() != nil:
		_ = d.client.frame.conn.Close()
		d.client, d.err = nil, ErrClosed
	case !d.client.broken:
		p.clients[address] = d.client
	}
}

// forget removes a connection that cannot be read any more, such as one that was idle.
func (p *pool) forget(address string, c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.broken = true
	if p.clients[address] == c {
		delete(p.clients, address)
	}
}

func (p *pool) cached(address string) *client {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clients[address]
}

func (p *pool) drop(address string, c *client) {
	p.forget(address, c)
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
