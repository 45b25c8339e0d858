package relay

import (
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// frameHeaderBytes is the size of the length that precedes each frame.
const frameHeaderBytes = 4

// FrameWriter writes a response body in frames, and an empty frame whenever it has written nothing for an interval. The
// receiver can thus tell a target that pauses within its answer from a connection that went silent. It is safe for
// concurrent use.
type FrameWriter struct {
	w        http.ResponseWriter
	interval time.Duration

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// FrameReader reads a body written by a FrameWriter.
type FrameReader struct {
	io.ReadCloser
	// OnIdle is called for each empty frame; nil ignores them.
	OnIdle func()

	head [frameHeaderBytes]byte
	left int
}

// NewFrameWriter returns a writer that sends empty frames until it is closed.
func NewFrameWriter(w http.ResponseWriter, interval time.Duration) *FrameWriter {
	f := &FrameWriter{w: w, interval: interval}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timer = time.AfterFunc(interval, f.writeEmpty)
	return f
}

// Write writes p as one frame; p must not exceed BlockBytes.
func (f *FrameWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timer.Reset(f.interval)
	if err := f.writeHeader(len(p)); err != nil {
		return 0, err
	}
	return f.w.Write(p)
}

// Flush sends the frames written so far.
func (f *FrameWriter) Flush() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.flush()
}

// Close ends the empty frames; afterwards the handler may return.
func (f *FrameWriter) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	f.timer.Stop()
}

func (f *FrameWriter) writeEmpty() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended || f.writeHeader(0) != nil { // The next frame with data reports that the connection failed.
		return
	}
	f.flush()
	f.timer.Reset(f.interval)
}

func (f *FrameWriter) writeHeader(length int) error {
	var head [frameHeaderBytes]byte
	binary.BigEndian.PutUint32(head[:], uint32(length))
	_, err := f.w.Write(head[:])
	return err
}

func (f *FrameWriter) flush() {
	if flusher, ok := f.w.(http.Flusher); ok {
		flusher.Flush()
	}
}

// NewFrameReader returns a reader of the framed body.
func NewFrameReader(body io.ReadCloser) *FrameReader {
	return &FrameReader{ReadCloser: body}
}

// Read reads from one frame; it fails with ErrBroken if a frame is malformed or cut.
func (f *FrameReader) Read(p []byte) (int, error) {
	for f.left == 0 {
		switch _, err := io.ReadFull(f.ReadCloser, f.head[:]); {
		case errors.Is(err, io.ErrUnexpectedEOF):
			return 0, eris.Wrap(ErrBroken, "the body ends within the length of a frame")
		case err != nil:
			return 0, err
		}
		length := binary.BigEndian.Uint32(f.head[:])
		if length > BlockBytes {
			return 0, eris.Wrapf(ErrBroken, "a frame of %d bytes exceeds %d", length, BlockBytes)
		}
		f.left = int(length)
		if length == 0 && f.OnIdle != nil {
			f.OnIdle()
		}
	}
	n, err := f.ReadCloser.Read(p[:min(len(p), f.left)])
	f.left -= n
	if errors.Is(err, io.EOF) {
		if f.left > 0 {
			return n, eris.Wrapf(ErrBroken, "the body ends %d bytes before the end of a frame", f.left)
		}
		err = nil // The next read returns the end of the body.
	}
	return n, err
}
