package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
)

const (
	// crashWait is the time that a busy system may need to close all connections of a dead process. It delays the
	// response to a request whose connection a live target reset.
	crashWait         = 250 * time.Millisecond
	crashPollInterval = 5 * time.Millisecond
	// crashWindow is how long after the end of the connections a broken exchange is attributed to a crash.
	crashWindow = 500 * time.Millisecond
	// livenessStagger keeps the connections from reaching the idle timeout of the target at the same time.
	livenessStagger   = time.Second
	livenessConnCount = 2
)

// livenessMonitor keeps connections to a target that carry no requests. A process that dies closes all of them at once,
// which distinguishes a crash from a broken connection even if a supervisor has restarted the target before the agent
// checks. A single connection would not suffice: a target closes connections that stay idle.
type livenessMonitor struct {
	dial    relay.DialFunc
	address string
	stop    chan struct{}

	mu      sync.Mutex
	stopped bool
	conns   [livenessConnCount]livenessConn
}

// livenessConn is the state of one connection.
type livenessConn struct {
	running bool
	conn    net.Conn
	ended   time.Time
}

func newLivenessMonitor(dial relay.DialFunc, address string) *livenessMonitor {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &livenessMonitor{dial: dial, address: address, stop: make(chan struct{})}
}

// start opens the connections that are not open; it is called at every announcement.
func (s *livenessMonitor) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.conns {
		if !s.stopped && !s.conns[i].running {
			s.conns[i].running = true
			go s.run(i)
		}
	}
}

// close closes the connections. A recorded end of the connections is kept.
func (s *livenessMonitor) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.stopped = true
	close(s.stop)
	for i := range s.conns {
		if conn := s.conns[i].conn; conn != nil {
			_ = conn.Close() // The reader ends with it.
		}
	}
}

// died reports whether all connections have just ended together.
func (s *livenessMonitor) died() bool {
	for end := time.Now().Add(crashWait); ; time.Sleep(crashPollInterval) {
		died, open := s.check()
		if died || !open || time.Now().After(end) {
			return died
		}
	}
}

// check reports whether all connections have just ended, and whether an open one may still end.
func (s *livenessMonitor) check() (died, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := 0
	for _, w := range s.conns {
		if w.conn != nil {
			open = true
		} else if time.Since(w.ended) < crashWindow {
			ended++
		}
	}
	return ended == livenessConnCount, open
}

// run keeps one connection open until the target refuses it or the monitor is closed.
func (s *livenessMonitor) run(i int) {
	wait := time.Duration(i) * livenessStagger
	for s.sleep(wait) {
		ctx, cancel := context.WithTimeout(context.Background(), targetDialTimeout)
		conn, err := s.dial(ctx, "tcp", s.address)
		cancel()
		if err != nil || !s.recordOpen(i, conn) {
			break
		}
		var one [1]byte
		_, _ = conn.Read(one[:]) // It returns when either side closes; a target sends nothing unasked.
		_ = conn.Close()
		s.recordEnd(i)
		wait = crashWindow
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[i].running = false
}

func (s *livenessMonitor) recordOpen(i int, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		_ = conn.Close() // Nothing was sent.
		return false
	}
	s.conns[i].conn = conn
	return true
}

func (s *livenessMonitor) recordEnd(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[i].conn = nil
	if !s.stopped {
		s.conns[i].ended = time.Now()
	}
}

func (s *livenessMonitor) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.stop:
		return false
	case <-timer.C:
		return true
	}
}
