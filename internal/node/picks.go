package node

import (
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/picker"
)

// picks adapts the picker to the edge.
type picks struct {
	*picker.Picker
}

// Pick chooses a target that the request has not tried yet.
func (p picks) Pick(r edge.PickRequest) (edge.Choice, error) {
	choice, err := p.Picker.Pick(picker.Request{
		Service:    r.Service.Spec.Name,
		Idempotent: r.Idempotent,
		Exclude:    r.Tried,
	})
	if err != nil {
		return edge.Choice{}, err
	}
	return edge.Choice{Candidate: choice.Candidate, Token: choice}, nil
}

// Done gives the choice back with the load that the agent reported.
func (p picks) Done(c edge.Choice, l edge.Load) {
	choice, ok := c.Token.(picker.Choice)
	if !ok {
		return
	}
	var load picker.Load
	if l.Reported {
		load = picker.Load{InFlight: l.InFlight, Limit: l.Limit}
	}
	p.Picker.Done(choice, load)
}
