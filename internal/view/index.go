package view

import (
	"slices"
	"strings"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// announced is a target in a part.
type announced struct {
	target *model.Target
	node   *model.Node
}

// serviceIndex holds the parts of the nodes that concern one service.
type serviceIndex struct {
	// targets are sorted as the candidates of the service.
	targets []announced
	// reporters are the parts with claims or poison entries, sorted by node ID.
	reporters []*NodeState
}

func (r *serviceIndex) addTarget(a announced) {
	at, _ := slices.BinarySearchFunc(r.targets, a, compareAnnounced)
	r.targets = slices.Insert(r.targets, at, a)
}

func (r *serviceIndex) dropTarget(target *model.Target) {
	r.targets = slices.DeleteFunc(r.targets, func(a announced) bool { return a.target == target })
}

func (r *serviceIndex) addReporter(part *NodeState) {
	if slices.Contains(r.reporters, part) {
		return
	}
	at, _ := slices.BinarySearchFunc(r.reporters, part.Node.Ref.ID, compareNodeID)
	r.reporters = slices.Insert(r.reporters, at, part)
}

func (r *serviceIndex) dropReporter(part *NodeState) {
	r.reporters = slices.DeleteFunc(r.reporters, func(p *NodeState) bool { return p == part })
}

func (r *serviceIndex) empty() bool { return len(r.targets) == 0 && len(r.reporters) == 0 }

// service returns what the parts say about the service.
func (r *serviceIndex) service(spec *model.ServiceSpec) *Service {
	s := &Service{Spec: *spec}
	if len(r.targets) > 0 {
		s.Candidates = make([]Candidate, len(r.targets))
	}
	for i, a := range r.targets {
		s.Candidates[i] = Candidate{Target: *a.target, Node: *a.node}
	}
	for _, part := range r.reporters {
		for _, claim := range part.Claims {
			if claim.Target.Service == spec.Name {
				s.Claims = append(s.Claims, claim)
			}
		}
		for _, entry := range part.Poison {
			if entry.Service == spec.Name {
				s.Poison = append(s.Poison, entry)
			}
		}
	}
	return s
}

// compareAnnounced orders targets by reference, and those that two nodes announce by node, so that the order is total.
func compareAnnounced(a, b announced) int {
	if c := a.target.Ref.Compare(b.target.Ref); c != 0 {
		return c
	}
	return strings.Compare(a.node.Ref.ID, b.node.Ref.ID)
}

func compareNodeID(part *NodeState, id string) int { return strings.Compare(part.Node.Ref.ID, id) }
