package roster

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Record is what a node publishes of itself.
type Record struct {
	Node    model.Node     `cbor:"1,keyasint"`
	Targets []model.Target `cbor:"2,keyasint,omitempty"`
	// Leaving tells that the node shuts down and takes no more requests for its targets.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// Crashes are the requests under which targets of the node died, or that survived after such a death.
	Crashes []model.CrashEntry `cbor:"7,keyasint,omitempty"`
	// Withdrawn are the latest targets of the node that have said goodbye; its next process reads them.
	Withdrawn []model.TargetRef `cbor:"5,keyasint,omitempty"`
	// RestoredDraining are the targets that drained under an earlier process of the node, which this one may not have heard of yet.
	RestoredDraining []model.TargetRef `cbor:"6,keyasint,omitempty"`
}

// Encode returns the value of the node's row.
func (r *Record) Encode() []byte {
	value, err := cbor.Marshal(r)
	if err != nil {
		panic("roster: a record is always encodable: " + err.Error())
	}
	return value
}

// DecodeRecord reads the row of a node; it fails on the row of another writer.
func DecodeRecord(row Row) (*Record, error) {
	var r Record
	if err := cbor.Unmarshal(row.Value, &r); err != nil {
		return nil, eris.Wrapf(err, "row %q is no record of a node; ignore it", row.Key)
	}
	if r.Node.Ref.ID != row.Key || r.Node.RelayAddress == "" {
		return nil, eris.Errorf("row %q names the node %q at %q; ignore it", row.Key, r.Node.Ref.ID, r.Node.RelayAddress)
	}
	return &r, nil
}

// Draining returns the targets that accept nothing new, now or under an earlier process of the node.
func (r *Record) Draining() []model.TargetRef {
	refs := slices.Clone(r.RestoredDraining)
	for i := range r.Targets {
		if r.Targets[i].State == model.TargetDraining && !slices.Contains(refs, r.Targets[i].Ref) {
			refs = append(refs, r.Targets[i].Ref)
		}
	}
	return refs
}

// NodeState returns what the node contributes to the view; targets of leaving nodes are no candidates.
func (r *Record) NodeState() view.NodeState {
	part := view.NodeState{Node: r.Node}
	if !r.Leaving {
		part.Targets = r.Targets
	}
	return part
}
