package member

import (
	"slices"
	"strings"

	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/cespare/xxhash/v2"
)

// ChooseSuccessor returns the node that takes over the keys of a leaving node: the lowest rendezvous rank in its failure
// domain, else in its region, else in the fleet. It returns false when no other node stays.
func (s *Snapshot) ChooseSuccessor(leaving model.Node) (model.Node, bool) {
	scopes := []func(model.Node) bool{
		func(n model.Node) bool { return n.Domain == leaving.Domain },
		func(n model.Node) bool { return n.Region == leaving.Region },
		func(model.Node) bool { return true },
	}
	for _, inScope := range scopes {
		candidates := s.staying(func(n model.Node) bool { return n.Ref.ID != leaving.Ref.ID && inScope(n) })
		if len(candidates) > 0 {
			return lowestRank(leaving.Ref.String(), candidates)[0], true
		}
	}
	return model.Node{}, false
}

// SuccessorOf returns the successor that a leaving or departed node named, and false when it named none.
func (s *Snapshot) SuccessorOf(ref model.NodeRef) (model.NodeRef, bool) {
	if r := s.Record(ref.ID); r != nil && r.Node.Ref == ref {
		return r.Successor, !r.Successor.IsZero()
	}
	for _, d := range s.Departed {
		if d.Ref == ref {
			return d.Successor, !d.Successor.IsZero()
		}
	}
	return model.NodeRef{}, false
}

func (s *Snapshot) staying(keep func(model.Node) bool) []model.Node {
	var nodes []model.Node
	for i := range s.Records {
		if r := &s.Records[i]; !r.Leaving && keep(r.Node) {
			nodes = append(nodes, r.Node)
		}
	}
	return nodes
}

// lowestRank sorts the nodes by the hash of the salt and their ID, so that all observers agree without messages.
func lowestRank(salt string, nodes []model.Node) []model.Node {
	slices.SortFunc(nodes, func(a, b model.Node) int {
		ra, rb := rank(salt, a.Ref.ID), rank(salt, b.Ref.ID)
		if ra != rb {
			if ra < rb {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Ref.ID, b.Ref.ID)
	})
	return nodes
}

func rank(salt, id string) uint64 {
	return xxhash.Sum64String(salt + "\x00" + id)
}
