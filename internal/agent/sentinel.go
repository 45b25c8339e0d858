package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
)

const (
	// sentinelWait is the time that a busy system may take to close all connections of a process that has died. It
	// delays the answer of a request whose connection a live target reset.
	sentinelWait = 250 * time.Millisecond
	sentinelPoll = 5 * time.Millisecond
	// sentinelWindow is how long after the end of the connections a broken exchange counts as caused by it.
	sentinelWindow = 500 * time.Millisecond
	// sentinelStagger keeps the connections from reaching the idle timeout of the target at the same time.
	sentinelStagger = time.Second
	sentinelCount   = 2
)

// sentinel keeps connections to a target that carry no request. A process that dies closes all of them at once, so that
// a crash is told from a broken connection also when a supervisor has started the target again before the agent looks.
// A single connection would not do: a target closes connections that stay idle.
type sentinel struct {
	dial    relay.DialFunc
	address string
	stop    chan struct{}

	mu      sync.Mutex
	stopped bool
	watches [sentinelCount]watch
}

// watch is the state of one connection.
type watch struct {
	running bool
	conn    net.Conn
	ended   time.Time
}

func newSentinel(dial relay.DialFunc, address string) *sentinel {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &sentinel{dial: dial, address: address, stop: make(chan struct{})}
}

// start opens the connections that are not open; it is called at every announcement.
func (s *sentinel) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.watches {
		if !s.stopped && !s.watches[i].running {
			s.watches[i].running = true
			go s.run(i)
		}
	}
}

// close ends the connections. What is known about a death stays.
func (s *sentinel) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.stopped = true
	close(s.stop)
	for i := range s.watches {
		if conn := s.watches[i].conn; conn != nil {
			_ = conn.Close() // The reader ends with it.
		}
	}
}

// died reports whether all connections have just ended together.
func (s *sentinel) died() bool {
	for end := time.Now().Add(sentinelWait); ; time.Sleep(sentinelPoll) {
		died, open := s.look()
		if died || !open || time.Now().After(end) {
			return died
		}
	}
}

// look reports whether all connections have just ended, and whether one that is open may follow.
func (s *sentinel) look() (died, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := 0
	for _, w := range s.watches {
		if w.conn != nil {
			open = true
		} else if time.Since(w.ended) < sentinelWindow {
			ended++
		}
	}
	return ended == sentinelCount, open
}

// run keeps one connection open until the target refuses it or the watch ends.
func (s *sentinel) run(i int) {
	wait := time.Duration(i) * sentinelStagger
	for s.pause(wait) {
		ctx, cancel := context.WithTimeout(context.Background(), targetDialTimeout)
		conn, err := s.dial(ctx, "tcp", s.address)
		cancel()
		if err != nil || !s.opened(i, conn) {
			break
		}
		var one [1]byte
		_, _ = conn.Read(one[:]) // It returns when either side closes; a target sends nothing unasked.
		_ = conn.Close()
		s.ended(i)
		wait = sentinelWindow
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches[i].running = false
}

func (s *sentinel) opened(i int, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		_ = conn.Close() // Nothing was sent.
		return false
	}
	s.watches[i].conn = conn
	return true
}

func (s *sentinel) ended(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches[i].conn = nil
	if !s.stopped {
		s.watches[i].ended = time.Now()
	}
}

func (s *sentinel) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.stop:
		return false
	case <-timer.C:
		return true
	}
}
