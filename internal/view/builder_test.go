package view

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// fleet is a small fleet that changes at random.
type fleet struct {
	number uint64
	specs  map[string]model.ServiceSpec
	states map[string]NodeState
}

func serviceName(t *rapid.T) string {
	return rapid.SampledFrom([]string{"archief", "kassa", "vitrine", "unlisted"}).Draw(t, "service")
}

func targetRef(t *rapid.T) model.TargetRef {
	return model.TargetRef{
		Service: serviceName(t), ID: fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "target")),
		Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
	}
}

func (w *fleet) step(t *rapid.T) {
	id := fmt.Sprint("n", rapid.IntRange(0, 5).Draw(t, "node"))
	state, known := w.states[id]
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0:
		delete(w.states, id)
		return
	case 1:
		w.updateSpec(t)
		return
	case 2:
		state.Node.Ref.Incarnation++
	case 3:
		state.Claims = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) model.Claim {
			return model.Claim{Target: targetRef(t), Severity: model.Severity(rapid.IntRange(1, 4).Draw(t, "severity"))}
		}), 0, 3).Draw(t, "claims")
	case 4:
		state.Poison = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) model.PoisonEntry {
			return model.PoisonEntry{Service: serviceName(t), Fingerprint: rapid.Uint64Range(1, 3).Draw(t, "fingerprint")}
		}), 0, 3).Draw(t, "poison")
	case 5: // Equal lists with different memory, as in the node's own record and in decoded records.
		state.Targets, state.Claims, state.Poison = slices.Clone(state.Targets), slices.Clone(state.Claims), slices.Clone(state.Poison)
	default:
		state.Targets = rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) model.Target {
			return model.Target{Ref: targetRef(t), Slots: rapid.IntRange(1, 2).Draw(t, "slots"), State: model.TargetServing}
		}), 0, 5, func(target model.Target) model.TargetRef { return target.Ref }).Draw(t, "targets")
		for i := range state.Targets {
			state.Targets[i].Node.ID = id
		}
	}
	if !known {
		state.Node.Ref.ID = id
	}
	w.states[id] = state
}

// updateSpec changes, adds or removes the spec of a service.
func (w *fleet) updateSpec(t *rapid.T) {
	name := rapid.SampledFrom([]string{"archief", "kassa", "vitrine"}).Draw(t, "filed")
	w.number++
	if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
		delete(w.specs, name)
		return
	}
	w.specs[name] = model.ServiceSpec{
		Name: name, FloorSlots: rapid.IntRange(0, 1).Draw(t, "floor"),
		Routes: []model.RouteSpec{{Name: "all", PathPrefix: rapid.SampledFrom([]string{"/", "/a"}).Draw(t, "prefix")}},
	}
}

func (w *fleet) configuration() *model.Configuration {
	c := &model.Configuration{Number: w.number}
	for _, name := range []string{"vitrine", "archief", "kassa"} { // Snapshots of peers need not be sorted.
		if spec, found := w.specs[name]; found {
			c.Services = append(c.Services, spec)
		}
	}
	return c
}

func (w *fleet) list() []NodeState {
	var states []NodeState
	for _, state := range w.states {
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b NodeState) int { return compareNodeID(&a, b.Node.Ref.ID) })
	return states
}

func fullRebuild(self model.Node, c *model.Configuration, states []NodeState) *View {
	config := Config{Self: self, Configuration: c}
	for _, state := range states {
		config.Claims = append(config.Claims, state.Claims...)
		config.Poison = append(config.Poison, state.Poison...)
		for _, target := range state.Targets {
			config.Candidates = append(config.Candidates, Candidate{Target: target, Node: state.Node})
		}
	}
	return New(config)
}

// Guards against a view that misses a change, keeps removed content or modifies an earlier view, and against replacing
// services in which nothing changed, which makes the readers of the view rebuild their state.
func TestBuilderEqualsAFullRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := model.Node{Ref: model.NodeRef{ID: "n0", Incarnation: 1}}
		w := &fleet{specs: make(map[string]model.ServiceSpec), states: make(map[string]NodeState)}
		b := NewBuilder(self)
		var c *model.Configuration
		previous, before := &View{}, &View{}
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				w.step(t)
			}
			if rapid.Bool().Draw(t, "apply") {
				c = w.configuration()
			}
			states := w.list()
			current, now := b.Build(c, states), fullRebuild(self, c, states)
			require.Equal(t, now, current)
			require.Equal(t, before, previous, "the previous view must not change")
			for _, s := range current.Services {
				if old := previous.Service(s.Spec.Name); old != nil && old != s {
					require.NotEqual(t, old, s, "an equal service must be shared")
				}
			}
			checkDifference(t, current, previous)
			previous, before = current, now
		}
	})
}

// checkDifference applies the difference to the older view; the services of another node's view must not count as
// unchanged.
func checkDifference(t *rapid.T, current, previous *View) {
	services := make(map[string]*Service)
	for _, s := range previous.Services {
		services[s.Spec.Name] = s
	}
	d := current.Since(previous)
	for _, s := range d.Changed {
		require.True(t, previous.Self != current.Self || services[s.Spec.Name] != s)
		services[s.Spec.Name] = s
	}
	for _, name := range d.Removed {
		delete(services, name)
	}
	require.Len(t, services, len(current.Services))
	for _, s := range current.Services {
		require.Same(t, s, services[s.Spec.Name])
	}
	other := *current
	other.Self.Ref.Incarnation++
	require.Len(t, other.Since(current).Changed, len(current.Services))
}
