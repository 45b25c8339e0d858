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

// byteRange is a byte range of a representation, with both ends included, and the length of the whole representation.
type byteRange struct {
	first, last, total int64
}

// resumption continues a download from other targets after its response ended early.
type resumption struct {
	request *request
	// responseRange is the range of the representation that the response to the caller covers.
	responseRange byteRange
	// etag is the ETag of that response; the rest must have the same.
	etag string
	// next is the offset of the first byte that the caller has not received.
	next int64
}

// resume tries to fetch the rest of a download whose response ended early with failure f. It returns nil if the caller
// has received the complete body, and otherwise the failure to report.
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
			// Pooled connections may be broken too, so this exchange and later ones open new connections.
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

// newResumption returns nil if the response can't be resumed. Resuming requires a resumable route, GET, a known length,
// a strong ETag and that the caller has been sent the response header.
func newResumption(d *delivery) *resumption {
	q, response := d.request, d.exchange.response
	tag := response.Header.Get("Etag")
	if !q.match.Route.Resumable || q.r.Method != http.MethodGet || d.length < 0 || !q.sentHeader ||
		!strings.HasPrefix(tag, `"`) {
		return nil
	}
	r := &resumption{request: q, etag: tag}
	switch response.StatusCode {
	case http.StatusOK:
		r.responseRange = byteRange{first: 0, last: d.length - 1, total: d.length}
	case http.StatusPartialContent:
		s, ok := parseContentRange(response.Header.Get("Content-Range"))
		if !ok || s.last-s.first+1 != d.length {
			return nil
		}
		r.responseRange = s
	default:
		return nil
	}
	r.next = r.responseRange.first + d.written
	return r
}

// fetch requests the rest of the body in one exchange and copies it to the caller.
func (r *resumption) fetch(ctx context.Context, x *exchange) *failure {
	q := r.request
	if f := x.send(ctx, r); f != nil {
		return f
	}
	h := x.response.Header
	s, ok := parseContentRange(h.Get("Content-Range"))
	wanted := byteRange{first: r.next, last: r.responseRange.last, total: r.responseRange.total}
	if x.response.StatusCode != http.StatusPartialContent || !ok || s != wanted || h.Get("Etag") != r.etag {
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

// omittedHeaders are the headers of the caller that the request for the rest omits: the idempotency key, and the range
// and the conditions, because apply adds its own Range and If-Range.
var omittedHeaders = []string{
	model.HeaderIdempotencyKey, "Range", "If-Range", "If-Match", "If-None-Match", "If-Modified-Since",
	"If-Unmodified-Since",
}

// apply makes the request ask for the rest of the download.
func (r *resumption) apply(request *relay.Request, fields []relay.Field) []relay.Field {
	request.Omit = omittedHeaders
	return append(fields, relay.Field{Name: "Range", Value: fmt.Sprintf("bytes=%d-%d", r.next, r.responseRange.last)},
		relay.Field{Name: "If-Range", Value: r.etag})
}

// parseContentRange parses `bytes first-last/total`.
func parseContentRange(text string) (byteRange, bool) {
	text, isBytes := strings.CutPrefix(text, "bytes ")
	ends, total, hasTotal := strings.Cut(text, "/")
	first, last, hasLast := strings.Cut(ends, "-")
	if !isBytes || !hasTotal || !hasLast {
		return byteRange{}, false
	}
	var s byteRange
	var errs [3]error
	s.first, errs[0] = strconv.ParseInt(first, 10, 64)
	s.last, errs[1] = strconv.ParseInt(last, 10, 64)
	s.total, errs[2] = strconv.ParseInt(total, 10, 64)
	valid := errors.Join(errs[:]...) == nil && 0 <= s.first && s.first <= s.last && s.last < s.total
	return s, valid
}
