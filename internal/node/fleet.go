package node

import (
	"sync/atomic"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// fleet answers questions about other nodes from the latest membership and view.
type fleet struct {
	members atomic.Pointer[member.Snapshot]
	view    view.Cell
}

// Node returns the addresses of the node incarnation while it is not dead.
func (f *fleet) Node(ref model.NodeRef) (model.Node, bool) {
	snapshot := f.members.Load()
	if snapshot == nil {
		return model.Node{}, false
	}
	return snapshot.Node(ref)
}

// Successor returns the node that the leaving record of the node incarnation names.
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

// Agents returns the nodes that have targets of the service, each once.
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

// buildView joins the configuration with what the nodes publish. Targets of leaving nodes are no candidates.
func buildView(self model.Node, configuration *model.Configuration, members *member.Snapshot) *view.View {
	c := view.Config{Self: self, Configuration: configuration}
	for i := range members.Records {
		record := &members.Records[i]
		c.Claims = append(c.Claims, record.Ejections...)
		c.Poison = append(c.Poison, record.Poison...)
		if record.Leaving {
			continue
		}
		for _, target := range record.Targets {
			c.Candidates = append(c.Candidates, view.Candidate{Target: target, Node: record.Node})
		}
	}
	return view.New(c)
}
