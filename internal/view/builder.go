package view

import (
	"reflect"
	"slices"
	"strings"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Builder builds successive views; services whose content did not change are shared between them. It is not safe for
// concurrent use.
type Builder struct {
	self          model.Node
	configuration *model.Configuration
	// parts are those of the current view, sorted by node ID.
	parts []*NodeState
	// indexes hold the parts by service, also of services outside the configuration.
	indexes map[string]*serviceIndex
	current *View
	// outdated names the services whose index changed since the current view.
	outdated map[string]bool
}

// NewBuilder returns a builder of the views of one node.
func NewBuilder(self model.Node) *Builder {
	return &Builder{self: self, indexes: make(map[string]*serviceIndex), current: &View{Self: self}, outdated: make(map[string]bool)}
}

// Build returns the view of the configuration and the parts, which are sorted by node ID, one per ID. It equals that of
// New; when nothing changed, it is the previous one.
func (b *Builder) Build(c *model.Configuration, parts []NodeState) *View {
	b.takeParts(parts)
	if c != b.configuration || len(b.outdated) > 0 {
		b.current = b.next(c)
		b.configuration = c
		b.removeEmpty()
	}
	return b.current
}

func (b *Builder) takeParts(parts []NodeState) {
	old, next := b.parts, make([]*NodeState, 0, len(parts))
	for i := range parts {
		part := &parts[i]
		for len(old) > 0 && old[0].Node.Ref.ID < part.Node.Ref.ID {
			b.drop(old[0])
			old = old[1:]
		}
		if len(old) > 0 && old[0].Node.Ref.ID == part.Node.Ref.ID {
			known := old[0]
			old = old[1:]
			if known.equal(part) {
				next = append(next, known)
				continue
			}
			b.drop(known)
		}
		next = append(next, b.add(*part))
	}
	for _, part := range old {
		b.drop(part)
	}
	b.parts = next
}

func (b *Builder) add(part NodeState) *NodeState {
	for i := range part.Targets {
		b.index(part.Targets[i].Ref.Service).addTarget(announced{target: &part.Targets[i], node: &part.Node})
	}
	for i := range part.Claims {
		b.index(part.Claims[i].Target.Service).addReporter(&part)
	}
	for i := range part.Poison {
		b.index(part.Poison[i].Service).addReporter(&part)
	}
	return &part
}

func (b *Builder) drop(part *NodeState) {
	for i := range part.Targets {
		b.index(part.Targets[i].Ref.Service).dropTarget(&part.Targets[i])
	}
	for i := range part.Claims {
		b.index(part.Claims[i].Target.Service).dropReporter(part)
	}
	for i := range part.Poison {
		b.index(part.Poison[i].Service).dropReporter(part)
	}
}

// index returns the index of a service that is about to change.
func (b *Builder) index(service string) *serviceIndex {
	r := b.indexes[service]
	if r == nil {
		r = &serviceIndex{}
		b.indexes[service] = r
	}
	b.outdated[service] = true
	return r
}

// removeEmpty forgets the indexes of services that no part names any more.
func (b *Builder) removeEmpty() {
	for name := range b.outdated {
		if b.indexes[name].empty() {
			delete(b.indexes, name)
		}
	}
	clear(b.outdated)
}

func (b *Builder) next(c *model.Configuration) *View {
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

// service returns the service of the current view if it still holds, or else a new one.
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
