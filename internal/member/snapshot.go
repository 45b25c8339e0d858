package member

import (
	"slices"
	"strings"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Departed is a node that left or died within the life of its tombstone.
type Departed struct {
	Ref       model.NodeRef `json:"ref"`
	Successor model.NodeRef `json:"successor"`
}

// Snapshot is the immutable membership at one moment.
type Snapshot struct {
	Self model.NodeRef `json:"self"`
	// Generation grows with every change except that of ticket numbers.
	Generation uint64 `json:"generation"`
	// Records are the nodes that are alive, suspect or leaving, sorted by node ID; the own record is included.
	Records []NodeRecord `json:"records"`
	// Departed are the tombstones, sorted by node ID.
	Departed []Departed `json:"departed"`
}

// Record returns the record of the node with this ID, or nil when no such node is alive.
func (s *Snapshot) Record(id string) *NodeRecord {
	i, found := slices.BinarySearchFunc(s.Records, id, func(r NodeRecord, id string) int {
		return strings.Compare(r.Node.Ref.ID, id)
	})
	if !found {
		return nil
	}
	return &s.Records[i]
}

// Node returns the node that runs under exactly this reference, and false when it is not alive.
func (s *Snapshot) Node(ref model.NodeRef) (model.Node, bool) {
	r := s.Record(ref.ID)
	if r == nil || r.Node.Ref != ref {
		return model.Node{}, false
	}
	return r.Node, true
}
