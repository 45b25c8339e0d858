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

// respond streams the response of the target with its length and checksum.
func (x *exchange) respond(ctx context.Context, conn *relay.Conn, response *http.Response) ResultKind {
	x.interim.end()
	framed := x.mustFrame(conn, response)
	x.writeHeader(response, framed)
	if response.ContentLength < 0 || response.ContentLength > relay.BlockBytes {
		// An edge that stops reading must not hold the slot forever.
		control := http.NewResponseController(x.w)
		_ = control.SetWriteDeadline(x.deadline.Add(relay.DeadlineSlack))
		defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	}
	var sum relay.Checksum
	w, stop := x.bodyWriter(framed)
	stored, err := x.copyBody(ctx, conn, response, w, &sum)
	stop()
	if err != nil {
		conn.Close()
		x.failKey()
		return x.handleBrokenBody(ctx, sum.Length, err)
	}
	if relay.BodyAllowed(x.r.Method, response.StatusCode) {
		sum.WriteTrailer(x.w.Header())
	}
	conn.Release()
	if x.tracksKey() {
		x.agent.config.KeyLedger.Finish(x.key, stored.response(response))
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

// handleBrokenBody makes the server close the connection, so that the edge can't take the body as complete.
func (x *exchange) handleBrokenBody(ctx context.Context, length int64, err error) ResultKind {
	x.abort = true
	switch {
	case x.timedOut(ctx):
		x.abandon()
		return ResultTimeout
	case ctx.Err() != nil || errors.Is(err, errWrite):
		x.abandon()
		return ResultCanceled
	}
	_ = level.Warn(x.agent.config.Logger).Log("msg", "target broke off its answer", "service",
		x.local.target.Ref.Service, "target", x.local.target.Ref.ID, "bytes", length, "err", err)
	if x.agent.crashed(x) {
		return ResultCrashed
	}
	return ResultReset
}

// mustFrame reports whether the body is sent in frames, because the target may pause within it.
func (x *exchange) mustFrame(conn *relay.Conn, response *http.Response) bool {
	return x.r.Header.Get(model.HeaderFrames) != "" && relay.BodyAllowed(x.r.Method, response.StatusCode) && !conn.BufferedAll(response)
}

// bodyWriter returns the writer of the response body, and a function that ends its empty frames.
func (x *exchange) bodyWriter(framed bool) (w io.Writer, stop func()) {
	if !framed {
		return x.w, func() {}
	}
	frames := relay.NewFrameWriter(x.w, x.agent.config.InterimInterval)
	return frames, frames.Close
}

func (x *exchange) writeHeader(response *http.Response, framed bool) {
	h := x.w.Header()
	x.record.Status = response.StatusCode
	relay.CopyHeader(h, response.Header)
	h[model.HeaderOutcome] = []string{string(model.OutcomeDone)}
	h[model.HeaderLoad] = []string{x.local.limiter.Load().String()}
	x.setNoticeHeaders(h)
	if _, ok := h["Content-Type"]; !ok {
		// Prevents the server from sniffing a content type that the target did not state.
		h["Content-Type"] = nil
	}
	if x.closesConn() {
		h["Connection"] = []string{"close"}
	}
	if framed {
		h[model.HeaderFrames] = []string{"1"}
	}
	if response.ContentLength >= 0 {
		h[model.HeaderLength] = []string{strconv.FormatInt(response.ContentLength, 10)}
	}
	if relay.BodyAllowed(x.r.Method, response.StatusCode) {
		h["Trailer"] = []string{relay.Trailers}
	}
	x.w.WriteHeader(response.StatusCode)
}

// closesConn reports whether the connection must end with this response: the node shuts down, or a part of the request
// body is unread.
func (x *exchange) closesConn() bool {
	return x.agent.leaving.Load() || x.source != nil && !x.source.Ended()
}

var (
	// errWrite means that the edge no longer reads the response.
	errWrite = eris.New("the edge closed the connection; no action needed")
	// errTooLarge means that the response exceeds the bound on its size.
	errTooLarge = eris.New("the response of the target exceeds the size limit; restart the target")
)

// copyBody copies the body to w. It flushes only when it has to wait for more of the body, so that a short response and
// its trailer leave in one packet.
func (x *exchange) copyBody(ctx context.Context, conn *relay.Conn, response *http.Response, w io.Writer, sum *relay.Checksum) (*storedBody, error) {
	block := relay.GetBlock()
	defer relay.PutBlock(block)
	stored := &storedBody{wanted: x.tracksKey()}
	flusher, _ := w.(http.Flusher)
	body, maxBytes := response.Body, x.agent.config.MaxResponseBytes
	// While the target keeps sending, the reader never notices that the connection was closed at the deadline, so check
	// the context.
	for ctx.Err() == nil {
		n, err := relay.ReadBlock(body, block[:])
		if maxBytes > 0 && sum.Length+int64(n) > maxBytes {
			return nil, errTooLarge
		}
		if n > 0 {
			x.progress()
			sum.Add(block[:n])
			stored.add(block[:n])
			if _, err := w.Write(block[:n]); err != nil {
				return nil, errWrite
			}
			if flusher != nil && !conn.Buffered() && sum.Length != response.ContentLength {
				flusher.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return stored, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, ctx.Err()
}
