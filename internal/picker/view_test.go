package picker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/auburnwinch/auburnwinch/internal/eject"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// randomNodeStates gives each of four nodes some targets of the services.
func randomNodeStates(t *rapid.T, services []model.ServiceSpec) []view.NodeState {
	var states []view.NodeState
	for n := range 4 {
		if rapid.IntRange(0, 3).Draw(t, "away") == 0 {
			continue
		}
		nodeState := view.NodeState{Node: model.Node{
			Ref: model.NodeRef{ID: fmt.Sprint("n", n), Incarnation: 1}, Domain: fmt.Sprint("d", n/2), Region: "r",
		}}
		for _, s := range services {
			ref := model.TargetRef{Service: s.Name, ID: fmt.Sprint("t", n), Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation")}
			state := rapid.SampledFrom([]model.TargetState{model.TargetServing, model.TargetServing, model.TargetDraining}).Draw(t, "state")
			nodeState.Targets = append(nodeState.Targets, model.Target{Ref: ref, Node: nodeState.Node.Ref, Slots: 2, State: state})
		}
		states = append(states, nodeState)
	}
	return states
}

// tiers describes the targets of a service with their tiers.
func tiers(s *service) (list []string) {
	for _, e := range s.entries {
		list = append(list, fmt.Sprint(*e.candidate, e.tier))
	}
	return list
}

func countersByTarget(p *Picker) map[model.TargetRef]*counters {
	found := make(map[model.TargetRef]*counters)
	for _, s := range p.services.Load().services {
		for _, e := range s.entries {
			found[e.candidate.Target.Ref] = e.counters
		}
	}
	return found
}

// Guards against reusing a service although its targets changed, and against losing the counters of a reused or rebuilt
// service, which would let the edge overload a target.
func TestSharedServicesMatchFullRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		health := &fixture{module: eject.New(eject.Config{Observer: eject.ObserverEdge})}
		newPicker := func() *Picker { return New(Config{Health: health, Now: func() time.Time { return now }, Seed: 1}) }
		shared, full := newPicker(), newPicker()
		services := []model.ServiceSpec{{Name: "kassa"}, {Name: "vitrine"}, {Name: "archief"}}
		c := &model.Configuration{Services: services}
		b := view.NewBuilder(model.Node{Ref: model.NodeRef{ID: "n0", Incarnation: 1}, Domain: "d0", Region: "r"})
		var states []view.NodeState
		var open [][2]Choice
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				states = randomNodeStates(t, services[:rapid.IntRange(1, 3).Draw(t, "with targets")])
			case 1:
				c = &model.Configuration{Number: c.Number + 1, Services: services[rapid.IntRange(0, 2).Draw(t, "first"):]}
			case 2:
				if len(open) > 0 {
					shared.Done(open[0][0], Load{InFlight: 3, Limit: 4})
					full.Done(open[0][1], Load{InFlight: 3, Limit: 4})
					open = open[1:]
				}
			default:
				r := Request{Service: rapid.SampledFrom(services).Draw(t, "service").Name}
				one, oneErr := shared.Pick(r)
				two, twoErr := full.Pick(r)
				require.Equal(t, twoErr, oneErr)
				require.Equal(t, two.Candidate, one.Candidate)
				open = append(open, [2]Choice{one, two})
			}
			now = now.Add(50 * time.Millisecond)
			built := *b.Build(c, states)
			v := &built
			v.Self.Domain = rapid.SampledFrom([]string{"d0", "d0", "d1"}).Draw(t, "own domain")
			before := countersByTarget(shared)
			shared.SetView(v)
			for ref, known := range countersByTarget(shared) {
				require.True(t, before[ref] == nil || before[ref] == known, "the counters of %v must be kept", ref)
			}
			rebuilt := *v
			rebuilt.Services = nil
			for _, s := range v.Services {
				fresh := *s
				rebuilt.Services = append(rebuilt.Services, &fresh)
			}
			full.SetView(&rebuilt)
			for _, s := range v.Services {
				require.Equal(t, tiers(newService(v.Self, s, nil, nil)), tiers(shared.services.Load().services[s.Spec.Name]))
			}
			require.Len(t, shared.services.Load().services, len(v.Services))
		}
	})
}
