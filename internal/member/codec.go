package member

import (
	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// MaxDatagram bounds an encoded datagram without its authentication, in bytes. It keeps the whole packet within
	// 1,200 bytes, which every network path carries without fragmentation.
	MaxDatagram = 1200 - 17
	// MaxID bounds the ID of a node, in bytes, so that the header of a datagram has a bounded size.
	MaxID = 64
	// maxListLength bounds the number of elements of each list in a record or datagram.
	maxListLength = 4096
)

// ErrMalformed reports a record or datagram that does not follow the format.
var ErrMalformed = eris.New("malformed bytes; check that both nodes run compatible versions")

// wireRecord is the encoded content of a record; version, status and ticket number are sent beside it.
type wireRecord struct {
	ID            string              `cbor:"1,keyasint"`
	Incarnation   uint64              `cbor:"2,keyasint"`
	Domain        string              `cbor:"3,keyasint,omitempty"`
	Region        string              `cbor:"4,keyasint,omitempty"`
	PeerAddress   string              `cbor:"5,keyasint,omitempty"`
	RelayAddress  string              `cbor:"6,keyasint,omitempty"`
	CallerAddress string              `cbor:"7,keyasint,omitempty"`
	Leaving       bool                `cbor:"8,keyasint,omitempty"`
	Successor     *model.NodeRef      `cbor:"9,keyasint,omitempty"`
	Targets       []wireTarget        `cbor:"10,keyasint,omitempty"`
	Ejections     []model.Claim       `cbor:"11,keyasint,omitempty"`
	Poison        []model.PoisonEntry `cbor:"12,keyasint,omitempty"`
}

// wireTarget omits the node of the target, because it is the node that the record describes.
type wireTarget struct {
	Service     string            `cbor:"1,keyasint"`
	ID          string            `cbor:"2,keyasint"`
	Incarnation uint64            `cbor:"3,keyasint"`
	Slots       int               `cbor:"4,keyasint"`
	State       model.TargetState `cbor:"5,keyasint"`
}

var (
	encoding = must(cbor.EncOptions{Sort: cbor.SortNone}.EncMode())
	decoding = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  8,
		MaxArrayElements: maxListLength,
		MaxMapPairs:      64,
	}.DecMode())
)

// EncodeDatagram returns the CBOR form of a datagram.
func EncodeDatagram(d *Datagram) ([]byte, error) {
	return encoding.Marshal(d)
}

// DecodeDatagram parses and validates a datagram; it returns ErrMalformed for invalid input.
func DecodeDatagram(data []byte) (*Datagram, error) {
	var d Datagram
	if err := decoding.Unmarshal(data, &d); err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	if err := d.check(); err != nil {
		return nil, err
	}
	return &d, nil
}

func encodeRecord(r *NodeRecord) []byte {
	w := wireRecord{
		ID: r.Node.Ref.ID, Incarnation: r.Node.Ref.Incarnation, Domain: r.Node.Domain, Region: r.Node.Region,
		PeerAddress: r.Node.PeerAddress, RelayAddress: r.Node.RelayAddress, CallerAddress: r.Node.CallerAddress,
		Leaving: r.Leaving, Ejections: r.Ejections, Poison: r.Poison,
	}
	if !r.Successor.IsZero() {
		w.Successor = &r.Successor
	}
	for _, t := range r.Targets {
		w.Targets = append(w.Targets, wireTarget{
			Service: t.Ref.Service, ID: t.Ref.ID, Incarnation: t.Ref.Incarnation, Slots: t.Slots, State: t.State,
		})
	}
	return must(encoding.Marshal(w))
}

// decodeRecord parses the content of a record; it returns ErrMalformed for invalid input.
func decodeRecord(data []byte) (NodeRecord, error) {
	var w wireRecord
	if err := decoding.Unmarshal(data, &w); err != nil {
		return NodeRecord{}, eris.Wrap(ErrMalformed, err.Error())
	}
	if w.ID == "" || len(w.ID) > MaxID {
		return NodeRecord{}, eris.Wrapf(ErrMalformed, "node ID of %d bytes", len(w.ID))
	}
	r := NodeRecord{
		Node: model.Node{
			Ref:    model.NodeRef{ID: w.ID, Incarnation: w.Incarnation},
			Domain: w.Domain, Region: w.Region,
			PeerAddress: w.PeerAddress, RelayAddress: w.RelayAddress, CallerAddress: w.CallerAddress,
		},
		Leaving: w.Leaving, Ejections: w.Ejections, Poison: w.Poison,
	}
	if w.Successor != nil {
		r.Successor = *w.Successor
	}
	if len(w.Targets) > 0 {
		r.Targets = make([]model.Target, len(w.Targets))
	}
	for i, t := range w.Targets {
		r.Targets[i] = model.Target{
			Ref:  model.TargetRef{Service: t.Service, ID: t.ID, Incarnation: t.Incarnation},
			Node: r.Node.Ref, Slots: t.Slots, State: t.State,
		}
	}
	return r, nil
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
