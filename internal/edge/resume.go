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

// span is the part of a representation that the caller is to get. Both ends are included.
type span struct {
	first, last, total int64
}

// resumption is the download that is fetched from further targets after its answer broke off.
type resumption struct {
	request  *request
	span     span
	validate string
	// next is the offset of the first byte that the caller doesn't have.
	next int64
}

// resume fetches the rest of a download that broke off. It returns nil when the caller has the whole body, and the
// failure that is to be reported otherwise.
func (q *request) resume(ctx context.Context, d *delivery, f *failure) *failure {
	r := newResumption(d)
	if r == nil || !f.repeat {
		return f
	}
	for q.attempts < retry.MaxAttempts && ctx.Err() == nil && !q.poisoned(f) && q.edge.budget(q.match.Service).Withdraw() {
		choice, err := q.edge.config.Picker.Pick(PickRequest{
			Service: q.service, Route: q.match.Route, Idempotent: true, Tried: q.tried,
		})
		if err != nil {
			return f
		}
		q.attempts++
		q.edge.counters.resumptions.Add(1)
		l := q.begin(choice)
		if f.kind == ResultPathFailure {
			q.reuse = relay.ConnNew
		}
		f = r.fetch(ctx, l)
		l.finish(f)
		if f == nil || !f.repeat {
			return f
		}
	}
	return f
}

// newResumption returns nil when the answer can't be continued: only a GET with a strong validator and a known length
// can.
func newResumption(d *delivery) *resumption {
	q, response := d.request, d.leg.response
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

// fetch continues the body with the answer of one leg.
func (r *resumption) fetch(ctx context.Context, l *leg) *failure {
	q := r.request
	if f := l.send(ctx, r); f != nil {
		return f
	}
	h := l.response.Header
	s, ok := parseContentRange(h.Get("Content-Range"))
	wanted := span{first: r.next, last: r.span.last, total: r.span.total}
	if l.response.StatusCode != http.StatusPartialContent || !ok || s != wanted || h.Get("Etag") != r.validate {
		l.conn.Close()
		l.log("the rest of the download can't be had: the representation has changed", nil)
		return &failure{result: retry.InDoubt, kind: ResultOK, reason: "the download changed while it was fetched"}
	}
	l.log("download continues from another target", nil)
	d := &delivery{request: q, leg: l, length: lengthOf(h), idle: q.edge.config.ResumableIdleTimeout}
	err := d.copy(ctx)
	r.next += d.written
	if err == nil {
		l.conn.Release()
		return nil
	}
	l.conn.Close()
	return d.failed(ctx, err)
}

// conditions are the callers' headers that the request for the rest replaces.
var conditions = []string{
	model.HeaderIdempotencyKey, "Range", "If-Range", "If-Match", "If-None-Match", "If-Modified-Since",
	"If-Unmodified-Since",
}

// apply makes the request ask for the rest.
func (r *resumption) apply(request *relay.Request, fields []relay.Field) []relay.Field {
	request.Omit = conditions
	return append(fields, relay.Field{Name: "Range", Value: fmt.Sprintf("bytes=%d-%d", r.next, r.span.last)},
		relay.Field{Name: "If-Range", Value: r.validate})
}

// parseContentRange reads `bytes first-last/total`.
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
