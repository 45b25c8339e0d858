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
	// echoTimeout bounds the wait for a response to an echo; a connection that delivers nothing for longer is closed.
	echoTimeout = time.Second
	// echoFreeTime is how long after its last received frame a connection is used without an echo.
	echoFreeTime = time.Second
	// echoInterval is the time between echoes while a call waits, to distinguish a slow handler from an unresponsive
	// connection.
	echoInterval = time.Second
	// clientIdle is the idle time after which the calling node closes a connection.
	clientIdle = 30 * time.Second
	// serverIdle is longer than clientIdle, so that the calling node closes first and never writes to a closed
	// connection.
	serverIdle = 90 * time.Second
	// echoMethod is a method to which every node responds immediately.
	echoMethod = "Peer.Echo"
)

// clientConn is a cached connection to another node.
type clientConn struct {
	rpc   *rpc.Client
	frame *frameConn
	// broken is guarded by the mutex of the pool.
	broken bool
}

// dialAttempt is a connection attempt that is shared by all callers of an address.
type dialAttempt struct {
	done   chan struct{}
	client *clientConn
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
	clients map[string]*clientConn
	dials   map[string]*dialAttempt
}

func newPool(ctx context.Context, c Config, counters *counters, reject func(string, error)) *pool {
	return &pool{
		ctx: ctx, secret: c.Secret, tls: c.TLS, dialer: c.Dial, counters: counters, reject: reject,
		clients: make(map[string]*clientConn), dials: make(map[string]*dialAttempt),
	}
}

// call runs a method at an address; it returns on a response, when the context ends, or when the connection stops
// responding. The call is sent at most once, and neither args nor reply is used after the return.
func (p *pool) call(ctx context.Context, address, method string, args, reply any) error {
	request, err := encodeBody(method, args)
	if err != nil {
		return err
	}
	c, err := p.liveConn(ctx, address)
	if err != nil {
		return eris.Wrapf(ErrUnsent, "%s at %s: %v", method, address, err)
	}
	p.counters.callsSent.Add(1)
	var response replyBody
	if err := p.await(ctx, address, c, method, request, &response); err != nil {
		return eris.Wrapf(err, "%s at %s", method, address)
	}
	if err := decoding.Unmarshal(response.payload, reply); err != nil {
		err = eris.Wrapf(ErrMalformed, "answer of %s at %s: %v", method, address, err)
		p.reject(address, err)
		return err
	}
	return nil
}

// await sends the request and waits for the response. Meanwhile it sends echoes to distinguish a slow handler from an
// unresponsive connection.
func (p *pool) await(ctx context.Context, address string, c *clientConn, method string, request *requestBody, response *replyBody) error {
	done := make(chan *rpc.Call, 1)
	// The request is sent from another goroutine, because a write blocks when the other node stops reading.
	go c.rpc.Go(method, request, response, done)
	ticker := time.NewTicker(echoInterval)
	defer ticker.Stop()
	for {
		select {
		case call := <-done:
			return p.classifyError(address, c, request, call.Error)
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if p.echo(c) != nil {
				p.counters.connectionsSilent.Add(1)
				p.closeConn(address, c)
				return ErrConnectionLost
			}
		}
	}
}

// classifyError distinguishes handler errors, calls that were not sent and calls that may have run.
func (p *pool) classifyError(address string, c *clientConn, request *requestBody, err error) error {
	var remote rpc.ServerError
	if err == nil || errors.As(err, &remote) {
		return err
	}
	p.closeConn(address, c)
	if !request.sent.Load() {
		return eris.Wrap(ErrUnsent, err.Error())
	}
	return eris.Wrap(ErrConnectionLost, err.Error())
}

// liveConn returns a connection that received a frame recently or responds to an echo.
func (p *pool) liveConn(ctx context.Context, address string) (*clientConn, error) {
	if c := p.cached(address); c != nil {
		if c.receivedWithin(echoFreeTime) || p.echo(c) == nil {
			return c, nil
		}
		p.counters.connectionsSilent.Add(1)
		p.closeConn(address, c)
	}
	d := p.dial(address)
	select {
	case <-d.done:
		return d.client, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// echo sends an echo and fails unless the connection delivers any frame in time.
func (p *pool) echo(c *clientConn) error {
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
		return ErrConnectionLost
	}
}

// dial returns the connection attempt in progress for the address, or starts one.
func (p *pool) dial(address string) *dialAttempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.dials[address]; d != nil {
		return d
	}
	d := &dialAttempt{done: make(chan struct{})}
	if c := p.clients[address]; c != nil {
		// Another attempt succeeded since the caller looked up the connection.
		d.client = c
		close(d.done)
		return d
	}
	p.dials[address] = d
	go func() {
		defer close(d.done)
		d.client, d.err = p.connect(address)
		p.finishDial(address, d)
	}()
	return d
}

func (p *pool) connect(address string) (*clientConn, error) {
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
	c := &clientConn{frame: newFrameConn(conn, keys.toClient, keys.toServer, clientIdle)}
	c.rpc = rpc.NewClientWithCodec(&clientCodec{frameCodec{frameConn: c.frame, reject: func(err error) {
		p.remove(address, c)
		p.reject(address, err)
	}}})
	return c, nil
}

// finishDial ends a connection attempt and caches its connection.
func (p *pool) finishDial(address string, d *dialAttempt) {
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

// remove removes an unreadable connection from the pool, for example one closed for being idle.
func (p *pool) remove(address string, c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.broken = true
	if p.clients[address] == c {
		delete(p.clients, address)
	}
}

func (p *pool) cached(address string) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clients[address]
}

func (p *pool) closeConn(address string, c *clientConn) {
	p.remove(address, c)
	// The socket is closed first, because a blocked write holds the lock that rpc.Client.Close acquires.
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
	p.clients = make(map[string]*clientConn)
	p.mu.Unlock()
	for _, c := range clients {
		_ = c.frame.conn.Close()
		_ = c.rpc.Close()
	}
}

func (c *clientConn) receivedWithin(d time.Duration) bool {
	return time.Since(time.Unix(0, c.frame.lastRead.Load())) < d
}
