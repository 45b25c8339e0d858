package node

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
)

const (
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than the idle timeout of the relay pools, so that an edge never sends a request on a
	// connection that the agent is closing.
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// listener is one HTTP listener of the node.
type listener struct {
	name   string
	socket net.Listener
	server *http.Server
}

// listen opens the address for the handler.
func (n *Node) listen(name, address string, handler http.Handler) (*listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "open the listener %s on %s; choose an address of this VM that is free", name, address)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          n.serverLog(name),
	}
	return &listener{name: name, socket: socket, server: server}, nil
}

// serve accepts connections until the listener is closed.
func (n *Node) serve(l *listener) {
	n.group.Go(func() {
		if err := l.server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(n.logger).Log("msg", "listener failed", "listener", l.name, "err", err)
			n.cancel()
		}
	})
}
