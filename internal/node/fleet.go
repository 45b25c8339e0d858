package node

import (
	"sync/atomic"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// fleet looks up other nodes in the latest membership and view.
type fleet struct {
	members atomic.Pointer[member.Snapshot]
	view    view.Holder
}

// Node returns the addresses of the node incarnation unless it is dead.
func (f *fleet) Node(ref model.NodeRef) (model.Node, bool) {
	snapshot := f.members.Load()
	if snapshot == nil {
		return model.Node{}, false
	}
	return snapshot.Node(ref)
}

// Successor returns the node that the node incarnation named in its record when it left.
func (f *fleet) Successor(ref model.NodeRef) (model.Node, bool) {
	snapshot := f.members.Load()
	if snapshot == nil {
		return model.Node{}, false
	}
	successor, ok := snapshot.SuccessorOf(ref)
	if !ok {
		return model.Node{}, false
	}
	return snapshot.Node(successor)
}

// Agents returns the nodes that have targets of the service, without duplicates.
func (f *fleet) Agents(service string) []model.Node {
	v := f.view.Load()
	if v == nil {
		return nil
	}
	s := v.Service(service)
	if s == nil {
		return nil
	}
	var nodes []model.Node
	seen := make(map[model.NodeRef]bool)
	for _, c := range s.Candidates {
		if !seen[c.Node.Ref] {
			seen[c.Node.Ref] = true
			nodes = append(nodes, c.Node)
		}
	}
	return nodes
}

// nodeStates returns what the nodes publish, sorted by node ID; targets of leaving nodes are not candidates.
func nodeStates(members *member.Snapshot) []view.NodeState {
	parts := make([]view.NodeState, len(members.Records))
	for i := range members.Records {
		record := &members.Records[i]
		parts[i] = view.NodeState{Node: record.Node, Claims: record.Ejections, Poison: record.Poison}
		if !record.Leaving {
			parts[i].Targets = record.Targets
		}
	}
	return parts
}
