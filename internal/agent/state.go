package agent

import (
	"slices"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// TargetState is the state of one target for operators.
type TargetState struct {
	Target   model.Target `json:"target"`
	Address  string       `json:"address"`
	InFlight int64        `json:"in-flight"`
	Load     relay.Load   `json:"load"`
	Idle     int          `json:"idle-connections"`
	Notice   relay.Notice `json:"notice"`
}

// State is the state of an agent for operators.
type State struct {
	InFlight int           `json:"in-flight"`
	Leaving  bool          `json:"leaving"`
	Targets  []TargetState `json:"targets"`
}

// State returns the state for the state dump.
func (a *Agent) State() State {
	s := State{InFlight: a.InFlight(), Leaving: a.leaving.Load(), Targets: []TargetState{}}
	for _, l := range a.registry.all() {
		s.Targets = append(s.Targets, TargetState{
			Target: l.model(), Address: l.address, InFlight: l.shared.inFlight.Load(), Load: l.limiter.Load(),
			Idle: l.pool.Idle(), Notice: l.shared.notice.current(),
		})
	}
	slices.SortFunc(s.Targets, func(x, y TargetState) int { return x.Target.Ref.Compare(y.Target.Ref) })
	return s
}
