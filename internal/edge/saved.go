package edge

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/retry"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// maxSavedBytes is the largest body of an error response that is saved while another target is tried.
	maxSavedBytes = 32 << 10
	// saveTimeout bounds the wait for the body of an error response, which may never end, before another target is tried.
	saveTimeout = 500 * time.Millisecond
)

// savedResponse is the error response of a target to an idempotent request. The caller gets it if no other target
// succeeds.
type savedResponse struct {
	status int
	header http.Header
	body   []byte
}

// saveErrorResponse saves an error response and returns a failure so that another target is tried; it returns nil if
// the response is to be delivered.
func (q *request) saveErrorResponse(x *exchange) *failure {
	if !q.edge.config.NegotiateAdmission || !q.match.Route.Idempotent || x.response.StatusCode < http.StatusInternalServerError ||
		lengthOf(x.response.Header) > maxSavedBytes || !q.body.replayable() || !q.attemptsLeft() {
		return nil
	}
	var sum relay.Checksum
	x.conn.SetReadTimeout(saveTimeout)
	body, err := io.ReadAll(io.LimitReader(x.response.Body, maxSavedBytes+1))
	sum.Add(body)
	f := &failure{result: retry.InDoubt, kind: ResultError, reason: "target-error", retryable: true}
	if err != nil || len(body) > maxSavedBytes || sum.Verify(x.response.Trailer) != nil {
		// The response is incomplete, so it can't be saved.
		x.conn.Close()
		return f
	}
	q.saved = &savedResponse{status: x.response.StatusCode, header: x.response.Header, body: body}
	x.conn.Release()
	return f
}

// deliver writes the saved response to the caller.
func (s *savedResponse) deliver(q *request) {
	h := q.w.Header()
	relay.CopyHeader(h, s.header)
	h[model.HeaderOutcome] = []string{string(model.OutcomeDone)}
	h["Content-Length"] = []string{strconv.Itoa(len(s.body))}
	q.sentHeader, q.status = true, s.status
	q.count(model.OutcomeDone)
	q.w.WriteHeader(s.status)
	_, _ = q.w.Write(s.body) // The caller may be gone; nothing can be done then.
}
