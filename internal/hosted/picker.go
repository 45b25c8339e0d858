package hosted

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/eject"
	"github.com/auburnwinch/auburnwinch/internal/picker"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// pickerAdapter adapts picker.Picker to edge.Picker.
type pickerAdapter struct {
	*picker.Picker
}

// noEjections ejects no target, because each agent checks the health of its own target.
type noEjections struct{}

// pathTracker reports path failures to the picker.
type pathTracker struct {
	picker *picker.Picker
}

type pathHandle struct {
	tracker pathTracker
	target  model.TargetRef
}

// Snapshot returns nil: no target is ejected.
func (noEjections) Snapshot() *eject.Snapshot { return nil }

// Pick chooses a target and how long the request may wait for a slot there.
func (p pickerAdapter) Pick(r edge.PickRequest) (edge.Choice, error) {
	request := picker.Request{
		Service: r.Service.Spec.Name, Idempotent: r.Idempotent, Exclude: r.Tried, Remaining: r.Remaining, Objective: time.Duration(r.Route.Objective),
		Bytes: r.Bytes,
		Rank:  rankOf(relay.Class{Nested: r.Nested, HasProgress: r.HasProgress, Rank: r.Rank}), Nested: r.Nested,
		Refusals: make([]picker.AgentRefusal, 0, len(r.Refusals)),
	}
	for _, refused := range r.Refusals {
		request.Refusals = append(request.Refusals, picker.AgentRefusal{Target: refused.Target, Wait: refused.ExpectedWait, Unhealthy: refused.Unhealthy, RateLimited: refused.RateLimited})
	}
	choice, err := p.Picker.Pick(request)
	if err != nil {
		return edge.Choice{}, err
	}
	return edge.Choice{Candidate: choice.Candidate, Token: choice, Patience: choice.Patience, Forced: choice.Forced, Brief: choice.Brief, Left: string(choice.Left), Tier: choice.Tier.String()}, nil
}

// Done releases the choice and passes on the load that the agent reported.
func (p pickerAdapter) Done(c edge.Choice, l edge.Load) {
	choice, ok := c.Token.(picker.Choice)
	if !ok {
		return
	}
	var load picker.Load
	if l.Reported {
		load = picker.Load{InFlight: l.InFlight, Limit: l.Limit, IncludesRequest: l.IncludesRequest}
	}
	p.Picker.Done(choice, load)
	if l.NoSlot {
		p.Picker.TurnedDown(choice, l.ExpectedWait)
	}
	if l.Gone {
		p.Picker.MarkGone(c.Candidate.Target.Ref)
	}
	if l.UnhealthyFor > 0 {
		p.Picker.MarkUnhealthy(c.Candidate.Target.Ref, l.UnhealthyFor, l.SuccessRatio)
	}
}

// Start begins tracking the path of an attempt.
func (p pathTracker) Start(r edge.TrackRequest) edge.Handle {
	return pathHandle{tracker: p, target: r.Target}
}

// Progress does nothing, because a response that has begun may still be cut off.
func (h pathHandle) Progress() {}

// Finish reports whether the path worked.
func (h pathHandle) Finish(r edge.Result) {
	switch r.Kind {
	case edge.ResultPathFailure:
		h.tracker.picker.MarkPathFailed(h.target)
	case edge.ResultCanceled, edge.ResultTimeout:
		// These do not show whether the path works.
	default:
		h.tracker.picker.MarkPathUp(h.target)
	}
}
