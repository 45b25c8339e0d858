package hosted

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/feed"
	"github.com/auburnwinch/auburnwinch/internal/listen"
)

const (
	// closeTimeout bounds the wait for open connections during shutdown.
	closeTimeout = 150 * time.Millisecond
	// serviceHeaderTimeout bounds the time to read the header of a request from the platform or a target.
	serviceHeaderTimeout = 5 * time.Second
)

func (n *Node) openListeners() error {
	callers := edge.NewServer(n.edge, n.config.FailureLogger)
	callers.Handler = http.HandlerFunc(n.serveCallers)
	for _, l := range []struct {
		name, address string
		server        *http.Server
	}{
		{"callers", n.config.Listeners.Callers, callers},
		{"relay", n.config.Listeners.Relay, agent.NewServer(n.agent, n.config.FailureLogger)},
		{"local", n.config.Listeners.Local, plainServer(n.config.LocalHandler(n))},
		{"ready", n.config.Listeners.Ready, plainServer(n.config.ReadyHandler(n.ready))},
		{"metrics", n.config.Listeners.Metrics, plainServer(n.metricsHandler())},
	} {
		if l.address == "" {
			continue
		}
		opened, err := listen.Open(l.name, l.address, l.server)
		if err != nil {
			return err
		}
		n.listeners = append(n.listeners, opened)
	}
	if n.config.Listeners.Peer == "" {
		return nil
	}
	var err error
	name, receiver := n.quotas.Service()
	n.feed, err = feed.NewServer(n.config.Listeners.Peer, n.nodes, feed.Service{Name: name, Receiver: receiver})
	return err
}

func plainServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: serviceHeaderTimeout}
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
