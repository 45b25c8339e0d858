package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/retry"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// span is a byte range of a representation, with both ends included.
type span struct {
	first, last, total int64
}

// resumption continues a download from other targets after its response ended early.
type resumption struct {
	request  *request
	span     span
	validate string
	// next is the offset of the first byte that the caller has not received.
	next int64
}

// resume fetches the rest of a download that ended early. It returns nil if the caller has the complete body, and the
// failure to report otherwise.
func (q *request) resume(ctx context.Context, d *delivery, f *failure) *failure {
	r := newResumption(d)
	if r == nil || !f.retryable {
		return f
	}
	for q.attempts < retry.MaxAttempts && ctx.Err() == nil && !q.isPoison(f) && q.edge.budget(q.match.Service).Withdraw() {
		choice, err := q.edge.config.Picker.Pick(PickRequest{
			Service: q.service, Route: q.match.Route, Idempotent: true, Tried: q.tried,
		})
		if err != nil {
			return f
		}
		q.attempts++
		q.edge.counters.resumptions.Add(1)
		x := q.newExchange(choice)
		if f.kind == ResultPathFailure {
			q.reuse = relay.ConnNew
		}
		f = r.fetch(ctx, x)
		x.finish(f)
		if f == nil || !f.retryable {
			return f
		}
	}
	return f
}

// newResumption returns nil if the response can't be resumed, which requires GET, a strong validator and a known
// length.
func newResumption(d *delivery) *resumption {
	q, response := d.request, d.exchange.response
	tag := response.Header.Get("Etag")
	if !q.match.Route.Resumable || q.r.Method != http.MethodGet || d.length < 0 || !q.sentHeader ||
		!strings.HasPrefix(tag, `"`) {
		return nil
	}
	r := &resumption{request: q, validate: tag}
	switch response.StatusCode {
	case http.StatusOK:
		r.span = span{first: 0, last: d.length - 1, total: d.length}
	case http.StatusPartialContent:
		s, ok := parseContentRange(response.Header.Get("Content-Range"))
		if !ok || s.last-s.first+1 != d.length {
			return nil
		}
		r.span = s
	default:
		return nil
	}
	r.next = r.span.first + d.written
	return r
}

// fetch continues the body with the response of one exchange.
func (r *resumption) fetch(ctx context.Context, x *exchange) *failure {
	q := r.request
	if f := x.send(ctx, r); f != nil {
		return f
	}
	h := x.response.Header
	s, ok := parseContentRange(h.Get("Content-Range"))
	wanted := span{first: r.next, last: r.span.last, total: r.span.total}
	if x.response.StatusCode != http.StatusPartialContent || !ok || s != wanted || h.Get("Etag") != r.validate {
		x.conn.Close()
		x.log("download cannot be resumed: the representation has changed", nil)
		return &failure{result: retry.InDoubt, kind: ResultOK, reason: "the download changed while it was fetched"}
	}
	x.log("download resumed from another target", nil)
	d := &delivery{request: q, exchange: x, length: lengthOf(h), idle: q.edge.config.ResumableIdleTimeout}
	err := d.copy(ctx)
	r.next += d.written
	if err == nil {
		x.conn.Release()
		return nil
	}
	x.conn.Close()
	return d.bodyFailure(ctx, err)
}

// conditions are the headers of the caller that are omitted from the request for the rest.
var conditions = []string{
	model.HeaderIdempotencyKey, "Range", "If-Range", "If-Match", "If-None-Match", "If-Modified-Since",
	"If-Unmodified-Since",
}

// apply makes the request ask for the rest of the download.
func (r *resumption) apply(request *relay.Request, fields []relay.Field) []relay.Field {
	request.Omit = conditions
	return append(fields, relay.Field{Name: "Range", Value: fmt.Sprintf("bytes=%d-%d", r.next, r.span.last)},
		relay.Field{Name: "If-Range", Value: r.validate})
}

// parseContentRange parses `bytes first-last/total`.
func parseContentRange(text string) (span, bool) {
	text, isBytes := strings.CutPrefix(text, "bytes ")
	ends, total, hasTotal := strings.Cut(text, "/")
	first, last, hasLast := strings.Cut(ends, "-")
	if !isBytes || !hasTotal || !hasLast {
		return span{}, false
	}
	var s span
	var errs [3]error
	s.first, errs[0] = strconv.ParseInt(first, 10, 64)
	s.last, errs[1] = strconv.ParseInt(last, 10, 64)
	s.total, errs[2] = strconv.ParseInt(total, 10, 64)
	valid := errors.Join(errs[:]...) == nil && 0 <= s.first && s.first <= s.last && s.last < s.total
	return s, valid
}
