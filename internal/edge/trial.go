package edge

import (
	"context"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// trialMark is the value of the header that marks a granted trial.
const trialMark = "1"

// askTrial asks the agent whose target crashed for one more attempt.
func (q *request) askTrial(ctx context.Context, agent model.Node) bool {
	p := q.edge.config.Poison
	if p == nil {
		return true
	}
	if !p.Trial(ctx, agent, q.match.Service, q.fingerprint) {
		return false
	}
	q.trial = agent
	return true
}

// endTrial reports an attempt that settled the trial. After a refusal the trial is still open, and an attempt in doubt
// leaves the suspicion to its expiry.
func (q *request) endTrial(f *failure) {
	if q.trial.Ref.IsZero() {
		return
	}
	switch {
	case f == nil:
		q.edge.config.Poison.EndTrial(q.trial, q.match.Service, q.fingerprint, true)
	case f.reason == relay.ReasonCrashed:
		q.edge.config.Poison.EndTrial(q.trial, q.match.Service, q.fingerprint, false)
	default:
		return
	}
	q.trial = model.Node{}
}

// trialHeader returns the value of the header that marks a trial.
func (q *request) trialHeader() string {
	if q.trial.Ref.IsZero() {
		return ""
	}
	return trialMark
}
