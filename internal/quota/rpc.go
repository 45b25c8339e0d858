package quota

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"
)

const (
	serviceName  = "Quota"
	domainMethod = serviceName + ".Domain"
	fleetMethod  = serviceName + ".Fleet"
	// dialTimeout and the time-outs of calls are many times the round trips within a domain and between regions.
	dialTimeout       = 250 * time.Millisecond
	domainCallTimeout = 250 * time.Millisecond
	fleetCallTimeout  = 400 * time.Millisecond
)

// ErrLeaving means that a node shuts down and holds no pool any more.
var ErrLeaving = eris.New("the node is shutting down; use the pool of another one")

// DialFunc connects to another node.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Service serves the pools of this node to others over net/rpc.
type Service struct {
	client *Client
}

// Domain calls the pool of the failure domain.
func (s *Service) Domain(ask *Ask, grant *Grant) error {
	return s.client.serve(s.client.domain, ask, grant)
}

// Fleet calls the pool of the fleet.
func (s *Service) Fleet(ask *Ask, grant *Grant) error {
	return s.client.serve(s.client.fleet, ask, grant)
}

// connection is the connection to one pool. It is used by one goroutine.
type connection struct {
	dial    DialFunc
	method  string
	timeout time.Duration
	address string
	rpc     *rpc.Client
}

// call calls the pool at the address; a connection without a reply in time is closed.
func (c *connection) call(ctx context.Context, address string, ask Ask) (Grant, error) {
	if err := c.connect(ctx, address); err != nil {
		return Grant{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var grant Grant
	call := c.rpc.Go(c.method, &ask, &grant, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		c.close()
		return Grant{}, eris.Wrapf(ctx.Err(), "no reply of the pool at %s", address)
	case <-call.Done:
	}
	if call.Error != nil {
		c.close()
		return Grant{}, eris.Wrapf(call.Error, "call the pool at %s", address)
	}
	return grant, nil
}

func (c *connection) connect(ctx context.Context, address string) error {
	if c.rpc != nil && c.address == address {
		return nil
	}
	c.close()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "connect to the pool at %s", address)
	}
	c.rpc, c.address = rpc.NewClient(conn), address
	return nil
}

func (c *connection) close() {
	if c.rpc != nil {
		_ = c.rpc.Close() // It fails if the connection has already ended.
		c.rpc = nil
	}
}
