package ticket

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Source names where configuration comes from; the zero value is the platform.
type Source struct {
	Peer model.NodeRef
}

// Platform is the source that stands for the platform.
var Platform = Source{}

// Operator is the source of tickets that the operator's tool hands over after their acceptance.
var Operator = Source{Peer: model.NodeRef{ID: "operator"}}

// Msg is an input of the module.
type Msg interface{ ticketMsg() }

// TickMsg tells the time; the shell sends it at least four times a second.
type TickMsg struct {
	Now time.Time
}

// HeadMsg reports the largest accepted number that a source knows.
type HeadMsg struct {
	Source Source
	Number uint64
}

// BatchMsg carries tickets, or a snapshot with tickets after it, in any order.
type BatchMsg struct {
	// Starting tells that the source is a node that has not compared its own sources yet.
	Starting bool
	Source   Source
	Snapshot *model.Configuration
	Tickets  []model.Ticket
}

// FailedMsg reports that a source did not answer a read of the head or a fetch.
type FailedMsg struct {
	Source Source
}

// ReaderMsg tells whether this node is one of the readers of its failure domain.
type ReaderMsg struct {
	Reader bool
}

// PeersMsg names the peers that are alive, from which a starting node asks for the configuration.
type PeersMsg struct {
	Peers []model.NodeRef
}

// Cmd is an effect that the shell carries out.
type Cmd interface{ ticketCmd() }

// ReadHeadCmd asks for the head row of the platform.
type ReadHeadCmd struct{}

// FetchCmd asks a source for all tickets after a number, or for a snapshot and the tickets after that.
type FetchCmd struct {
	Source Source
	After  uint64
}

// ApplyCmd reports a configuration that is in force from now on; it must not be modified.
type ApplyCmd struct {
	Configuration *model.Configuration
}

// SaveSnapshotCmd asks to store a snapshot in the object store.
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
