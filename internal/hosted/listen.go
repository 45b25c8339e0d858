package hosted

import (
	"context"
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
	// closeTimeout bounds the wait for open connections at the end.
	closeTimeout = 150 * time.Millisecond
	// serviceHeaderTimeout bounds the header of a call of the platform or of a target.
	serviceHeaderTimeout = 5 * time.Second
)

type server struct {
	name   string
	socket net.Listener
	*http.Server
}

func (n *Node) openListeners() error {
	callers := edge.NewServer(n.edge, n.config.Failures)
	callers.Handler = http.HandlerFunc(n.serveCallers)
	for _, l := range []struct {
		name, address string
		server        *http.Server
	}{
		{"callers", n.config.Listeners.Callers, callers},
		{"relay", n.config.Listeners.Relay, agent.NewServer(n.agent, n.config.Failures)},
		{"local", n.config.Listeners.Local, plainServer(n.config.Local(n))},
		{"ready", n.config.Listeners.Ready, plainServer(n.config.Ready(n.ready))},
		{"metrics", n.config.Listeners.Metrics, plainServer(n.metricsHandler())},
	} {
		if l.address == "" {
			continue
		}
		socket, err := net.Listen("tcp", l.address)
		if err != nil {
			return eris.Wrapf(err, "open the listener %s on %s; choose an address of this VM that is free", l.name, l.address)
		}
		n.servers = append(n.servers, &server{name: l.name, socket: socket, Server: l.server})
	}
	return nil
}

func plainServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: serviceHeaderTimeout}
}

func (n *Node) serve(s *server) {
	n.group.Go(func() {
		if err := s.Serve(s.socket); !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(n.config.Failures).Log("msg", "listener failed", "listener", s.name, "err", err)
			n.cancel()
		}
	})
}

// closeListeners ends idle connections and waits shortly for the others.
func (n *Node) closeListeners() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range n.servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close() // The time for a graceful end is over.
		}
		_ = s.socket.Close() // Closed already unless serving never began.
	}
}
