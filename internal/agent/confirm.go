package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
)

// confirmTimeout bounds the wait for the body of an admitted request, which holds its slot meanwhile. It covers a round
// trip between regions and one lost packet.
const confirmTimeout = time.Second

// bufferedBody is the start of a request body that was read before the request ran.
type bufferedBody struct {
	block *[relay.BlockBytes]byte
	start []byte
	// rest is the remaining body; it is nil when start is the whole body.
	rest   *relay.InboundBody
	length int64
}

// confirm sends 100 Continue to an edge that waits for admission before it sends the body, and waits for the start of
// the body. An edge that has given up sends none, and the request must not run then.
func (x *exchange) confirm(ctx context.Context) bool {
	if x.r.Header.Get("Expect") == "" || !x.negotiated {
		return true
	}
	control := http.NewResponseController(x.w)
	_ = control.EnableFullDuplex() // On failure, only the response to a long body starts later.
	x.interim.sendStatus(http.StatusContinue)
	_ = control.SetReadDeadline(time.Now().Add(confirmTimeout)) // On failure, the wait ends with the connection.
	x.buffered = &bufferedBody{block: relay.GetBlock(), length: x.r.ContentLength}
	n, err := io.ReadFull(x.r.Body, x.buffered.block[:])
	x.buffered.start = x.buffered.block[:n]
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && (x.buffered.length < 0 || x.buffered.length == int64(n)):
		x.buffered.length = int64(n)
	case err != nil:
		return false
	case x.buffered.length != int64(n):
		x.buffered.rest = relay.NewInboundBody(x.w, x.r.Body)
		x.source = x.buffered.rest
	default:
		// Once the end of the body is read, the server detects an edge that closes the connection.
		_, _ = x.r.Body.Read(x.buffered.block[:0])
	}
	_ = control.SetReadDeadline(time.Time{})
	return ctx.Err() == nil
}

// attach sets the body of the request to the target.
func (b *bufferedBody) attach(r *relay.Request) {
	r.ContentLength = b.length
	if b.length == 0 {
		return
	}
	r.Body = io.Reader(bytes.NewReader(b.start))
	if b.rest != nil {
		r.Body, r.InboundBody = io.MultiReader(r.Body, b.rest), b.rest
	}
}

// release returns the buffer to its pool; a nil body holds none.
func (b *bufferedBody) release() {
	if b != nil && b.block != nil {
		relay.PutBlock(b.block)
		b.block = nil
	}
}
