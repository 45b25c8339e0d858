package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/retry"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// beginKey asks the key owner whether the request may run; if not, it responds to the caller and returns false. On
// idempotent routes the key is only forwarded to the target.
func (q *request) beginKey(ctx context.Context) bool {
	own := q.r.Header.Get(model.HeaderIdempotencyKey)
	if own == "" && q.match.Route.RequireKey {
		q.refuse(notRunRefusal(http.StatusBadRequest, "the route demands the header "+model.HeaderIdempotencyKey, remedyFix))
		return false
	}
	if q.match.Route.Idempotent || q.edge.config.KeyOwner == nil {
		q.setKey(own)
		return true
	}
	d := q.edge.config.KeyOwner.Begin(ctx, KeyRequest{
		Key: own, Account: q.ownAccount(), Service: q.match.Service, Method: q.r.Method,
		Path: q.r.URL.Path, Query: q.r.URL.RawQuery, Body: q.body.data,
	})
	if d.Kind == DecisionRun {
		q.setKey(d.Key)
		return true
	}
	q.writeDecision(d)
	return false
}

func (q *request) setKey(key string) {
	if key == "" {
		return
	}
	q.key = key
}

// owned reports whether the key owner tracks the attempts of this request.
func (q *request) owned() bool {
	return q.edge.config.KeyOwner != nil && q.key != "" && !q.match.Route.Idempotent
}

func (q *request) endKey(o model.Outcome) {
	if q.owned() {
		q.edge.config.KeyOwner.End(q.key, o)
	}
}

// resolve asks the key owner for the outcome of an attempt in doubt, if the request must run at most once. It returns
// true if it has responded to the caller.
func (q *request) resolve(ctx context.Context, f *failure) bool {
	if f.result == retry.NotRun || !q.owned() || q.sentHeader {
		return false
	}
	d := q.edge.config.KeyOwner.ResolveAttempt(ctx, q.key)
	switch d.Kind {
	case DecisionRun, DecisionNotRun:
		f.result = retry.NotRun
		f.retryable = f.retryable && d.Kind == DecisionRun
		return false
	case DecisionReplay:
		q.endKey(model.OutcomeDone)
		q.writeDecision(d)
		return true
	default:
		return false
	}
}

// writeDecision responds to the caller with the decision of the key owner.
func (q *request) writeDecision(d Decision) {
	var r relay.Refusal
	switch d.Kind {
	case DecisionReplay:
		q.writeStored(d.Response)
		return
	case DecisionInProgress:
		r = unknownRefusal(http.StatusConflict, "an earlier send of this key still runs", remedyUnknown)
		r.RetryAfter = minRetryAfter
	case DecisionNotRun:
		if r = notRunRefusal(http.StatusServiceUnavailable, d.Reason, remedyLater); d.InvalidKey {
			r = notRunRefusal(http.StatusBadRequest, d.Reason, remedyFix)
		}
	default:
		r = unknownRefusal(http.StatusBadGateway, d.Reason, remedyUnknown)
	}
	r.RetryAfter = max(r.RetryAfter, d.RetryAfter)
	q.refuse(r)
}

func (q *request) writeStored(a *StoredResponse) {
	if a == nil {
		q.refuse(unknownRefusal(http.StatusBadGateway, "ran, answer not kept", remedyUnknown))
		return
	}
	h := q.w.Header()
	relay.CopyHeader(h, http.Header(a.Header))
	h[model.HeaderOutcome] = []string{string(model.OutcomeDone)}
	q.count(model.OutcomeDone)
	q.w.WriteHeader(a.Status)
	if relay.BodyAllowed(q.r.Method, a.Status) {
		_, _ = q.w.Write(a.Body)
	}
}

// remaining returns the time until the deadline as a header value, rounded to milliseconds.
func (q *request) remaining() string {
	return max(time.Until(q.deadline), time.Millisecond).Round(time.Millisecond).String()
}
