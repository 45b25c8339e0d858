package view

import (
	"slices"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// NodeState is what one node contributes to the view; its lists must not be modified afterwards.
type NodeState struct {
	Node    model.Node
	Targets []model.Target
	Claims  []model.Claim
	Poison  []model.PoisonEntry
}

func (p *NodeState) equal(other *NodeState) bool {
	return p.Node == other.Node && equalSlices(p.Targets, other.Targets) && equalSlices(p.Claims, other.Claims) &&
		equalSlices(p.Poison, other.Poison)
}

// equalSlices compares two lists; lists that share their memory are equal, since they are never modified.
func equalSlices[T comparable](a, b []T) bool {
	if len(a) == len(b) && len(a) > 0 && &a[0] == &b[0] {
		return true
	}
	return slices.Equal(a, b)
}
