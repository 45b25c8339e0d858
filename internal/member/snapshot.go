package member

import (
	"slices"
	"strings"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Departed is a node that left or died and whose tombstone has not expired.
type Departed struct {
	Ref       model.NodeRef `json:"ref"`
	Successor model.NodeRef `json:"successor"`
}

// Snapshot is the immutable membership at one point in time.
type Snapshot struct {
	Self model.NodeRef `json:"self"`
	// Generation rises with every change, except changes of ticket numbers.
	Generation uint64 `json:"generation"`
	// Records holds the nodes that are not dead or left, including this node, sorted by node ID.
	Records []NodeRecord `json:"records"`
	// Departed holds the tombstones, sorted by node ID, followed by earlier runs of nodes.
	Departed []Departed `json:"departed"`
}

// Record returns the record of the node with this ID, or nil when there is none.
func (s *Snapshot) Record(id string) *NodeRecord {
	i, found := slices.BinarySearchFunc(s.Records, id, func(r NodeRecord, id string) int {
		return strings.Compare(r.Node.Ref.ID, id)
	})
	if !found {
		return nil
	}
	return &s.Records[i]
}

// Node returns the node with exactly this ID and incarnation, or false when there is none.
func (s *Snapshot) Node(ref model.NodeRef) (model.Node, bool) {
	r := s.Record(ref.ID)
	if r == nil || r.Node.Ref != ref {
		return model.Node{}, false
	}
	return r.Node, true
}
