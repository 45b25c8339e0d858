package model

import "fmt"

// NodeRef identifies one incarnation of a node, that is, one run of its process.
type NodeRef struct {
	ID          string `cbor:"1,keyasint" json:"id"`
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
}

// Node describes a node of the fleet and its listen addresses.
type Node struct {
	Ref           NodeRef `cbor:"1,keyasint" json:"ref"`
	Domain        string  `cbor:"2,keyasint" json:"domain"`
	Region        string  `cbor:"3,keyasint" json:"region"`
	PeerAddress   string  `cbor:"4,keyasint" json:"peer-address"`
	RelayAddress  string  `cbor:"5,keyasint" json:"relay-address"`
	CallerAddress string  `cbor:"6,keyasint" json:"caller-address"`
}

// String returns the reference as `id.incarnation`.
func (r NodeRef) String() string {
	return fmt.Sprintf("%s.%d", r.ID, r.Incarnation)
}

// IsZero reports whether the reference is empty.
func (r NodeRef) IsZero() bool {
	return r == NodeRef{}
}
