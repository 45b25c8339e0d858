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

// Open opens the address for the server.
func Open(name, address string, server *http.Server) (*Listener, error) {
	socket, err := Socket(name, address)
	if err != nil {
		return nil, err
	}
	return &Listener{Name: name, Socket: socket, Server: server}, nil
}

// Socket opens the address for a listener of the name that serves something other than HTTP.
func Socket(name, address string) (net.Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "open the listener %s on %s; choose an address of this VM that is free", name, address)
	}
	return socket, nil
}

// Run accepts connections until the server is shut down; any other end is an error.
func (l *Listener) Run() error {
	if err := l.Server.Serve(l.Socket); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "listener %s failed; restart the node", l.Name)
	}
	return nil
}

// Close ends idle connections and waits for the others until the context ends; then it breaks them off.
func (l *Listener) Close(ctx context.Context) {
	if l.Server.Shutdown(ctx) != nil {
		_ = l.Server.Close() // The time for a graceful end is over.
	}
	_ = l.Socket.Close() // Closed already unless serving never began.
}
