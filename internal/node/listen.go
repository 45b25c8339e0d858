package node

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/listen"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

func (n *Node) openListeners() (err error) {
	addresses := n.config.Settings.Listeners
	if n.listeners.callers, err = listen.Open("callers", addresses.Callers, edge.NewServer(n.edge, n.logger)); err != nil {
		return err
	}
	n.listeners.callers.Socket = edge.NewListener(n.listeners.callers.Socket, n.logger)
	if n.listeners.relay, err = listen.Open("relay", addresses.Relay, agent.NewServer(n.agent, n.logger)); err != nil {
		return err
	}
	if n.certs != nil {
		n.listeners.relay.Socket = tls.NewListener(n.listeners.relay.Socket, n.certs.serverConfig())
	}
	if n.listeners.local, err = listen.Open("local", addresses.Local, n.plainServer("local", n.agent.LocalHandler())); err != nil {
		return err
	}
	n.listeners.admin, err = listen.Open("admin", addresses.Admin, n.plainServer("admin", n.adminHandler()))
	return err
}

// plainServer returns a server for handlers that carry no requests of callers.
func (n *Node) plainServer(name string, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          n.serverErrorLog(name),
	}
}

// serve accepts connections until the listener is closed.
func (n *Node) serve(l *listen.Listener) {
	n.group.Go(func() {
		if err := l.Run(); err != nil {
			_ = level.Error(n.logger).Log("msg", "listener failed", "listener", l.Name, "err", err)
			n.cancel()
		}
	})
}
