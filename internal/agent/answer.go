package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

func (x *exchange) progress() {
	if x.handle != nil {
		x.handle.Progress()
	}
}

// answer streams the answer of the target with length and checksum.
func (x *exchange) answer(ctx context.Context, conn *relay.Conn, response *http.Response) ResultKind {
	x.interim.end()
	x.writeHeader(response)
	if response.ContentLength < 0 || response.ContentLength > relay.BlockBytes {
		// An edge that stops reading must not hold the slot for ever.
		control := http.NewResponseController(x.w)
		_ = control.SetWriteDeadline(x.deadline.Add(relay.DeadlineSlack))
		defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	}
	var sum relay.Checksum
	kept, err := x.copyBody(ctx, conn, response, &sum)
	if err != nil {
		conn.Close()
		x.fail()
		return x.brokenBody(ctx, sum.Length, err)
	}
	if relay.BodyAllowed(x.r.Method, response.StatusCode) {
		sum.WriteTrailer(x.w.Header())
	}
	conn.Release()
	if x.keyed() {
		x.agent.config.KeyLedger.Finish(x.key, kept.answer(response))
	}
	switch {
	case response.StatusCode == http.StatusGatewayTimeout && time.Until(x.deadline) < deadlineSlack:
		return ResultOverdue
	case response.StatusCode >= http.StatusInternalServerError:
		return ResultError
	default:
		return ResultOK
	}
}

// brokenBody makes the server close the connection, so that the edge can't take the body as complete.
func (x *exchange) brokenBody(ctx context.Context, length int64, err error) ResultKind {
	x.abort = true
	switch {
	case x.timedOut(ctx):
		return ResultTimeout
	case ctx.Err() != nil || errors.Is(err, errWrite):
		return ResultCanceled
	}
	_ = level.Warn(x.agent.config.Logger).Log("msg", "target broke off its answer", "service",
		x.local.target.Ref.Service, "target", x.local.target.Ref.ID, "bytes", length, "err", err)
	if x.agent.crashed(x) {
		return ResultCrashed
	}
	return ResultReset
}

func (x *exchange) writeHeader(response *http.Response) {
	h := x.w.Header()
	x.record.Status = response.StatusCode
	relay.CopyHeader(h, response.Header)
	h[model.HeaderOutcome] = []string{string(model.OutcomeDone)}
	h[model.HeaderLoad] = []string{x.local.limiter.Load().String()}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps the server from guessing a type that the target did not state.
		h["Content-Type"] = nil
	}
	if x.closes() {
		h["Connection"] = []string{"close"}
	}
	if response.ContentLength >= 0 {
		h[model.HeaderLength] = []string{strconv.FormatInt(response.ContentLength, 10)}
	}
	if relay.BodyAllowed(x.r.Method, response.StatusCode) {
		h["Trailer"] = []string{relay.Trailers}
	}
	x.w.WriteHeader(response.StatusCode)
}

// closes reports whether the connection must end with this answer: the node leaves, or a part of the body is unread.
func (x *exchange) closes() bool {
	return x.agent.leaving.Load() || x.source != nil && !x.source.Ended()
}

var (
	// errWrite marks that the edge no longer takes the answer.
	errWrite = eris.New("the edge closed the connection; nothing to do")
	// errEndless marks an answer beyond the bound on its size.
	errEndless = eris.New("the target sends an answer without end; restart it")
)

// copyBody flushes only when it has to wait for more of the body, so that a short answer and its trailer leave in one
// packet.
func (x *exchange) copyBody(ctx context.Context, conn *relay.Conn, response *http.Response, sum *relay.Checksum) (*keptBody, error) {
	block := relay.GetBlock()
	defer relay.PutBlock(block)
	kept := &keptBody{wanted: x.keyed()}
	flusher, _ := x.w.(http.Flusher)
	body, most := response.Body, x.agent.config.MaxResponseBytes
	// A target that never stops sending keeps the reader from seeing that the connection was closed at the deadline.
	for ctx.Err() == nil {
		n, err := relay.ReadBlock(body, block[:])
		if most > 0 && sum.Length+int64(n) > most {
			return nil, errEndless
		}
		if n > 0 {
			x.progress()
			sum.Add(block[:n])
			kept.add(block[:n])
			if _, err := x.w.Write(block[:n]); err != nil {
				return nil, errWrite
			}
			if flusher != nil && !conn.Buffered() && sum.Length != response.ContentLength {
				flusher.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return kept, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, ctx.Err()
}
