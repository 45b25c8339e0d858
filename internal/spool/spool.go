package spool

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/wake"
)

const (
	// defaultBytes holds some seconds of lines at the heaviest load that was measured.
	defaultBytes = 1 << 20
	// ordinaryShare is the part of the buffer that ordinary lines may fill.
	ordinaryShare = 2
)

// Config describes a spool; Out is required.
type Config struct {
	Out io.Writer
	// Bytes bounds the lines that wait; default 1 MiB.
	Bytes int
}

// Spool writes lines in the background.
type Spool struct {
	config Config
	due    wake.Signal
	stop   chan struct{}
	group  conc.WaitGroup

	mu      sync.Mutex
	lines   bytes.Buffer
	dropped Dropped
	told    Dropped
	closed  bool
}

// Dropped counts the lines that were lost.
type Dropped struct {
	Ordinary  uint64
	Important uint64
}

type lane struct {
	spool     *Spool
	important bool
}

// New starts a spool; Close writes what waits and ends it.
func New(c Config) *Spool {
	if c.Bytes <= 0 {
		c.Bytes = defaultBytes
	}
	s := &Spool{config: c, due: wake.New(), stop: make(chan struct{})}
	s.group.Go(s.run)
	return s
}

// Ordinary returns the writer of lines that may be dropped first.
func (s *Spool) Ordinary() io.Writer { return lane{spool: s} }

// Important returns the writer of lines that explain failures and changes.
func (s *Spool) Important() io.Writer { return lane{spool: s, important: true} }

// Dropped returns the lines that were lost since the start.
func (s *Spool) Dropped() Dropped {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Close writes the lines that wait; lines written later are dropped. It blocks as long as Out does.
func (s *Spool) Close() {
	s.mu.Lock()
	closed := s.closed
	s.closed = true
	s.mu.Unlock()
	if !closed {
		close(s.stop)
	}
	s.group.Wait()
}

// Write takes one line; it never blocks and never fails.
func (l lane) Write(line []byte) (int, error) {
	s := l.spool
	s.mu.Lock()
	limit := s.config.Bytes
	if !l.important {
		limit /= ordinaryShare
	}
	fits := !s.closed && s.lines.Len()+len(line) <= limit
	switch {
	case fits:
		s.lines.Write(line)
	case l.important:
		s.dropped.Important++
	default:
		s.dropped.Ordinary++
	}
	s.mu.Unlock()
	if fits {
		s.due.Raise()
	}
	return len(line), nil
}

func (s *Spool) run() {
	for {
		select {
		case <-s.stop:
			s.flush()
			return
		case <-s.due:
			s.flush()
		}
	}
}

// flush writes all lines in one call, and how many were lost before them.
func (s *Spool) flush() {
	lines := s.take()
	if len(lines) == 0 {
		return
	}
	_, _ = s.config.Out.Write(lines) // There is no other place to report a broken log.
}

func (s *Spool) take() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := bytes.Clone(s.lines.Bytes())
	s.lines.Reset()
	if s.dropped != s.told {
		lines = fmt.Appendf(lines, `{"msg":"log lines dropped","ordinary":%d,"important":%d}`+"\n",
			s.dropped.Ordinary-s.told.Ordinary, s.dropped.Important-s.told.Important)
		s.told = s.dropped
	}
	return lines
}
