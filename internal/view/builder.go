package view

import (
	"reflect"
	"slices"
	"strings"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Builder builds successive views that share the services whose content did not change. It is not safe for concurrent
// use.
type Builder struct {
	self          model.Node
	configuration *model.Configuration
	// states are the node states of the current view, sorted by node ID.
	states []*NodeState
	// indexes hold the node states by service, including services outside the configuration.
	indexes map[string]*serviceIndex
	current *View
	// outdated names the services whose index changed since the current view was built.
	outdated map[string]bool
}

// NewBuilder returns a builder for the views of one node.
func NewBuilder(self model.Node) *Builder {
	return &Builder{self: self, indexes: make(map[string]*serviceIndex), current: &View{Self: self}, outdated: make(map[string]bool)}
}

// Build returns the view of the configuration and the node states, which must be sorted by node ID with one state per
// ID. The view equals the result of New; if nothing changed, Build returns the previous view.
func (b *Builder) Build(c *model.Configuration, states []NodeState) *View {
	b.updateStates(states)
	if c != b.configuration || len(b.outdated) > 0 {
		b.current = b.buildView(c)
		b.configuration = c
		b.removeEmpty()
	}
	return b.current
}

func (b *Builder) updateStates(states []NodeState) {
	old, next := b.states, make([]*NodeState, 0, len(states))
	for i := range states {
		state := &states[i]
		for len(old) > 0 && old[0].Node.Ref.ID < state.Node.Ref.ID {
			b.remove(old[0])
			old = old[1:]
		}
		if len(old) > 0 && old[0].Node.Ref.ID == state.Node.Ref.ID {
			known := old[0]
			old = old[1:]
			if known.equal(state) {
				next = append(next, known)
				continue
			}
			b.remove(known)
		}
		next = append(next, b.add(*state))
	}
	for _, state := range old {
		b.remove(state)
	}
	b.states = next
}

func (b *Builder) add(state NodeState) *NodeState {
	for i := range state.Targets {
		b.index(state.Targets[i].Ref.Service).addTarget(announcement{target: &state.Targets[i], node: &state.Node})
	}
	for i := range state.Claims {
		b.index(state.Claims[i].Target.Service).addReporter(&state)
	}
	for i := range state.Poison {
		b.index(state.Poison[i].Service).addReporter(&state)
	}
	return &state
}

func (b *Builder) remove(state *NodeState) {
	for i := range state.Targets {
		b.index(state.Targets[i].Ref.Service).removeTarget(&state.Targets[i])
	}
	for i := range state.Claims {
		b.index(state.Claims[i].Target.Service).removeReporter(state)
	}
	for i := range state.Poison {
		b.index(state.Poison[i].Service).removeReporter(state)
	}
}

// index returns the index of a service and marks it as outdated, since the caller is about to change it.
func (b *Builder) index(service string) *serviceIndex {
	r := b.indexes[service]
	if r == nil {
		r = &serviceIndex{}
		b.indexes[service] = r
	}
	b.outdated[service] = true
	return r
}

// removeEmpty deletes the indexes of services that no node state refers to any more.
func (b *Builder) removeEmpty() {
	for name := range b.outdated {
		if b.indexes[name].empty() {
			delete(b.indexes, name)
		}
	}
	clear(b.outdated)
}

func (b *Builder) buildView(c *model.Configuration) *View {
	v := &View{Self: b.self}
	if c == nil {
		return v
	}
	v.ConfigNumber = c.Number
	for i := range c.Services {
		v.Services = append(v.Services, b.service(&c.Services[i], c == b.configuration))
	}
	slices.SortFunc(v.Services, func(a, b *Service) int { return strings.Compare(a.Spec.Name, b.Spec.Name) })
	return v
}

// service returns the service of the current view if it is still valid, or else a new one.
func (b *Builder) service(spec *model.ServiceSpec, sameSpec bool) *Service {
	old := b.current.Service(spec.Name)
	outdated := b.outdated[spec.Name]
	if old != nil && !outdated && (sameSpec || reflect.DeepEqual(&old.Spec, spec)) {
		return old
	}
	r := b.indexes[spec.Name]
	if r == nil {
		r = &serviceIndex{}
	}
	s := r.service(spec)
	if old != nil && old.equal(s) {
		return old
	}
	return s
}

func (s *Service) equal(other *Service) bool {
	return slices.Equal(s.Candidates, other.Candidates) && slices.Equal(s.Claims, other.Claims) &&
		slices.Equal(s.Poison, other.Poison) && reflect.DeepEqual(&s.Spec, &other.Spec)
}
