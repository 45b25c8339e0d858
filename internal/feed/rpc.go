package feed

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/listen"
	"github.com/auburnwinch/auburnwinch/internal/roster"
)

const (
	serviceName = "Feed"
	watchMethod = serviceName + ".Watch"
	// forgottenMethod is unknown to older builds, which refuse the call.
	forgottenMethod = serviceName + ".Forgotten"
	// maxWait bounds how long a follower may ask a node to wait.
	maxWait = 10 * time.Second
	// dialTimeout is many times the round-trip time within a failure domain.
	dialTimeout = 400 * time.Millisecond
	// responseSlack is the time allowed for a response on top of the wait; a node that takes longer is frozen,
	// disconnected or overloaded.
	responseSlack = 500 * time.Millisecond
)

// WatchArgs request the rows that changed after a version; net/rpc requires exported types.
type WatchArgs struct {
	After uint64
	Wait  time.Duration
	// Number is the number of the configuration in force at the caller.
	Number uint64
	// Known is the highest number that the caller knows of, in force there or not. It is zero if the caller can't use an
	// early response that only tells it of a newer one.
	Known uint64
	// Era is the era of the store from which the caller's rows are; it counts only if KnowsEra is set, which older builds
	// don't.
	Era      uint64
	KnowsEra bool
	// ConfirmationAge is the age of the caller's confirmation of its configuration. It is zero if the caller can't use an
	// early response that only renews the confirmation.
	ConfirmationAge time.Duration
	// MaxRowAge is how old the rows may be that the caller needs; it is zero if any will do.
	MaxRowAge time.Duration
}

// WatchReply holds the changed rows.
type WatchReply struct {
	Page roster.Page
	// Number is the number of the configuration in force at the responding node.
	Number uint64
	Confirmation
	// Rows tells how recent the rows are, with the changes in Page.
	Rows Confirmation
}

// Feed serves the rows to followers over net/rpc.
type Feed struct {
	table *Table
}

// Server accepts followers until it is closed.
type Server struct {
	table    *Table
	listener net.Listener
	group    conc.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// Service is a further net/rpc service on the listener of a Server.
type Service struct {
	Name     string
	Receiver any
}

// client holds the connection to the node that is followed.
type client struct {
	mu      sync.Mutex
	address string
	rpc     *rpc.Client
}

// Watch returns the rows that changed after the version. It returns none if none changed within the wait, or as soon as a
// configuration newer than the caller knows of is in force or the caller's one has been confirmed again.
func (f *Feed) Watch(args WatchArgs, reply *WatchReply) error {
	received := f.table.config.Clock.Now()
	f.table.observeNumber(args.Number)
	needsRecentRows, since := args.MaxRowAge > 0, received.Add(-args.MaxRowAge)
	if needsRecentRows {
		f.table.look(since)
	}
	news := func() bool {
		return args.Known > 0 && f.table.number() > args.Known || f.table.renews(args, received) ||
			needsRecentRows && f.table.cache.recentSince(since)
	}
	after := position{era: args.Era, version: args.After}
	if !args.KnowsEra {
		after.era = f.table.cache.eraOf()
	}
	page, err := f.table.cache.wait(context.Background(), after, min(args.Wait, maxWait), news)
	if err != nil {
		return err
	}
	reply.Confirmation = f.table.confirmation(received)
	reply.Rows, page.AsOf = confirmationOf(page.AsOf, received), time.Time{} // The clocks of two nodes differ.
	reply.Page, reply.Number = page, f.table.number()
	return nil
}

// Forgotten returns the rows that the store has lost when it came back from a copy.
func (f *Feed) Forgotten(_ int, rows *[]roster.Row) error {
	*rows = f.table.cache.forgottenRows()
	return nil
}

// ServerConfig configures a Server; Further and Wrap are optional. Wrap wraps the listener.
type ServerConfig struct {
	Address string
	Table   *Table
	// Further are served beside the table.
	Further []Service
	Wrap    func(net.Listener) net.Listener
}

// NewServer listens on the address, serves the table to followers, and serves the further services.
func NewServer(c ServerConfig) (*Server, error) {
	service := rpc.NewServer()
	for _, s := range append(c.Further, Service{Name: serviceName, Receiver: &Feed{table: c.Table}}) {
		if err := service.RegisterName(s.Name, s.Receiver); err != nil {
			return nil, eris.Wrapf(err, "register the service %q", s.Name)
		}
	}
	listener, err := listen.Socket("peer", c.Address)
	if err != nil {
		return nil, err
	}
	if c.Wrap != nil {
		listener = c.Wrap(listener)
	}
	s := &Server{table: c.Table, listener: listener, conns: make(map[net.Conn]struct{})}
	s.group.Go(func() {
		for {
			conn, err := listener.Accept()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil:
				time.Sleep(dialTimeout) // File descriptors may be exhausted for a moment; followers use other nodes meanwhile.
			case s.add(conn):
				s.group.Go(func() {
					service.ServeConn(&boundedConn{Conn: conn})
					s.remove(conn)
				})
			}
		}
	})
	return s, nil
}

// Address returns the `host:port` on which followers are accepted.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends all calls and connections.
func (s *Server) Close() {
	s.table.StopServing()
	s.mu.Lock()
	s.closed = true
	_ = s.listener.Close() // Followers notice that their connections are closed.
	for conn := range s.conns {
		_ = conn.Close() // It may already be closed.
	}
	s.mu.Unlock()
	s.group.Wait()
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close() // The error is of no use, since the connection was never served.
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// watch calls the node at the address; a connection without a response in time is closed.
func (c *client) watch(ctx context.Context, dial dialFunc, address string, args WatchArgs) (WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, args.Wait+responseSlack)
	defer cancel()
	connected, err := c.connect(ctx, dial, address)
	if err != nil {
		return WatchReply{}, err
	}
	var reply WatchReply
	if err := c.call(ctx, connected, watchMethod, args, &reply); err != nil {
		return WatchReply{}, err
	}
	return reply, nil
}

// forgotten asks the node at the address for the rows that the store has lost.
func (c *client) forgotten(ctx context.Context, dial dialFunc, address string) (rows []roster.Row, err error) {
	ctx, cancel := context.WithTimeout(ctx, responseSlack)
	defer cancel()
	connected, err := c.connect(ctx, dial, address)
	if err != nil {
		return nil, err
	}
	err = c.call(ctx, connected, forgottenMethod, 0, &rows)
	return rows, err
}

// call calls a method; it fails with ErrNotReading if the node refuses. A connection without a response in time is closed.
func (c *client) call(ctx context.Context, connected *rpc.Client, method string, args, reply any) error {
	call := connected.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		c.close()
		return eris.Wrapf(ctx.Err(), "no response from node at %s", c.addressOf())
	case <-call.Done:
	}
	var refused rpc.ServerError
	switch {
	case errors.As(call.Error, &refused):
		return eris.Wrap(ErrNotReading, c.addressOf())
	case call.Error != nil:
		c.close()
	}
	return call.Error
}

func (c *client) addressOf() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address
}

func (c *client) connect(ctx context.Context, dial dialFunc, address string) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc != nil && c.address == address {
		return c.rpc, nil
	}
	c.closeLocked()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to node at %s", address)
	}
	c.rpc, c.address = rpc.NewClient(conn), address
	return c.rpc, nil
}

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

func (c *client) closeLocked() {
	if c.rpc != nil {
		_ = c.rpc.Close() // It fails if the connection has already ended.
		c.rpc = nil
	}
}
