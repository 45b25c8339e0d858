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
	// maxAsks bounds the agents that are asked for one request; each refusal costs a round trip.
	maxAsks = 16
	// maxBudgetAsks bounds the agents that are asked for a repeat after their budgets had no room.
	maxBudgetAsks = 3
	// goneRest is the time for which a target is left alone whose agent no longer has it; its node's row tells more by then.
	goneRest = time.Second
	// retryLeast and retryMost bound Retry-After; refused callers return spread over that span or the expected wait.
	retryLeast = 200 * time.Millisecond
	retryMost  = 3 * time.Second
)

// noteRefusal keeps what an agent said when it refused the request, which is not an attempt.
func (q *request) noteRefusal(f *failure, c Choice) {
	if !q.edge.config.NegotiateAdmission || f.result != retry.NotRun || f.arrived {
		return
	}
	q.attempts--
	q.asks++
	for i := range q.refused {
		if q.refused[i].Target == c.Candidate.Target.Ref {
			q.refused = append(q.refused[:i], q.refused[i+1:]...)
			break
		}
	}
	if f.reason == relay.ReasonBudget {
		q.budgetRefusals++
	}
	switch {
	case c.Patience > 0 || c.Forced:
		// The agent was asked to its limit; it will not take the request any more.
		q.tried = append(q.tried, c.Candidate.Target.Ref)
	case f.reason == relay.ReasonNoSlot || f.reason == relay.ReasonUnhealthy:
		q.refused = append(q.refused, AgentRefusal{Target: c.Candidate.Target.Ref, ExpectedWait: f.wait, Unhealthy: f.reason == relay.ReasonUnhealthy})
	default:
		q.tried = append(q.tried, c.Candidate.Target.Ref)
	}
}

// mayAskAgain reports whether another agent may be asked after a refusal, or another target reached after a failure.
func (q *request) mayAskAgain(ctx context.Context, f *failure) bool {
	if !f.repeat || ctx.Err() != nil || q.sentHeader || !q.body.repeatable() {
		return false
	}
	if f.result == retry.NotRun && !f.arrived {
		return q.asks < maxAsks && q.budgetRefusals < maxBudgetAsks
	}
	if f.result == retry.InDoubt && !q.match.Route.Idempotent {
		return false
	}
	return q.mayReachAnother()
}

// mayReachAnother reports whether the route permits one more target. Whether the service can bear it, the agents decide.
func (q *request) mayReachAnother() bool {
	limit := q.match.Route.MaxAttempts
	if limit == 0 {
		limit = retry.MaxAttempts
	}
	return q.attempts < limit
}

// class returns what the agent needs to know before it admits the request.
func (q *request) class(c Choice) string {
	route := q.match.Route
	return relay.Class{
		Idempotent: route.Idempotent, Nested: q.parent != "", Forced: c.Forced, Retry: q.attempts > 1 || q.derived, HasProgress: q.advanced,
		Rank: q.rank,
	}.String()
}

// negotiated adds the fields by which the agent decides on admission.
func (q *request) negotiated(fields []relay.Field, c Choice) []relay.Field {
	fields = append(fields, relay.Field{Name: model.HeaderClass, Value: q.class(c)})
	if c := q.edge.config.Configurations; c != nil {
		fields = append(fields, relay.Field{Name: model.HeaderConfiguration, Value: strconv.FormatUint(c.Number(), 10)})
	}
	if crashes := q.crashesSoFar(); crashes != (model.Crashes{}) {
		fields = append(fields, relay.Field{Name: model.HeaderCrashes, Value: relay.FormatCrashes(crashes)})
	}
	if c.Patience > 0 {
		fields = append(fields, relay.Field{Name: model.HeaderPatience, Value: c.Patience.Round(time.Millisecond).String()})
	}
	if objective := time.Duration(q.match.Route.Objective); objective > 0 {
		left := q.began.Add(objective).Sub(q.edge.config.Clock.Now())
		fields = append(fields, relay.Field{Name: model.HeaderObjective, Value: left.Round(time.Millisecond).String()})
	}
	return fields
}

// crashesSoFar adds the crashes of this request's own attempts, of which the agents' records may not tell yet.
func (q *request) crashesSoFar() model.Crashes {
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

// noTarget refuses a request for which no candidate is left; the wait that agents expect tells when to return.
func (q *request) noTarget() relay.Refusal {
	r := notRun(http.StatusServiceUnavailable, "no target of the service takes requests", remedyLater)
	if q.edge.config.NegotiateAdmission {
		r.RetryAfter = q.returnAfter()
	}
	return r
}

// returnAfter spreads the return of refused callers over the shortest wait that an agent expects.
func (q *request) returnAfter() time.Duration {
	shortest := retryMost
	for _, r := range q.refused {
		shortest = min(shortest, r.ExpectedWait)
	}
	return spreadOver(min(max(shortest, retryLeast), retryMost))
}

// note tells the target's request that waits for the answer, and the journal, how the request was answered.
func (q *request) note() {
	// A call that its target gave up says nothing about the service called.
	if q.parent != "" && q.edge.config.Parents != nil && q.r.Context().Err() == nil {
		q.edge.config.Parents.CallEnded(q.parent, q.status < http.StatusInternalServerError && !q.abort)
	}
	journal := q.edge.config.RequestLogger
	if journal == nil {
		return
	}
	s := RequestSummary{
		ID: q.edge.config.Protocol.ID(q.r), Service: q.match.Service, Outcome: q.answered.Answer.Outcome,
		Reason: q.answered.Answer.Reason, Status: q.status, Nested: q.parent != "", Duration: q.edge.config.Clock.Now().Sub(q.began),
		Remaining: time.Until(q.deadline), Attempts: q.tries, Configuration: q.number, Fingerprint: q.fingerprint,
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
