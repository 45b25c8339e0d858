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
	// KindAck answers a ping, or reports the ack of a ping that was requested.
	KindAck
	// KindPingRequest asks the receiver to ping Target for the sender.
	KindPingRequest
	// KindPush carries urgent rumours and asks for nothing.
	KindPush
)

// shortKeySize is the length of a key in a list of numbers, in bytes.
const shortKeySize = 4

// Datagram is one message between nodes; authentication is added by the shell.
type Datagram struct {
	Kind Kind          `cbor:"1,keyasint"`
	From model.NodeRef `cbor:"2,keyasint"`
	// To is the key of the run of the node for which the datagram is meant; zero accepts any.
	To       uint64 `cbor:"3,keyasint,omitempty"`
	Sequence uint64 `cbor:"4,keyasint,omitempty"`
	// Target is the node to ping for the sender of a ping-request.
	Target *PingTarget `cbor:"5,keyasint,omitempty"`
	// Ticket is the number in force at the sender.
	Ticket uint64 `cbor:"6,keyasint,omitempty"`
	// Root is the digest of all records that the sender holds.
	Root        uint64       `cbor:"7,keyasint"`
	Rumours     []Rumour     `cbor:"8,keyasint,omitempty"`
	TicketLists []TicketList `cbor:"9,keyasint,omitempty"`
	// Statuses are the rumours without record.
	Statuses []StatusList `cbor:"10,keyasint,omitempty"`
}

// PingTarget names the node to ping and its address.
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
	// Age is the number of seconds since a dead node died.
	Age    uint32 `cbor:"5,keyasint,omitempty"`
	Ticket uint64 `cbor:"6,keyasint,omitempty"`
	Urgent bool   `cbor:"7,keyasint,omitempty"`
	Record []byte `cbor:"8,keyasint,omitempty"`
}

// TicketList lists the nodes, by the upper four bytes of their keys, that have a ticket number in force.
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

func checkUpdates(rumours []Rumour, numbers []TicketList) error {
	for i := range rumours {
		r := &rumours[i]
		if r.Status < StatusAlive || r.Status > StatusLeft || r.ContentVersion > r.Version {
			return eris.Wrapf(ErrMalformed, "rumour with status %d, version %d, content %d", r.Status, r.Version, r.ContentVersion)
		}
	}
	for _, n := range numbers {
		if len(n.Keys)%shortKeySize != 0 {
			return eris.Wrapf(ErrMalformed, "list of %d bytes of keys", len(n.Keys))
		}
	}
	return nil
}

// size returns the number of bytes of the encoded rumour.
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

// headerSize returns an upper bound of the encoded datagram without rumours, statuses and numbers, in bytes.
func (d *Datagram) headerSize() int {
	n := 1 + 2 + 1 + 5 + uintSize(uint64(len(d.From.ID))) + len(d.From.ID) + uintSize(d.From.Incarnation)
	n += 4 + uintSize(d.To) + uintSize(d.Sequence) + uintSize(d.Ticket) + uintSize(d.Root)
	if d.Target != nil {
		n += 6 + uintSize(d.Target.Key) + len(d.Target.Address)
	}
	// Keys and lengths of the three lists.
	return n + 3*(1+uintSize(maxListed))
}

// uintSize returns the number of bytes of an unsigned integer in CBOR.
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
