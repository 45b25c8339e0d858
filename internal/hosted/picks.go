package hosted

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/eject"
	"github.com/auburnwinch/auburnwinch/internal/picker"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// picks adapts the picker to the edge.
type picks struct {
	*picker.Picker
}

// noVerdicts leaves all targets in service, because each agent judges its own.
type noVerdicts struct{}

// paths tells the picker which paths fail.
type paths struct {
	picker *picker.Picker
}

type pathHandle struct {
	paths  paths
	target model.TargetRef
}

// Snapshot holds no verdicts.
func (noVerdicts) Snapshot() *eject.Snapshot { return nil }

// Pick chooses a target and how long the request may wait there.
func (p picks) Pick(r edge.PickRequest) (edge.Choice, error) {
	request := picker.Request{
		Service: r.Service.Spec.Name, Idempotent: r.Idempotent, Exclude: r.Tried, Remaining: r.Remaining, Objective: time.Duration(r.Route.Objective),
		Bytes:    r.Bytes,
		Refusals: make([]picker.AgentRefusal, 0, len(r.Refusals)),
	}
	for _, refused := range r.Refusals {
		request.Refusals = append(request.Refusals, picker.AgentRefusal{Target: refused.Target, Wait: refused.ExpectedWait, Unhealthy: refused.Unhealthy})
	}
	choice, err := p.Picker.Pick(request)
	if err != nil {
		return edge.Choice{}, err
	}
	return edge.Choice{Candidate: choice.Candidate, Token: choice, Patience: choice.Patience, Forced: choice.Forced}, nil
}

// Done gives the choice back with what the agent reported.
func (p picks) Done(c edge.Choice, l edge.Load) {
	choice, ok := c.Token.(picker.Choice)
	if !ok {
		return
	}
	var load picker.Load
	if l.Reported {
		load = picker.Load{InFlight: l.InFlight, Limit: l.Limit, IncludesRequest: l.IncludesRequest}
	}
	p.Picker.Done(choice, load)
	if l.UnhealthyFor > 0 {
		p.Picker.MarkUnhealthy(c.Candidate.Target.Ref, l.UnhealthyFor, l.SuccessRatio)
	}
}

// Start begins to observe the path of an attempt.
func (p paths) Start(r edge.TrackRequest) edge.Handle {
	return pathHandle{paths: p, target: r.Target}
}

// Progress changes nothing: an answer that has begun may still break off.
func (h pathHandle) Progress() {}

// Finish tells whether the path worked.
func (h pathHandle) Finish(r edge.Result) {
	switch r.Kind {
	case edge.ResultPathFailure:
		h.paths.picker.MarkPathFailed(h.target)
	case edge.ResultCanceled, edge.ResultTimeout:
		// The path may have been at fault or not.
	default:
		h.paths.picker.MarkPathUp(h.target)
	}
}
