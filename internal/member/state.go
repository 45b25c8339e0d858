package member

import "github.com/auburnwinch/auburnwinch/pkg/model"

// State is the state of the module for the state dump.
type State struct {
	Self           model.NodeRef `json:"self"`
	Joined         bool          `json:"joined"`
	Alive          int           `json:"alive"`
	Nodes          []NodeState   `json:"nodes"`
	PendingRumours int           `json:"pending-rumours"`
	PendingNumbers int           `json:"pending-numbers"`
	Root           uint64        `json:"root"`
	Counts         Counts        `json:"counts"`
}

// NodeState is the state of one node as seen by this module.
type NodeState struct {
	Ref     model.NodeRef `json:"ref"`
	Domain  string        `json:"domain"`
	Region  string        `json:"region"`
	Status  Status        `json:"status"`
	Leaving bool          `json:"leaving"`
	Version uint64        `json:"version"`
	Ticket  uint64        `json:"ticket"`
	Targets int           `json:"targets"`
}

// State returns the state for the state dump; the nodes are sorted by ID and include tombstones.
func (m *Module) State() State {
	s := State{
		Self: m.self.record.Node.Ref, Joined: m.joined, Alive: m.table.alive, Root: m.table.root(),
		PendingRumours: len(m.rumours.pending), PendingNumbers: len(m.rumours.tickets), Counts: m.counts,
	}
	for _, e := range m.table.sorted {
		r := &e.record
		s.Nodes = append(s.Nodes, NodeState{
			Ref: r.Node.Ref, Domain: r.Node.Domain, Region: r.Node.Region, Status: e.status, Leaving: r.Leaving,
			Version: r.Version, Ticket: r.Ticket, Targets: len(r.Targets),
		})
	}
	return s
}
