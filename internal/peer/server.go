package peer

import (
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/secret"
)

// maxConnections bounds the inbound connections; each of 670 nodes keeps at most one, and the margin allows for
// reconnects.
const maxConnections = 2048

// server accepts connections from other nodes and serves their calls.
type server struct {
	listener net.Listener
	secret   []byte
	accepted *secret.Set
	tls      func() *tls.Config
	counters *counters
	reject   func(source string, err error)
	rpc      *rpc.Server

	workers conc.WaitGroup
	mu      sync.Mutex
	closed  bool
	conns   map[net.Conn]struct{}
}

// accept accepts connections until the listener is closed.
func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		counted := &countedConn{Conn: conn, counters: s.counters}
		if !s.add(counted) {
			_ = conn.Close()
			continue
		}
		s.workers.Go(func() { s.serve(counted) })
	}
}

func (s *server) serve(raw net.Conn) {
	defer s.remove(raw)
	s.counters.bytesSent.Add(connectionOverhead / 2)
	s.counters.bytesReceived.Add(connectionOverhead / 2)
	source := raw.RemoteAddr().String()
	conn, err := secureServer(raw, s.tls)
	if err != nil {
		s.reject(source, err)
		return
	}
	keys, err := serverHandshake(conn, s.secret, s.accepted)
	if err != nil {
		s.reject(source, err)
		return
	}
	frame := newFrameConn(conn, keys.toServer, keys.toClient, serverIdle)
	s.rpc.ServeCodec(&serverCodec{frameCodec{frameConn: frame, reject: func(err error) { s.reject(source, err) }}})
}

func (s *server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *server) remove(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	_ = conn.Close()
}

func (s *server) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// close closes all connections; workers waits for their goroutines, which end soon after.
func (s *server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
}
