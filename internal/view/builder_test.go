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
	parts  map[string]NodeState
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
	part, known := w.parts[id]
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0:
		delete(w.parts, id)
		return
	case 1:
		w.file(t)
		return
	case 2:
		part.Node.Ref.Incarnation++
	case 3:
		part.Claims = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) model.Claim {
			return model.Claim{Target: targetRef(t), Severity: model.Severity(rapid.IntRange(1, 4).Draw(t, "severity"))}
		}), 0, 3).Draw(t, "claims")
	case 4:
		part.Poison = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) model.PoisonEntry {
			return model.PoisonEntry{Service: serviceName(t), Fingerprint: rapid.Uint64Range(1, 3).Draw(t, "fingerprint")}
		}), 0, 3).Draw(t, "poison")
	case 5: // Lists that are equal but not the same, as the own record and decoded records have them.
		part.Targets, part.Claims, part.Poison = slices.Clone(part.Targets), slices.Clone(part.Claims), slices.Clone(part.Poison)
	default:
		part.Targets = rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) model.Target {
			return model.Target{Ref: targetRef(t), Slots: rapid.IntRange(1, 2).Draw(t, "slots"), State: model.TargetServing}
		}), 0, 5, func(target model.Target) model.TargetRef { return target.Ref }).Draw(t, "targets")
		for i := range part.Targets {
			part.Targets[i].Node.ID = id
		}
	}
	if !known {
		part.Node.Ref.ID = id
	}
	w.parts[id] = part
}

// file changes, adds or removes a service.
func (w *fleet) file(t *rapid.T) {
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
	var parts []NodeState
	for _, part := range w.parts {
		parts = append(parts, part)
	}
	slices.SortFunc(parts, func(a, b NodeState) int { return compareNodeID(&a, b.Node.Ref.ID) })
	return parts
}

func full(self model.Node, c *model.Configuration, parts []NodeState) *View {
	config := Config{Self: self, Configuration: c}
	for _, part := range parts {
		config.Claims = append(config.Claims, part.Claims...)
		config.Poison = append(config.Poison, part.Poison...)
		for _, target := range part.Targets {
			config.Candidates = append(config.Candidates, Candidate{Target: target, Node: part.Node})
		}
	}
	return New(config)
}

// Guards against a view that misses a change, keeps what is gone or modifies an earlier view, and against services that
// are replaced although nothing in them changed, which costs the parts that read the view a rebuild.
func TestBuilderEqualsAFullRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := model.Node{Ref: model.NodeRef{ID: "n0", Incarnation: 1}}
		w := &fleet{specs: make(map[string]model.ServiceSpec), parts: make(map[string]NodeState)}
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
			parts := w.list()
			current, now := b.Build(c, parts), full(self, c, parts)
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

// checkDifference applies the difference to the older view; a view of another node must not pass as unchanged.
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
