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

// confirmWait bounds the wait for the body of an admitted request, during which it holds its slot. It covers a round trip
// between regions and one lost packet.
const confirmWait = time.Second

// heldBody is the start of a body that was read before the request ran.
type heldBody struct {
	block *[relay.BlockBytes]byte
	start []byte
	// rest is what follows; it is nil when start is the whole body.
	rest   *relay.InboundBody
	length int64
}

// confirm tells an edge that sends in two steps that the request is admitted, and waits for the start of its body. An edge
// that has given up sends none, and the request must not run then.
func (x *exchange) confirm(ctx context.Context) bool {
	if x.r.Header.Get("Expect") == "" || !x.negotiated {
		return true
	}
	control := http.NewResponseController(x.w)
	_ = control.EnableFullDuplex() // Only the answer to a long body would start later.
	x.interim.sendStatus(http.StatusContinue)
	_ = control.SetReadDeadline(time.Now().Add(confirmWait)) // Without it the wait ends with the connection.
	x.held = &heldBody{block: relay.GetBlock(), length: x.r.ContentLength}
	n, err := io.ReadFull(x.r.Body, x.held.block[:])
	x.held.start = x.held.block[:n]
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && (x.held.length < 0 || x.held.length == int64(n)):
		x.held.length = int64(n)
	case err != nil:
		return false
	case x.held.length != int64(n):
		x.held.rest = relay.NewInboundBody(x.w, x.r.Body)
		x.source = x.held.rest
	default:
		// The server watches for an edge that goes away once it has read the end of the body.
		_, _ = x.r.Body.Read(x.held.block[:0])
	}
	_ = control.SetReadDeadline(time.Time{})
	return ctx.Err() == nil
}

// attach sets the body of the request to the target.
func (b *heldBody) attach(r *relay.Request) {
	r.ContentLength = b.length
	if b.length == 0 {
		return
	}
	r.Body = io.Reader(bytes.NewReader(b.start))
	if b.rest != nil {
		r.Body, r.InboundBody = io.MultiReader(r.Body, b.rest), b.rest
	}
}

// release returns the memory; a nil body holds none.
func (b *heldBody) release() {
	if b != nil && b.block != nil {
		relay.PutBlock(b.block)
		b.block = nil
	}
}
