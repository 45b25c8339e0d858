package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/retry"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// beginKey asks the key owner whether the request may run; otherwise it answers the caller and returns false. On
// idempotent routes the key is only passed to the target.
func (q *request) beginKey(ctx context.Context) bool {
	own := q.r.Header.Get(model.HeaderIdempotencyKey)
	if own == "" && q.match.Route.RequireKey {
		q.refuse(notRun(http.StatusBadRequest, "the route demands the header "+model.HeaderIdempotencyKey, remedyFix))
		return false
	}
	if q.match.Route.Idempotent || q.edge.config.KeyOwner == nil {
		q.setKey(own)
		return true
	}
	d := q.edge.config.KeyOwner.Begin(ctx, KeyRequest{
		Key: own, Account: q.r.Header.Get(model.HeaderAccount), Service: q.match.Service, Method: q.r.Method,
		Path: q.r.URL.Path, Query: q.r.URL.RawQuery, Body: q.body.held,
	})
	if d.Kind == DecisionRun {
		q.setKey(d.Key)
		return true
	}
	q.answerDecision(d)
	return false
}

func (q *request) setKey(key string) {
	if key == "" {
		return
	}
	q.key = key
}

// owned reports whether the key owner follows the attempts of this request.
func (q *request) owned() bool {
	return q.edge.config.KeyOwner != nil && q.key != "" && !q.match.Route.Idempotent
}

func (q *request) endKey(o model.Outcome) {
	if q.owned() {
		q.edge.config.KeyOwner.End(q.key, o)
	}
}

// resolve settles an attempt in doubt of a request that must run at most once. It returns true when the caller was
// answered.
func (q *request) resolve(ctx context.Context, f *failure) bool {
	if f.result == retry.NotRun || !q.owned() || q.sentHeader {
		return false
	}
	d := q.edge.config.KeyOwner.ResolveAttempt(ctx, q.key)
	switch d.Kind {
	case DecisionRun, DecisionNotRun:
		f.result = retry.NotRun
		f.repeat = f.repeat && d.Kind == DecisionRun
		return false
	case DecisionReplay:
		q.endKey(model.OutcomeDone)
		q.answerDecision(d)
		return true
	default:
		return false
	}
}

// answerDecision answers the caller with the word of the key owner.
func (q *request) answerDecision(d Decision) {
	var r relay.Refusal
	switch d.Kind {
	case DecisionReplay:
		q.writeStored(d.Response)
		return
	case DecisionInProgress:
		r = unknown(http.StatusConflict, "an earlier send of this key still runs", remedyUnknown)
		r.RetryAfter = retrySoon
	case DecisionNotRun:
		if r = notRun(http.StatusServiceUnavailable, d.Reason, remedyLater); d.InvalidKey {
			r = notRun(http.StatusBadRequest, d.Reason, remedyFix)
		}
	default:
		r = unknown(http.StatusBadGateway, d.Reason, remedyUnknown)
	}
	r.RetryAfter = max(r.RetryAfter, d.RetryAfter)
	q.refuse(r)
}

func (q *request) writeStored(a *StoredResponse) {
	if a == nil {
		q.refuse(unknown(http.StatusBadGateway, "ran, answer not kept", remedyUnknown))
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

// remaining returns the time that the caller still waits, rounded for the header.
func (q *request) remaining() string {
	return max(time.Until(q.deadline), time.Millisecond).Round(time.Millisecond).String()
}
