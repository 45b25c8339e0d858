package listen

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
)

// Listener is one HTTP listener of a node.
type Listener struct {
	Name   string
	Socket net.Listener
	Server *http.Server
}

// Open listens on the address for the server.
func Open(name, address string, server *http.Server) (*Listener, error) {
	socket, err := Socket(name, address)
	if err != nil {
		return nil, err
	}
	return &Listener{Name: name, Socket: socket, Server: server}, nil
}

// Socket listens on the address for a protocol other than HTTP; the name appears in the error.
func Socket(name, address string) (net.Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "open the listener %s on %s; choose a free address of this VM", name, address)
	}
	return socket, nil
}

// Run serves connections until the server is shut down; it returns an error if serving stops for any other reason.
func (l *Listener) Run() error {
	if err := l.Server.Serve(l.Socket); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "listener %s failed; restart the node", l.Name)
	}
	return nil
}

// Close shuts the server down gracefully; connections that are still active when the context ends are closed.
func (l *Listener) Close(ctx context.Context) {
	if l.Server.Shutdown(ctx) != nil {
		_ = l.Server.Close() // The context ended before the graceful shutdown completed.
	}
	_ = l.Socket.Close() // Already closed unless Run was never called.
}
