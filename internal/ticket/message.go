package ticket

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Source identifies where configuration comes from; the zero value is the platform.
type Source struct {
	Peer model.NodeRef
}

// Platform is the source for data from the platform.
var Platform = Source{}

// Operator is the source for tickets that the operator's tool submits after the platform has accepted them.
var Operator = Source{Peer: model.NodeRef{ID: "operator"}}

// Msg is an input of Module.
type Msg interface{ ticketMsg() }

// TickMsg carries the current time; it must be sent at least four times a second.
type TickMsg struct {
	Now time.Time
}

// HeadMsg reports the largest accepted ticket number that a source knows.
type HeadMsg struct {
	Source Source
	Number uint64
}

// BatchMsg carries tickets, or a snapshot and the tickets after it, in any order.
type BatchMsg struct {
	// Starting is set if the source is a node that is still starting and has not compared its own sources.
	Starting bool
	Source   Source
	Snapshot *model.Configuration
	Tickets  []model.Ticket
}

// FailedMsg reports that a source did not answer a read of the head row or a fetch.
type FailedMsg struct {
	Source Source
}

// ReaderMsg sets whether this node is one of the readers of its failure domain.
type ReaderMsg struct {
	Reader bool
}

// PeersMsg lists the live peers, which a starting node asks for the configuration.
type PeersMsg struct {
	Peers []model.NodeRef
}

// Cmd is a side effect that the caller of Module executes.
type Cmd interface{ ticketCmd() }

// ReadHeadCmd requests a read of the platform's head row.
type ReadHeadCmd struct{}

// FetchCmd requests from a source all tickets after a number, or a snapshot and the tickets after it.
type FetchCmd struct {
	Source Source
	After  uint64
}

// ApplyCmd carries a configuration that comes into force; it must not be modified.
type ApplyCmd struct {
	Configuration *model.Configuration
}

// SaveSnapshotCmd requests that a snapshot is written to the object store.
type SaveSnapshotCmd struct {
	Configuration *model.Configuration
}

// RejectCmd reports input that was ignored.
type RejectCmd struct {
	Source Source
	Number uint64
	Reason string
}

func (TickMsg) ticketMsg()   {}
func (HeadMsg) ticketMsg()   {}
func (BatchMsg) ticketMsg()  {}
func (FailedMsg) ticketMsg() {}
func (ReaderMsg) ticketMsg() {}
func (PeersMsg) ticketMsg()  {}

func (ReadHeadCmd) ticketCmd()     {}
func (FetchCmd) ticketCmd()        {}
func (ApplyCmd) ticketCmd()        {}
func (SaveSnapshotCmd) ticketCmd() {}
func (RejectCmd) ticketCmd()       {}

// String returns `platform` or the reference of the peer.
func (s Source) String() string {
	if s == Platform {
		return "platform"
	}
	return s.Peer.String()
}
