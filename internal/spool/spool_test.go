package spool

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks every write until the test ends, like a pipe whose reader has stopped reading.
type blockedWriter struct{ release chan struct{} }

// Write blocks until release is closed.
func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

// Write appends while holding the lock.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// Guards against requests that block on a log output that is not read, and against lines about failures that are
// dropped before ordinary ones.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	s := New(Config{Out: out, Bytes: 1000})
	line := []byte(strings.Repeat("x", 99) + "\n")
	begin := time.Now()
	for range 10_000 {
		_, err := s.Ordinary().Write(line)
		require.NoError(t, err)
	}
	_, err := s.Important().Write(line)
	require.NoError(t, err)
	require.Less(t, time.Since(begin), time.Second)
	dropped := s.Dropped()
	require.Zero(t, dropped.Important, "half of the buffer is reserved for important lines")
	require.GreaterOrEqual(t, dropped.Ordinary, uint64(9_980))
	close(out.release)
	s.Close()
}

// Guards against lines that are lost, split or written out of order, and against dropped lines that are not reported.
func TestLinesAreWrittenInOrder(t *testing.T) {
	var out syncBuffer
	s := New(Config{Out: &out, Bytes: 64})
	_, _ = s.Important().Write([]byte("first\n"))
	_, _ = s.Important().Write([]byte("second\n"))
	_, _ = s.Ordinary().Write(bytes.Repeat([]byte("y"), 100))
	_, _ = s.Important().Write([]byte("third\n"))
	s.Close()
	require.Contains(t, out.String(), `{"msg":"log lines dropped","ordinary":1,"important":0}`)
	kept := strings.ReplaceAll(out.String(), `{"msg":"log lines dropped","ordinary":1,"important":0}`+"\n", "")
	require.Equal(t, "first\nsecond\nthird\n", kept)
}
