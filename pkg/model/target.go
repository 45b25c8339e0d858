package model

import "cmp"

// TargetState is whether a target accepts new requests.
type TargetState uint8

// States of a target.
const (
	TargetServing TargetState = iota + 1
	TargetDraining
)

// TargetRef identifies one incarnation of a target, that is, one run of its process.
type TargetRef struct {
	Service     string `cbor:"1,keyasint" json:"service"`
	ID          string `cbor:"2,keyasint" json:"id"`
	Incarnation uint64 `cbor:"3,keyasint" json:"incarnation"`
}

// Target describes a target as its node announces it to the fleet.
type Target struct {
	Ref   TargetRef   `cbor:"1,keyasint" json:"ref"`
	Node  NodeRef     `cbor:"2,keyasint" json:"node"`
	Slots int         `cbor:"3,keyasint" json:"slots"`
	State TargetState `cbor:"4,keyasint" json:"state"`
}

// String returns the name of the state as used in logs and state dumps.
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

// MarshalText encodes the state as its name.
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
