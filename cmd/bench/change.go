package main

import (
	"fmt"
	"slices"

	"github.com/auburnwinch/auburnwinch/internal/eject"
	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/picker"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// rackNodes is the number of nodes that are lost with one rack or switch.
const rackNodes = 25

// Names of the changes.
const (
	changeRecord = "record"
	changeRack   = "rack"
	changeTicket = "ticket"
	changeClaim  = "claim"
)

// fleetState is what the view of a node is built from.
type fleetState struct {
	configuration *model.Configuration
	members       *member.Snapshot
}

// fleetChange is a change of a fleet and its undoing, so that it can be applied any number of times.
type fleetChange struct {
	name   string
	states [2]fleetState
}

// fleetChanges returns the changes whose cost is measured, for a fleet of some nodes.
func fleetChanges(nodes int) []fleetChange {
	base := fleetState{configuration: scaledConfiguration(designRoutes), members: scaledMembers(nodes).Snapshot()}
	change := func(name string, apply func(*fleetState)) fleetChange {
		next := fleetState{configuration: base.configuration, members: &member.Snapshot{Self: base.members.Self}}
		next.members.Records = slices.Clone(base.members.Records)
		apply(&next)
		return fleetChange{name: name, states: [2]fleetState{base, next}}
	}
	return []fleetChange{
		change(changeRecord, func(s *fleetState) { s.restart(nodes / 2) }),
		change(changeRack, func(s *fleetState) { s.lose(nodes/2, min(rackNodes, nodes/3)) }),
		change(changeTicket, func(s *fleetState) { s.file(designServices / 2) }),
		change(changeClaim, func(s *fleetState) { s.claim(nodes / 2) }),
	}
}

// restart gives a node and its targets a new incarnation, as after the replacement of a VM.
func (s *fleetState) restart(node int) {
	r := &s.members.Records[node]
	r.Node.Ref.Incarnation++
	r.Targets = slices.Clone(r.Targets)
	for i := range r.Targets {
		r.Targets[i].Node = r.Node.Ref
		r.Targets[i].Ref.Incarnation++
	}
}

func (s *fleetState) lose(first, count int) {
	s.members.Records = slices.Delete(s.members.Records, first, first+count)
}

// file applies a ticket that gives one service new routes.
func (s *fleetState) file(service int) {
	next := *s.configuration
	next.Number++
	next.Services = slices.Clone(next.Services)
	spec := &next.Services[service]
	spec.Routes = slices.Clone(spec.Routes)
	for i := range spec.Routes {
		spec.Routes[i].PathPrefix = fmt.Sprintf("/moved-%04d", i)
	}
	s.configuration = &next
}

func (s *fleetState) claim(node int) {
	r := &s.members.Records[node]
	r.Ejections = []model.Claim{{Target: r.Targets[0].Ref, Severity: model.SeverityCrashed}}
}

// rebuilder does after each change what a node does, without the request path.
type rebuilder struct {
	self    model.Node
	builder *view.Builder
	edge    *eject.Tracker
	agent   *eject.Tracker
	picker  *picker.Picker
	// full makes each view from the beginning, so that no part can tell what changed.
	full bool
}

func newRebuilder(full bool) *rebuilder {
	r := &rebuilder{
		self: scaledNode(0), builder: view.NewBuilder(scaledNode(0)), full: full,
		edge: idleTracker(eject.ObserverEdge), agent: idleTracker(eject.ObserverAgent),
	}
	r.picker = picker.New(picker.Config{Health: r.edge})
	return r
}

func (r *rebuilder) close() {
	r.edge.Close()
	r.agent.Close()
}

func (r *rebuilder) view(s fleetState) *view.View {
	if r.full {
		return viewOf(r.self, s.configuration, s.members)
	}
	return r.builder.Build(s.configuration, partsOf(s.members))
}

func (r *rebuilder) apply(s fleetState) {
	v := r.view(s)
	r.edge.SetView(v)
	r.agent.SetView(v)
	r.picker.SetView(v)
}
