package spool

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/notify"
)

const (
	// defaultBytes holds some seconds of lines at the highest measured load.
	defaultBytes = 1 << 20
	// ordinaryDivisor limits ordinary lines to 1/ordinaryDivisor of the buffer.
	ordinaryDivisor = 2
)

// Config configures a spool; Out is required.
type Config struct {
	Out io.Writer
	// Bytes bounds the buffered lines; default 1 MiB.
	Bytes int
}

// Spool buffers lines and writes them in the background.
type Spool struct {
	config      Config
	flushSignal notify.Signal
	stop        chan struct{}
	group       conc.WaitGroup

	mu       sync.Mutex
	lines    bytes.Buffer
	dropped  Dropped
	reported Dropped
	closed   bool
}

// Dropped counts the dropped lines.
type Dropped struct {
	Ordinary  uint64
	Important uint64
}

type lineWriter struct {
	spool     *Spool
	important bool
}

// New starts a spool; Close flushes and stops it.
func New(c Config) *Spool {
	if c.Bytes <= 0 {
		c.Bytes = defaultBytes
	}
	s := &Spool{config: c, flushSignal: notify.New(), stop: make(chan struct{})}
	s.group.Go(s.run)
	return s
}

// Ordinary returns the writer for lines that are dropped first.
func (s *Spool) Ordinary() io.Writer { return lineWriter{spool: s} }

// Important returns the writer for lines that explain failures and changes.
func (s *Spool) Important() io.Writer { return lineWriter{spool: s, important: true} }

// Dropped returns the number of lines dropped since the start.
func (s *Spool) Dropped() Dropped {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Close flushes the buffered lines and drops lines that are written later. It blocks as long as Out does.
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

// Write buffers or drops one line; it never blocks and never fails.
func (l lineWriter) Write(line []byte) (int, error) {
	s := l.spool
	s.mu.Lock()
	limit := s.config.Bytes
	if !l.important {
		limit /= ordinaryDivisor
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
		s.flushSignal.Raise()
	}
	return len(line), nil
}

func (s *Spool) run() {
	for {
		select {
		case <-s.stop:
			s.flush()
			return
		case <-s.flushSignal:
			s.flush()
		}
	}
}

// flush writes all buffered lines, followed by a report of dropped lines, in one call.
func (s *Spool) flush() {
	lines := s.drain()
	if len(lines) == 0 {
		return
	}
	_, _ = s.config.Out.Write(lines) // There is no other place to report a failed log write.
}

func (s *Spool) drain() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := bytes.Clone(s.lines.Bytes())
	s.lines.Reset()
	if s.dropped != s.reported {
		lines = fmt.Appendf(lines, `{"msg":"log lines dropped","ordinary":%d,"important":%d}`+"\n",
			s.dropped.Ordinary-s.reported.Ordinary, s.dropped.Important-s.reported.Important)
		s.reported = s.dropped
	}
	return lines
}
