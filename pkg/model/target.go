package model

import "cmp"

// TargetState tells whether a target accepts new requests.
type TargetState uint8

// The states of a target.
const (
	TargetServing TargetState = iota + 1
	TargetDraining
)

// TargetRef identifies one run of one target.
type TargetRef struct {
	Service     string `cbor:"1,keyasint" json:"service"`
	ID          string `cbor:"2,keyasint" json:"id"`
	Incarnation uint64 `cbor:"3,keyasint" json:"incarnation"`
}

// Target describes one target as its node announces it to the fleet.
type Target struct {
	Ref   TargetRef   `cbor:"1,keyasint" json:"ref"`
	Node  NodeRef     `cbor:"2,keyasint" json:"node"`
	Slots int         `cbor:"3,keyasint" json:"slots"`
	State TargetState `cbor:"4,keyasint" json:"state"`
}

// String returns the name of the state as it stands in logs and state dumps.
func (s TargetState) String() string {
	switch s {
	case TargetServing:
		return "serving"
	case TargetDraining:
		return "draining"
	default:
		return "invalid"
	}
}

// MarshalText encodes the state by its name.
func (s TargetState) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// Compare orders references by service, ID and incarnation.
func (r TargetRef) Compare(other TargetRef) int {
	if c := cmp.Compare(r.Service, other.Service); c != 0 {
		return c
	}
	if c := cmp.Compare(r.ID, other.ID); c != 0 {
		return c
	}
	return cmp.Compare(r.Incarnation, other.Incarnation)
}
