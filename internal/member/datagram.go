package member

import (
	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/rotisserie/eris"
)

// Kind is the purpose of a datagram.
type Kind uint8

// The kinds of datagrams.
const (
	// KindPing asks the receiver for an ack.
	KindPing Kind = iota + 1
	// KindAck answers a ping, or forwards the ack of a ping that the receiver requested.
	KindAck
	// KindPingRequest asks the receiver to ping Target on behalf of the sender.
	KindPingRequest
	// KindPush carries urgent rumours and expects no response.
	KindPush
)

// shortKeySize is the length of a short key, the upper four bytes of a key.
const shortKeySize = 4

// Datagram is one message between nodes; package peer adds the authentication.
type Datagram struct {
	Kind Kind          `cbor:"1,keyasint"`
	From model.NodeRef `cbor:"2,keyasint"`
	// To is the key of the run of a node that the datagram is addressed to; zero accepts any.
	To       uint64 `cbor:"3,keyasint,omitempty"`
	Sequence uint64 `cbor:"4,keyasint,omitempty"`
	// Target is the node that a ping-request asks the receiver to ping.
	Target *PingTarget `cbor:"5,keyasint,omitempty"`
	// Ticket is the ticket number in force at the sender.
	Ticket uint64 `cbor:"6,keyasint,omitempty"`
	// Root is the digest of all records of the sender.
	Root        uint64       `cbor:"7,keyasint"`
	Rumours     []Rumour     `cbor:"8,keyasint,omitempty"`
	TicketLists []TicketList `cbor:"9,keyasint,omitempty"`
	// Statuses holds the rumours without record.
	Statuses []StatusList `cbor:"10,keyasint,omitempty"`
}

// PingTarget identifies the node to ping.
type PingTarget struct {
	Key     uint64 `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// Rumour is an update of one record; without Record it changes only version and status.
type Rumour struct {
	Key     uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// ContentVersion is the version at which the content of the record last changed.
	ContentVersion uint64 `cbor:"3,keyasint"`
	Status         Status `cbor:"4,keyasint"`
	// Age is the number of seconds since the node was declared dead or left.
	Age    uint32 `cbor:"5,keyasint,omitempty"`
	Ticket uint64 `cbor:"6,keyasint,omitempty"`
	Urgent bool   `cbor:"7,keyasint,omitempty"`
	Record []byte `cbor:"8,keyasint,omitempty"`
}

// TicketList lists the short keys of the nodes at which a ticket number is in force.
type TicketList struct {
	Ticket uint64 `cbor:"1,keyasint"`
	Keys   []byte `cbor:"2,keyasint"`
}

func (d *Datagram) check() error {
	switch {
	case d.Kind < KindPing || d.Kind > KindPush:
		return eris.Wrapf(ErrMalformed, "datagram kind %d", d.Kind)
	case d.From.ID == "" || len(d.From.ID) > MaxID:
		return eris.Wrapf(ErrMalformed, "sender ID of %d bytes", len(d.From.ID))
	case d.Kind == KindPingRequest && (d.Target == nil || d.Target.Address == ""):
		return eris.Wrap(ErrMalformed, "ping-request without target")
	}
	if err := checkStatuses(d.Statuses); err != nil {
		return err
	}
	return checkUpdates(d.Rumours, d.TicketLists)
}

func checkUpdates(rumours []Rumour, lists []TicketList) error {
	for i := range rumours {
		r := &rumours[i]
		if r.Status < StatusAlive || r.Status > StatusLeft || r.ContentVersion > r.Version {
			return eris.Wrapf(ErrMalformed, "rumour with status %d, version %d, content version %d", r.Status, r.Version, r.ContentVersion)
		}
	}
	for _, l := range lists {
		if len(l.Keys)%shortKeySize != 0 {
			return eris.Wrapf(ErrMalformed, "ticket list with %d bytes of keys", len(l.Keys))
		}
	}
	return nil
}

// size returns the encoded size of the rumour, in bytes.
func (r *Rumour) size() int {
	n := 1 + 4 + uintSize(r.Key) + uintSize(r.Version) + uintSize(r.ContentVersion) + uintSize(uint64(r.Status))
	if r.Age > 0 {
		n += 1 + uintSize(uint64(r.Age))
	}
	if r.Ticket > 0 {
		n += 1 + uintSize(r.Ticket)
	}
	if r.Urgent {
		n += 2
	}
	if len(r.Record) > 0 {
		n += 1 + uintSize(uint64(len(r.Record))) + len(r.Record)
	}
	return n
}

// headerSize returns an upper bound of the encoded size without rumours, statuses and ticket lists, in bytes.
func (d *Datagram) headerSize() int {
	n := 1 + 2 + 1 + 5 + uintSize(uint64(len(d.From.ID))) + len(d.From.ID) + uintSize(d.From.Incarnation)
	n += 4 + uintSize(d.To) + uintSize(d.Sequence) + uintSize(d.Ticket) + uintSize(d.Root)
	if d.Target != nil {
		n += 6 + uintSize(d.Target.Key) + len(d.Target.Address)
	}
	// Map keys and lengths of the three lists.
	return n + 3*(1+uintSize(maxListLength))
}

// uintSize returns the encoded size of an unsigned integer in CBOR, in bytes.
func uintSize(v uint64) int {
	switch {
	case v < 24:
		return 1
	case v < 1<<8:
		return 2
	case v < 1<<16:
		return 3
	case v < 1<<32:
		return 5
	default:
		return 9
	}
}
