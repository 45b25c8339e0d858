package edge

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
)

// body is the body of a caller's request. A body of up to one block is buffered, so that it can be sent again; of a
// larger one only the first block is buffered until it is sent.
type body struct {
	source   *relay.InboundBody
	block    *[relay.BlockBytes]byte
	data     []byte
	length   int64
	buffered bool
	consumed bool
	// reading tells that the edge has started to read the body, so that net/http does not consume the rest of it.
	reading bool
}

// read reads the first block; it fails if the caller sends less than the stated length, or not before the deadline.
func (b *body) read(w http.ResponseWriter, r *http.Request, deadline time.Time) error {
	b.length = r.ContentLength
	if r.ContentLength == 0 {
		b.buffered = true
		return nil
	}
	// The response may start before the complete body is read, and a caller that stops sending must not block the
	// request.
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	_ = control.SetReadDeadline(deadline)
	b.reading = true
	b.block = relay.GetBlock()
	n, err := io.ReadFull(r.Body, b.block[:])
	b.data = b.block[:n]
	switch {
	case err == nil && b.length == int64(n):
		// net/http watches for a disconnect of the caller only after it has read the end of the body.
		_, _ = r.Body.Read(b.block[:0])
		b.buffered = true
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && (b.length < 0 || b.length == int64(n)):
		b.buffered = true
		b.length = int64(n)
	case err != nil:
		return err
	}
	if b.buffered {
		_ = control.SetReadDeadline(time.Time{})
		return nil
	}
	_ = control.SetReadDeadline(deadline.Add(relay.DeadlineSlack))
	b.source = relay.NewInboundBody(w, r.Body)
	return nil
}

// replayable reports whether the complete body can be sent again.
func (b *body) replayable() bool {
	return b.buffered || !b.consumed
}

// fullyRead reports whether the complete body has been read from the caller.
func (b *body) fullyRead() bool {
	return b.buffered || b.source != nil && b.source.Ended()
}

// attach sets the body of an attempt.
func (b *body) attach(r *relay.Request) {
	r.ContentLength = b.length
	if b.length == 0 {
		return
	}
	if b.buffered {
		r.Body = bytes.NewReader(b.data)
		return
	}
	r.ExpectContinue = true
	r.Body = io.MultiReader(bytes.NewReader(b.data), consumeReader{b})
	r.InboundBody = b.source
}

// attachAfterAdmission delays the body until the agent has admitted the request. A request without a body gets an empty
// chunked one for this purpose.
func (b *body) attachAfterAdmission(r *relay.Request) {
	r.ExpectContinue, r.NoTimeoutAfterContinue = true, true
	if b.length == 0 {
		r.Body, r.ContentLength = bytes.NewReader(nil), -1
	}
}

// release returns the block to its pool; the body must not be read afterwards.
func (b *body) release() {
	if b.block != nil {
		relay.PutBlock(b.block)
		b.block = nil
	}
}

// consumeReader records that bytes beyond the first block were read from the caller.
type consumeReader struct {
	body *body
}

// Read reads from the caller.
func (s consumeReader) Read(p []byte) (int, error) {
	s.body.consumed = true
	return s.body.source.Read(p)
}
