package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/retry"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// unknownLength marks a body whose length is known only from its trailer.
const unknownLength = -1

// errCallerGone means that the caller no longer reads the response.
var errCallerGone = eris.New("the caller closed the connection; nothing to do")

// delivery copies the response body of one exchange to the caller.
type delivery struct {
	request  *request
	exchange *exchange
	length   int64
	written  int64
	sum      relay.Checksum
	idle     time.Duration
	// unbuffered means that the node has no room to buffer the body.
	unbuffered bool
}

// deliver copies the response to the caller; the failure is nil if the caller has the complete response.
func (q *request) deliver(ctx context.Context, x *exchange) (*delivery, *failure) {
	d := &delivery{request: q, exchange: x, length: lengthOf(x.response.Header), idle: q.edge.config.BodyIdleTimeout}
	if q.match.Route.Resumable {
		d.idle = q.edge.config.ResumableIdleTimeout
	}
	if !relay.BodyAllowed(q.r.Method, x.response.StatusCode) {
		d.writeHeader()
		x.conn.Release()
		return d, nil
	}
	if frames, ok := x.response.Body.(*relay.FrameReader); ok {
		frames.OnIdle = func() { x.conn.SetReadTimeout(d.idle) } // The target pauses, but the path to its agent works.
	}
	err := d.copy(ctx)
	if err == nil {
		d.checkDelivered()
		q.edge.responseSizes.add(q.match.Route.Name, d.sum.Length)
		x.conn.Release()
		return d, nil
	}
	x.conn.Close()
	return d, d.bodyFailure(ctx, err)
}

// checkDelivered asserts that the caller got as many bytes as the response stated.
func (d *delivery) checkDelivered() {
	invar.Check(d.length < 0 || d.written == d.length, "edge", "delivered %d of %d bytes as complete", d.written, d.length)
}

func (d *delivery) bodyFailure(ctx context.Context, err error) *failure {
	switch {
	case errors.Is(err, errCallerGone), errors.Is(ctx.Err(), context.Canceled):
		return &failure{result: retry.InDoubt, kind: ResultCanceled, reason: "the caller went away"}
	case ctx.Err() != nil:
		return &failure{result: retry.InDoubt, kind: ResultTimeout, reason: relay.ReasonTimeout}
	}
	d.exchange.log("response body ended early", err)
	f := &failure{result: retry.InDoubt, kind: ResultReset, reason: "the answer of the target broke off", retryable: true}
	if errors.Is(err, relay.ErrChecksum) && d.request.sentHeader {
		// The bytes that were already delivered may be corrupt, which another target cannot repair.
		f.retryable = false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The target or the network path stopped responding; other connections to the agent may be affected too.
		d.exchange.pool.CloseIdle()
		f.kind = ResultPathFailure
	}
	return f
}

// copy copies the body. It withholds the end of a body of known length until the trailer is verified, because the last
// byte makes the body complete for the caller. A body of unknown length is not withheld, as it is terminated only
// after the check.
func (d *delivery) copy(ctx context.Context) error {
	block := relay.GetBlock()
	defer relay.PutBlock(block)
	buffer := block[:]
	buffered := 0
	for ctx.Err() == nil {
		d.exchange.conn.SetReadTimeout(d.idle)
		n, err := relay.ReadBlock(d.exchange.response.Body, buffer[buffered:])
		if n > 0 && d.exchange.handle != nil {
			d.exchange.handle.Progress()
		}
		d.sum.Add(buffer[buffered : buffered+n])
		buffered += n
		if errors.Is(err, io.EOF) {
			return d.finish(buffer[:buffered])
		}
		if err != nil {
			return err
		}
		if buffered == len(buffer) && d.sum.Length != d.length && d.mustBuffer() && d.reserve(len(buffer)) {
			buffer = append(buffer, make([]byte, len(buffer))...)
			continue
		}
		if buffered == len(buffer) || !d.mustBuffer() {
			if d.sum.Length == d.length {
				if err := d.checkEnd(); err != nil {
					return err
				}
				return d.write(buffer[:buffered])
			}
			if err := d.write(buffer[:buffered]); err != nil {
				return err
			}
			buffered = 0
		}
	}
	return ctx.Err()
}

