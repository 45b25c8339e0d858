package node

import (
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/picker"
)

// pickerAdapter adapts the picker to edge.Picker.
type pickerAdapter struct {
	*picker.Picker
}

// Pick chooses a target that the request has not tried yet.
func (p pickerAdapter) Pick(r edge.PickRequest) (edge.Choice, error) {
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

// Done releases the choice and reports the load that the agent returned.
func (p pickerAdapter) Done(c edge.Choice, l edge.Load) {
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
