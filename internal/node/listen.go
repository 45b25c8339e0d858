package node

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// listener is one HTTP listener of the node.
type listener struct {
	name   string
	socket net.Listener
	server *http.Server
}

func (n *Node) openListeners() (err error) {
	addresses := n.config.Settings.Listeners
	if n.listeners.callers, err = n.listen("callers", addresses.Callers, edge.NewServer(n.edge, n.logger)); err != nil {
		return err
	}
	n.listeners.callers.socket = edge.NewListener(n.listeners.callers.socket, n.logger)
	if n.listeners.relay, err = n.listen("relay", addresses.Relay, agent.NewServer(n.agent, n.logger)); err != nil {
		return err
	}
	if n.tls != nil {
		n.listeners.relay.socket = tls.NewListener(n.listeners.relay.socket, n.tls.server())
	}
	if n.listeners.local, err = n.listen("local", addresses.Local, n.plainServer("local", n.agent.Local())); err != nil {
		return err
	}
	n.listeners.admin, err = n.listen("admin", addresses.Admin, n.plainServer("admin", n.adminHandler()))
	return err
}

// plainServer serves the handlers that carry no requests of callers.
func (n *Node) plainServer(name string, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          n.serverLog(name),
	}
}

// listen opens the address for the server.
func (n *Node) listen(name, address string, server *http.Server) (*listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "open the listener %s on %s; choose an address of this VM that is free", name, address)
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