// reserve accounts for the growth of the buffer. Without room the body is delivered as it arrives.
func (d *delivery) reserve(bytes int) bool {
	if m := d.request.edge.config.Memory; m != nil && !m.Reserve(d.request.r.Context(), int64(bytes)) {
		d.unbuffered = true
	}
	return !d.unbuffered
}

// mustBuffer reports whether the bytes read so far must be buffered until the body is complete. If a buffered response
// fails, the caller has received nothing of it and another target can serve the request.
func (d *delivery) mustBuffer() bool {
	limit := int64(d.request.edge.config.BufferBytes)
	if d.unbuffered {
		return d.length >= 0 && d.sum.Length >= d.length
	}
	if d.length < 0 {
		return limit > relay.BlockBytes && d.sum.Length < limit
	}
	return d.length <= limit || d.sum.Length >= d.length
}

// checkEnd checks that the body ends after the stated number of bytes, and verifies the trailer.
func (d *delivery) checkEnd() error {
	var one [1]byte
	n, err := d.exchange.response.Body.Read(one[:])
	if n > 0 || err == nil {
		return eris.Wrap(relay.ErrChecksum, "the body is longer than announced")
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	return d.verify()
}

func (d *delivery) finish(buffered []byte) error {
	if err := d.verify(); err != nil {
		return err
	}
	return d.write(buffered)
}

func (d *delivery) verify() error {
	if d.length >= 0 && d.sum.Length != d.length {
		return eris.Wrapf(relay.ErrChecksum, "got %d of %d bytes", d.sum.Length, d.length)
	}
	return d.sum.Verify(d.exchange.response.Trailer)
}

func (d *delivery) write(p []byte) error {
	if !d.request.sentHeader {
		d.writeHeader()
	}
	if len(p) == 0 {
		return nil
	}
	n, err := d.request.w.Write(p)
	d.written += int64(n)
	if err != nil {
		return errCallerGone
	}
	if d.length < 0 && !d.exchange.conn.Buffered() {
		if flusher, ok := d.request.w.(http.Flusher); ok {
			flusher.Flush()
		}
	}
	return nil
}

func (d *delivery) writeHeader() {
	q := d.request
	h := q.w.Header()
	relay.CopyHeader(h, d.exchange.response.Header)
	h[model.HeaderOutcome] = []string{string(model.OutcomeDone)}
	if d.length >= 0 && d.exchange.response.StatusCode != http.StatusNoContent {
		h["Content-Length"] = []string{strconv.FormatInt(d.length, 10)}
	}
	if _, ok := h["Content-Type"]; !ok {
		// Prevents net/http from guessing a type that the target did not state.
		h["Content-Type"] = nil
	}
	if !q.body.fullyRead() {
		h["Connection"] = []string{"close"}
	}
	q.sentHeader = true
	q.status = d.exchange.response.StatusCode
	if d.length < 0 || d.length > relay.BlockBytes {
		// A caller that stops reading must not occupy a slot of the target forever.
		d.setWriteDeadline()
	}
	q.w.WriteHeader(d.exchange.response.StatusCode)
}

func (d *delivery) setWriteDeadline() {
	control := http.NewResponseController(d.request.w)
	if control.SetWriteDeadline(d.request.deadline.Add(relay.DeadlineSlack)) == nil {
		d.request.writeControl = control
	}
}

func lengthOf(h http.Header) int64 {
	length, err := strconv.ParseInt(h.Get(model.HeaderLength), 10, 64)
	if err != nil || length < 0 {
		return unknownLength
	}
	return length
}
