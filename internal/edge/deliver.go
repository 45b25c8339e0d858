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

// unknownLength is the length of a body that is told only by the trailer.
const unknownLength = -1

// errCaller means that the caller no longer takes the answer.
var errCaller = eris.New("the caller closed the connection; nothing to do")

// delivery copies the body of one leg to the caller.
type delivery struct {
	request *request
	leg     *leg
	length  int64
	written int64
	sum     relay.Checksum
	idle    time.Duration
}

// deliver copies the answer to the caller; it returns no failure when the caller has the whole answer.
func (q *request) deliver(ctx context.Context, l *leg) (*delivery, *failure) {
	d := &delivery{request: q, leg: l, length: lengthOf(l.response.Header), idle: q.edge.config.BodyIdleTimeout}
	if q.match.Route.Resumable {
		d.idle = q.edge.config.ResumableIdleTimeout
	}
	if !relay.BodyAllowed(q.r.Method, l.response.StatusCode) {
		d.writeHeader()
		l.conn.Release()
		return d, nil
	}
	err := d.copy(ctx)
	if err == nil {
		d.checkWhole()
		q.edge.sizes.add(q.match.Route.Name, d.sum.Length)
		l.conn.Release()
		return d, nil
	}
	l.conn.Close()
	return d, d.failed(ctx, err)
}

// checkWhole asserts that the caller got as many bytes as the answer stated.
func (d *delivery) checkWhole() {
	invar.Check(d.length < 0 || d.written == d.length, "edge", "delivered %d of %d bytes as whole", d.written, d.length)
}

func (d *delivery) failed(ctx context.Context, err error) *failure {
	switch {
	case errors.Is(err, errCaller), errors.Is(ctx.Err(), context.Canceled):
		return &failure{result: retry.InDoubt, kind: ResultCanceled, reason: "the caller went away"}
	case ctx.Err() != nil:
		return &failure{result: retry.InDoubt, kind: ResultTimeout, reason: relay.ReasonTimeout}
	}
	d.leg.log("answer broke off", err)
	f := &failure{result: retry.InDoubt, kind: ResultReset, reason: "the answer of the target broke off", repeat: true}
	if errors.Is(err, relay.ErrChecksum) && d.request.sentHeader {
		// The bytes that the caller has may be wrong; no other target can mend them.
		f.repeat = false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// Target or path went silent; the siblings of the connection may be silent too.
		d.leg.pool.CloseIdle()
		f.kind = ResultPathFailure
	}
	return f
}

// copy holds back the end of a body of known length until its trailer is checked, because the caller takes the body as
// complete with its last byte. A body of unknown length is complete only with the end that follows the check.
func (d *delivery) copy(ctx context.Context) error {
	block := relay.GetBlock()
	defer relay.PutBlock(block)
	buffer := block[:]
	held := 0
	for ctx.Err() == nil {
		d.leg.conn.SetReadTimeout(d.idle)
		n, err := relay.ReadBlock(d.leg.response.Body, buffer[held:])
		if n > 0 && d.leg.handle != nil {
			d.leg.handle.Progress()
		}
		d.sum.Add(buffer[held : held+n])
		held += n
		if errors.Is(err, io.EOF) {
			return d.end(buffer[:held])
		}
		if err != nil {
			return err
		}
		if held == len(buffer) && d.sum.Length != d.length && d.holdsBack() {
			buffer = append(buffer, make([]byte, len(buffer))...)
			continue
		}
		if held == len(buffer) || !d.holdsBack() {
			if d.sum.Length == d.length {
				if err := d.checkEnd(); err != nil {
					return err
				}
				return d.write(buffer[:held])
			}
			if err := d.write(buffer[:held]); err != nil {
				return err
			}
			held = 0
		}
	}
	return ctx.Err()
}

// holdsBack reports whether the bytes read so far must wait for the rest of the body: a caller takes nothing of an answer
// that breaks off, so that another target can give the whole one.
func (d *delivery) holdsBack() bool {
	limit := int64(d.request.edge.config.BufferBytes)
	if d.length < 0 {
		return limit > relay.BlockBytes && d.sum.Length < limit
	}
	return d.length <= limit || d.sum.Length >= d.length
}

// checkEnd reads the end of a body whose bytes all have been read, and checks the trailer.
func (d *delivery) checkEnd() error {
	var one [1]byte
	n, err := d.leg.response.Body.Read(one[:])
	if n > 0 || err == nil {
		return eris.Wrap(relay.ErrChecksum, "the body is longer than announced")
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	return d.verify()
}

func (d *delivery) end(held []byte) error {
	if err := d.verify(); err != nil {
		return err
	}
	return d.write(held)
}

func (d *delivery) verify() error {
	if d.length >= 0 && d.sum.Length != d.length {
		return eris.Wrapf(relay.ErrChecksum, "got %d of %d bytes", d.sum.Length, d.length)
	}
	return d.sum.Verify(d.leg.response.Trailer)
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
		return errCaller
	}
	if d.length < 0 && !d.leg.conn.Buffered() {
		if flusher, ok := d.request.w.(http.Flusher); ok {
			flusher.Flush()
		}
	}
	return nil
}

func (d *delivery) writeHeader() {
	q := d.request
	h := q.w.Header()
	relay.CopyHeader(h, d.leg.response.Header)
	h[model.HeaderOutcome] = []string{string(model.OutcomeDone)}
	if d.length >= 0 && d.leg.response.StatusCode != http.StatusNoContent {
		h["Content-Length"] = []string{strconv.FormatInt(d.length, 10)}
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps the server from guessing a type that the target did not state.
		h["Content-Type"] = nil
	}
	if !q.body.complete() {
		h["Connection"] = []string{"close"}
	}
	q.sentHeader = true
	q.status = d.leg.response.StatusCode
	if d.length < 0 || d.length > relay.BlockBytes {
		// A caller that stops reading must not hold a slot of the target for ever.
		d.limitWrites()
	}
	q.w.WriteHeader(d.leg.response.StatusCode)
}

func (d *delivery) limitWrites() {
	control := http.NewResponseController(d.request.w)
	if control.SetWriteDeadline(d.request.deadline.Add(relay.DeadlineSlack)) == nil {
		d.request.limited = control
	}
}

func lengthOf(h http.Header) int64 {
	length, err := strconv.ParseInt(h.Get(model.HeaderLength), 10, 64)
	if err != nil || length < 0 {
		return unknownLength
	}
	return length
}
