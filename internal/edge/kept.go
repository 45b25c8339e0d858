package edge

import (
	"io"
	"net/http"
	"strconv"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/retry"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// keptBytes bounds the body of a failure that is kept while another target is tried.
const keptBytes = 32 << 10

// keptAnswer is the failure that a target answered to an idempotent request. The caller gets it when no further target
// does better.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

// setAside keeps the failure that a target answered and reports that another target is tried; it returns nil when the
// answer is to be delivered as it is.
func (q *request) setAside(l *leg) *failure {
	if !q.edge.config.NegotiateAdmission || !q.match.Route.Idempotent || l.response.StatusCode < http.StatusInternalServerError ||
		lengthOf(l.response.Header) > keptBytes || !q.body.repeatable() || !q.mayReachAnother() {
		return nil
	}
	var sum relay.Checksum
	body, err := io.ReadAll(io.LimitReader(l.response.Body, keptBytes+1))
	sum.Add(body)
	f := &failure{result: retry.InDoubt, kind: ResultError, reason: "target-error", repeat: true}
	if err != nil || len(body) > keptBytes || sum.Verify(l.response.Trailer) != nil {
		// The answer is not whole, so there is nothing to keep.
		l.conn.Close()
		return f
	}
	q.kept = &keptAnswer{status: l.response.StatusCode, header: l.response.Header, body: body}
	l.conn.Release()
	return f
}

// deliver gives the kept answer to the caller.
func (k *keptAnswer) deliver(q *request) {
	h := q.w.Header()
	relay.CopyHeader(h, k.header)
	h[model.HeaderOutcome] = []string{string(model.OutcomeDone)}
	h["Content-Length"] = []string{strconv.Itoa(len(k.body))}
	q.sentHeader, q.status = true, k.status
	q.count(model.OutcomeDone)
	q.w.WriteHeader(k.status)
	_, _ = q.w.Write(k.body) // A caller that went away needs no answer.
}
