package hosted

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/feed"
	"github.com/auburnwinch/auburnwinch/internal/listen"
	"github.com/auburnwinch/auburnwinch/internal/purse"
)

const (
	// closeTimeout bounds the wait for open connections during shutdown.
	closeTimeout = 150 * time.Millisecond
	// serviceHeaderTimeout bounds the time to read the header of a request from the platform or a target.
	serviceHeaderTimeout = 5 * time.Second
	// serviceHeaderBytes, serviceReadTimeout and serviceIdleTimeout bound these requests on a node with a budget. They come
	// once in a second or two, with some hundred bytes.
	serviceHeaderBytes = 4 << 10
	serviceReadTimeout = 5 * time.Second
	serviceIdleTimeout = time.Minute
)

func (n *Node) openListeners() error {
	callers := edge.NewServer(n.edge, n.config.FailureLogger)
	callers.Handler = n.purse.Handler(http.HandlerFunc(n.serveCallers), n.refuseCallerForRoom)
	relayed := agent.NewServer(n.agent, n.config.FailureLogger)
	relayed.Handler = n.purse.Handler(relayed.Handler, refuseRelayedForRoom)
	for _, l := range []struct {
		name, address string
		server        *http.Server
	}{
		{purse.Callers, n.config.Listeners.Callers, callers},
		{purse.Relay, n.config.Listeners.Relay, relayed},
		{purse.Local, n.config.Listeners.Local, n.plainServer(n.config.LocalHandler(n))},
		{purse.Ready, n.config.Listeners.Ready, n.plainServer(n.config.ReadyHandler(n.ready))},
		{purse.Metrics, n.config.Listeners.Metrics, n.plainServer(n.metricsHandler())},
	} {
		if l.address == "" {
			continue
		}
		n.purse.Attach(l.server)
		opened, err := listen.Open(l.name, l.address, l.server)
		if err != nil {
			return err
		}
		opened.Socket = n.purse.Listener(l.name, opened.Socket)
		n.listeners = append(n.listeners, opened)
	}
	if n.config.Listeners.Peer == "" {
		return nil
	}
	var err error
	name, receiver := n.quotas.Service()
	n.feed, err = feed.NewServer(feed.ServerConfig{
		Address: n.config.Listeners.Peer, Table: n.nodes, Further: []feed.Service{{Name: name, Receiver: receiver}},
		Wrap: func(l net.Listener) net.Listener { return n.purse.RawListener(purse.Peer, l) },
	})
	return err
}

func (n *Node) plainServer(handler http.Handler) *http.Server {
	s := &http.Server{Handler: n.purse.Handler(handler, nil), ReadHeaderTimeout: serviceHeaderTimeout}
	if n.purse != nil {
		s.MaxHeaderBytes = serviceHeaderBytes
		s.ReadTimeout, s.IdleTimeout = serviceReadTimeout, serviceIdleTimeout
	}
	return s
}

func (n *Node) serve(l *listen.Listener) {
	n.group.Go(func() {
		if err := l.Run(); err != nil {
			_ = level.Error(n.config.FailureLogger).Log("msg", "listener failed", "listener", l.Name, "err", err)
			n.cancel()
		}
	})
}

// closeListeners closes idle connections and waits up to closeTimeout for the others.
func (n *Node) closeListeners() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, l := range n.listeners {
		l.Close(ctx)
	}
	if n.feed != nil {
		n.feed.Close()
	}
}
