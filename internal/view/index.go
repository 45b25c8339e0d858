package view

import (
	"slices"
	"strings"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// announcement is a target in a node state.
type announcement struct {
	target *model.Target
	node   *model.Node
}

// serviceIndex holds the content of the node states that concerns one service.
type serviceIndex struct {
	// targets are in the order of the service's candidates.
	targets []announcement
	// reporters are the node states with claims or poison entries, sorted by node ID.
	reporters []*NodeState
}

func (r *serviceIndex) addTarget(a announcement) {
	at, _ := slices.BinarySearchFunc(r.targets, a, compareAnnouncements)
	r.targets = slices.Insert(r.targets, at, a)
}

func (r *serviceIndex) removeTarget(target *model.Target) {
	r.targets = slices.DeleteFunc(r.targets, func(a announcement) bool { return a.target == target })
}

func (r *serviceIndex) addReporter(state *NodeState) {
	if slices.Contains(r.reporters, state) {
		return
	}
	at, _ := slices.BinarySearchFunc(r.reporters, state.Node.Ref.ID, compareNodeID)
	r.reporters = slices.Insert(r.reporters, at, state)
}

func (r *serviceIndex) removeReporter(state *NodeState) {
	r.reporters = slices.DeleteFunc(r.reporters, func(p *NodeState) bool { return p == state })
}

func (r *serviceIndex) empty() bool { return len(r.targets) == 0 && len(r.reporters) == 0 }

// service builds the service from the indexed node states.
func (r *serviceIndex) service(spec *model.ServiceSpec) *Service {
	s := &Service{Spec: *spec}
	if len(r.targets) > 0 {
		s.Candidates = make([]Candidate, len(r.targets))
	}
	for i, a := range r.targets {
		s.Candidates[i] = Candidate{Target: *a.target, Node: *a.node}
	}
	for _, state := range r.reporters {
		for _, claim := range state.Claims {
			if claim.Target.Service == spec.Name {
				s.Claims = append(s.Claims, claim)
			}
		}
		for _, entry := range state.Poison {
			if entry.Service == spec.Name {
				s.Poison = append(s.Poison, entry)
			}
		}
	}
	return s
}

// compareAnnouncements orders targets by reference, and targets that two nodes announce by node, for a total order.
func compareAnnouncements(a, b announcement) int {
	if c := a.target.Ref.Compare(b.target.Ref); c != 0 {
		return c
	}
	return strings.Compare(a.node.Ref.ID, b.node.Ref.ID)
}

func compareNodeID(state *NodeState, id string) int { return strings.Compare(state.Node.Ref.ID, id) }
