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
	// longestWait bounds what a follower may ask a node to wait.
	longestWait = 10 * time.Second
	// dialTimeout covers a round trip within a failure domain many times.
	dialTimeout = 400 * time.Millisecond
	// answerSlack is the time for an answer on top of the wait; a node that needs longer is frozen, cut off or overloaded.
	answerSlack = 500 * time.Millisecond
)

// WatchArgs ask for the rows that changed after a version; net/rpc requires exported types.
type WatchArgs struct {
	After uint64
	Wait  time.Duration
	// Number is that of the configuration in force at the caller.
	Number uint64
}

// WatchReply holds the changed rows.
type WatchReply struct {
	Page roster.Page
	// Number is that of the configuration in force at the answering node.
	Number uint64
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

// client is the connection to the node that is followed.
type client struct {
	mu      sync.Mutex
	address string
	rpc     *rpc.Client
}

// Watch returns the rows that changed after the version, or none when none did within the wait.
func (f *Feed) Watch(args WatchArgs, reply *WatchReply) error {
	f.table.hear(args.Number)
	page, err := f.table.hub.wait(context.Background(), args.After, min(args.Wait, longestWait))
	if err != nil {
		return err
	}
	reply.Page, reply.Number = page, f.table.number()
	return nil
}

// NewServer opens the address and serves the table to followers.
func NewServer(address string, t *Table) (*Server, error) {
	service := rpc.NewServer()
	if err := service.RegisterName(serviceName, &Feed{table: t}); err != nil {
		return nil, eris.Wrap(err, "register the feed")
	}
	listener, err := listen.Socket("peer", address)
	if err != nil {
		return nil, err
	}
	s := &Server{table: t, listener: listener, conns: make(map[net.Conn]struct{})}
	s.group.Go(func() {
		for {
			conn, err := listener.Accept()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil:
				time.Sleep(dialTimeout) // Descriptors may run out for a moment; followers go elsewhere meanwhile.
			case s.add(conn):
				s.group.Go(func() {
					service.ServeConn(conn)
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
	_ = s.listener.Close() // Followers notice by their connections.
	for conn := range s.conns {
		_ = conn.Close() // It may be closed already.
	}
	s.mu.Unlock()
	s.group.Wait()
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close() // Nobody waits for it.
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

// watch calls the node at the address; a connection that stays silent is closed.
func (c *client) watch(ctx context.Context, dial dialFunc, address string, args WatchArgs) (WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, args.Wait+answerSlack)
	defer cancel()
	connected, err := c.connect(ctx, dial, address)
	if err != nil {
		return WatchReply{}, err
	}
	var reply WatchReply
	call := connected.Go(watchMethod, args, &reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		c.close()
		return WatchReply{}, eris.Wrapf(ctx.Err(), "node at %s is silent", address)
	case <-call.Done:
	}
	var refused rpc.ServerError
	switch {
	case errors.As(call.Error, &refused):
		return WatchReply{}, eris.Wrap(ErrNotReading, address)
	case call.Error != nil:
		c.close()
	}
	return reply, call.Error
}

func (c *client) connect(ctx context.Context, dial dialFunc, address string) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc != nil && c.address == address {
		return c.rpc, nil
	}
	c.drop()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "reach the node at %s", address)
	}
	c.rpc, c.address = rpc.NewClient(conn), address
	return c.rpc, nil
}

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
}

func (c *client) drop() {
	if c.rpc != nil {
		_ = c.rpc.Close() // It fails when the connection has ended by itself.
		c.rpc = nil
	}
}
