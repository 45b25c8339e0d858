package edge

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
)

// body is the body of a caller's request. Bodies of up to one block are held in memory, so that they can be sent
// again; of larger ones only the first block is held until it is sent.
type body struct {
	source  *relay.InboundBody
	block   *[relay.BlockBytes]byte
	held    []byte
	length  int64
	whole   bool
	started bool
	// begun tells that the edge itself reads the body, so that the server does not take the rest of it.
	begun bool
}

// read reads the first block; it fails when the caller sends less than announced.
func (b *body) read(w http.ResponseWriter, r *http.Request, deadline time.Time) error {
	b.length = r.ContentLength
	if r.ContentLength == 0 {
		b.whole = true
		return nil
	}
	// An answer may start before the whole body is read, and a caller that stops sending must not hold the request.
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	_ = control.SetReadDeadline(deadline.Add(relay.DeadlineSlack))
	b.begun = true
	b.block = relay.GetBlock()
	n, err := io.ReadFull(r.Body, b.block[:])
	b.held = b.block[:n]
	switch {
	case err == nil && b.length == int64(n):
		// The server starts to watch for a caller that goes away once it has read the end of the body.
		_, _ = r.Body.Read(b.block[:0])
		b.whole = true
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && (b.length < 0 || b.length == int64(n)):
		b.whole = true
		b.length = int64(n)
	case err != nil:
		return err
	}
	if b.whole {
		_ = control.SetReadDeadline(time.Time{})
		return nil
	}
	b.source = relay.NewInboundBody(w, r.Body)
	return nil
}

// repeatable reports whether the whole body can be sent once more.
func (b *body) repeatable() bool {
	return b.whole || !b.started
}

// complete reports whether the whole body has been read from the caller.
func (b *body) complete() bool {
	return b.whole || b.source != nil && b.source.Ended()
}

// attach sets the body of an attempt.
func (b *body) attach(r *relay.Request) {
	r.ContentLength = b.length
	if b.length == 0 {
		return
	}
	if b.whole {
		r.Body = bytes.NewReader(b.held)
		return
	}
	r.ExpectContinue = true
	r.Body = io.MultiReader(bytes.NewReader(b.held), startReader{b})
	r.InboundBody = b.source
}

// attachAfterAdmission makes the body follow only after the agent has admitted the request. A request without a body sends
// an empty one for that.
func (b *body) attachAfterAdmission(r *relay.Request) {
	r.ExpectContinue, r.NoTimeoutAfterContinue = true, true
	if b.length == 0 {
		r.Body, r.ContentLength = bytes.NewReader(nil), -1
	}
}

// release returns the memory; no attempt may read the body any more.
func (b *body) release() {
	if b.block != nil {
		relay.PutBlock(b.block)
		b.block = nil
	}
}

// startReader notes that bytes behind the held block were taken from the caller.
type startReader struct {
	body *body
}

// Read reads from the caller.
func (s startReader) Read(p []byte) (int, error) {
	s.body.started = true
	return s.body.source.Read(p)
}
