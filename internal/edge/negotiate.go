package edge

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/retry"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// maxRefusals limits the refusals by agents per request; each costs a round trip.
	maxRefusals = 16
	// maxBudgetRefusals limits the refusals of a retry by agents whose retry budget is exhausted.
	maxBudgetRefusals = 3
	// leavingTargetPause is how long a target is avoided after it or its node began to leave; by then the node's row has been
	// updated.
	leavingTargetPause = time.Second
	// minRetryWait and maxRetryWait limit the expected wait from which Retry-After is calculated; jitter is added to
	// it.
	minRetryWait = 200 * time.Millisecond
	maxRetryWait = 3 * time.Second
)

// recordRefusal records the refusal of an agent, which does not count as an attempt.
func (q *request) recordRefusal(f *failure, c Choice) {
	if !q.edge.config.NegotiateAdmission || f.result != retry.NotRun || f.refusedByTarget {
		return
	}
	q.attempts--
	q.refusalCount++
	for i := range q.refused {
		if q.refused[i].Target == c.Candidate.Target.Ref {
			q.refused = append(q.refused[:i], q.refused[i+1:]...)
			break
		}
	}
	if f.reason == relay.ReasonBudget {
		q.budgetRefusals++
	}
	if f.reason == relay.ReasonRateLimit && (q.rateWait == 0 || f.wait < q.rateWait) {
		q.rateWait = f.wait
	}
	switch {
	case c.Patience > 0 && !c.Brief || c.Forced:
		// The request has already queued there or asked for forced admission; asking again would not help.
		q.tried = append(q.tried, c.Candidate.Target.Ref)
	case f.reason == relay.ReasonNoSlot || f.reason == relay.ReasonUnhealthy || f.reason == relay.ReasonRateLimit:
		q.refused = append(q.refused, AgentRefusal{
			Target: c.Candidate.Target.Ref, ExpectedWait: f.wait, Unhealthy: f.reason == relay.ReasonUnhealthy,
			RateLimited: f.reason == relay.ReasonRateLimit,
		})
	default:
		q.tried = append(q.tried, c.Candidate.Target.Ref)
	}
}

// mayTryNext reports whether the request may be sent to another agent after a refusal, or to another target after a
// failure.
func (q *request) mayTryNext(ctx context.Context, f *failure) bool {
	if !f.retryable || ctx.Err() != nil || q.sentHeader || !q.body.replayable() {
		return false
	}
	if f.result == retry.NotRun && !f.refusedByTarget {
		return q.refusalCount < maxRefusals && q.budgetRefusals < maxBudgetRefusals
	}
	if f.result == retry.InDoubt && !q.match.Route.Idempotent {
		return false
	}
	return q.attemptsLeft()
}

// attemptsLeft reports whether the route permits another attempt. The agents decide whether the retry budget permits
// it.
func (q *request) attemptsLeft() bool {
	limit := q.match.Route.MaxAttempts
	if limit == 0 {
		limit = retry.MaxAttempts
	}
	return q.attempts < limit
}

// class returns the request class that the agent uses for admission.
func (q *request) class(c Choice) string {
	route := q.match.Route
	return relay.Class{
		Idempotent: route.Idempotent, Nested: q.parent != "", Forced: c.Forced, Retry: q.attempts > 1 || q.parentRetry, HasProgress: q.hasProgress,
		Rank: q.rank,
	}.String()
}

// addAdmissionFields adds the fields that the agent uses for admission.
func (q *request) addAdmissionFields(fields []relay.Field, c Choice) []relay.Field {
	fields = append(fields, relay.Field{Name: model.HeaderClass, Value: q.class(c)})
	if notices := q.edge.config.Notices; notices != nil {
		if n := notices.Notice(c.Candidate.Target.Ref); n.Limited {
			fields = append(fields, relay.Field{Name: model.HeaderRateLimit, Value: relay.FormatRate(n.RateLimit)})
		}
	}
	if c := q.edge.config.Configurations; c != nil {
		fields = append(fields, relay.Field{Name: model.HeaderConfiguration, Value: strconv.FormatUint(c.Number(), 10)})
	}
	if crashes := q.crashCount(); crashes != (model.Crashes{}) {
		fields = append(fields, relay.Field{Name: model.HeaderCrashes, Value: relay.FormatCrashes(crashes)})
	}
	if c.Patience > 0 {
		fields = append(fields, relay.Field{Name: model.HeaderPatience, Value: c.Patience.Round(time.Millisecond).String()})
	}
	if objective := time.Duration(q.match.Route.Objective); objective > 0 {
		left := q.startedAt.Add(objective).Sub(q.edge.config.Clock.Now())
		fields = append(fields, relay.Field{Name: model.HeaderObjective, Value: left.Round(time.Millisecond).String()})
	}
	return fields
}

// crashCount returns the known crashes and those of this request's own attempts, which the agents' records may not
// include yet.
func (q *request) crashCount() model.Crashes {
	known := q.edge.config.CrashCounter
	if known == nil {
		return model.Crashes{}
	}
	own := q.knownCrashes
	own.Count += uint32(q.crashes)
	if heard := known.Crashes(q.fingerprint); heard.Compare(own) > 0 {
		return heard
	}
	return own
}

// noTargetRefusal refuses a request for which no candidate is left; Retry-After follows the wait that agents expect.
func (q *request) noTargetRefusal() relay.Refusal {
	r := notRunRefusal(http.StatusServiceUnavailable, "no target of the service takes requests", remedyLater)
	if q.edge.config.NegotiateAdmission {
		r.RetryAfter = q.retryAfter()
	}
	return r
}

// retryAfter returns the shortest wait that an agent expects, with jitter so that refused callers do not return
// together.
func (q *request) retryAfter() time.Duration {
	shortest := maxRetryWait
	for _, r := range q.refused {
		shortest = min(shortest, r.ExpectedWait)
	}
	if q.rateWait > 0 {
		shortest = min(shortest, q.rateWait)
	}
	return addJitter(min(max(shortest, minRetryWait), maxRetryWait))
}

// report reports the end of the request to its parent request, if it is a nested call, and to the request log.
func (q *request) report() {
	// A call that the calling target canceled says nothing about the called service.
	if q.parent != "" && q.edge.config.Parents != nil && q.r.Context().Err() == nil {
		q.edge.config.Parents.CallEnded(q.parent, q.status < http.StatusInternalServerError && !q.abort)
	}
	journal := q.edge.config.RequestLogger
	if journal == nil {
		return
	}
	s := RequestSummary{
		ID: q.edge.config.Protocol.ID(q.r), Service: q.match.Service, Outcome: q.refusal.Answer.Outcome,
		Reason: q.refusal.Answer.Reason, Status: q.status, Nested: q.parent != "", Duration: q.edge.config.Clock.Now().Sub(q.startedAt),
		Account: q.accountName(), Remaining: time.Until(q.deadline), Attempts: q.tries,
		Configuration: q.number, Fingerprint: q.fingerprint,
	}
	if q.match.Route != nil {
		s.Route, s.Idempotent = q.match.Route.Name, q.match.Route.Idempotent
	}
	if s.Outcome == "" {
		s.Outcome = model.OutcomeDone
		if q.abort {
			s.Outcome, s.Reason = model.OutcomeUnknown, "the answer broke off at the caller"
		}
	}
	journal.LogRequest(s)
}
