package roster

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Record is the published state of a node.
type Record struct {
	Node    model.Node     `cbor:"1,keyasint"`
	Targets []model.Target `cbor:"2,keyasint,omitempty"`
	// Leaving is true when the node shuts down and accepts no more requests for its targets.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// Crashes lists the requests during which targets of the node crashed, and those that succeeded after such a crash.
	Crashes []model.CrashEntry `cbor:"7,keyasint,omitempty"`
	// Withdrawn lists the targets of the node that were withdrawn last, and KnownDraining those that were draining, also
	// under an earlier process of the node. Its next process restores them before it publishes a record.
	Withdrawn     []model.TargetRef `cbor:"5,keyasint,omitempty"`
	KnownDraining []model.TargetRef `cbor:"6,keyasint,omitempty"`
	// Era is the era of the store, as known to the node, in which it wrote the record.
	Era uint64 `cbor:"8,keyasint,omitempty"`
}

// Encode returns the record as the value of the node's row.
func (r *Record) Encode() []byte {
	value, err := cbor.Marshal(r)
	if err != nil {
		panic("roster: encode a record: " + err.Error())
	}
	return value
}

// DecodeRecord decodes the row of a node. It fails when the value is not a record or names a node other than the key.
func DecodeRecord(row Row) (*Record, error) {
	var r Record
	if err := cbor.Unmarshal(row.Value, &r); err != nil {
		return nil, eris.Wrapf(err, "row %q is not a record of a node; ignore it", row.Key)
	}
	if r.Node.Ref.ID != row.Key || r.Node.RelayAddress == "" {
		return nil, eris.Errorf("row %q names the node %q at %q; ignore it", row.Key, r.Node.Ref.ID, r.Node.RelayAddress)
	}
	if err := r.check(); err != nil {
		return nil, eris.Wrapf(err, "row %q was not written by a node; ignore it", row.Key)
	}
	return &r, nil
}

// check fails if a value of the record is outside the range that nodes publish.
func (r *Record) check() error {
	for _, address := range []string{r.Node.RelayAddress, r.Node.CallerAddress, r.Node.PeerAddress} {
		if address == "" {
			continue // Not every node serves callers and peers.
		}
		if err := model.CheckAddress(address); err != nil {
			return err
		}
	}
	for i := range r.Targets {
		switch t := &r.Targets[i]; {
		case t.Ref.Service == "" || t.Ref.ID == "":
			return eris.New("a target has no service or no id")
		case t.Slots < 0 || t.Slots > model.MaxSlots:
			return eris.Errorf("the target %q has %d slots", t.Ref.ID, t.Slots)
		case t.State != model.TargetServing && t.State != model.TargetDraining:
			return eris.Errorf("the target %q has the state %d", t.Ref.ID, t.State)
		}
	}
	return nil
}

// Registered returns the targets that were serving or draining when the record was published.
func (r *Record) Registered() []model.TargetRef {
	refs := make([]model.TargetRef, 0, len(r.Targets))
	for i := range r.Targets {
		refs = append(refs, r.Targets[i].Ref)
	}
	return refs
}

// Draining returns the targets that accept no new requests, in this or an earlier process of the node.
func (r *Record) Draining() []model.TargetRef {
	refs := slices.Clone(r.KnownDraining)
	for i := range r.Targets {
		if r.Targets[i].State == model.TargetDraining && !slices.Contains(refs, r.Targets[i].Ref) {
			refs = append(refs, r.Targets[i].Ref)
		}
	}
	return refs
}

// Serving reports whether the node has targets and does not shut down.
func (r *Record) Serving() bool { return len(r.Targets) > 0 && !r.Leaving }

// NodeState returns the state of the node for the view; targets of a leaving node are not candidates and left out.
func (r *Record) NodeState() view.NodeState {
	state := view.NodeState{Node: r.Node}
	if !r.Leaving {
		state.Targets = r.Targets
	}
	return state
}
