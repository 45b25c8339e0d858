package member

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Msg is an input of the module; each type carries the time at which it occurred.
type Msg interface{ timestamp() time.Time }

// TickMsg drives the timers; the caller sends it every TickInterval.
type TickMsg struct{ Now time.Time }

// LocalMsg replaces the state that the node publishes about itself.
type LocalMsg struct {
	Now   time.Time
	Local LocalState
}

// LeaveMsg announces that the process is about to exit, so that other nodes need not detect it.
type LeaveMsg struct{ Now time.Time }

// DatagramMsg is a datagram that passed authentication.
type DatagramMsg struct {
	Now      time.Time
	Source   string
	Datagram *Datagram
}

// JoinMsg starts a synchronisation with the node at an address, which need not be in the table.
type JoinMsg struct {
	Now     time.Time
	Address string
}

// BootstrapMsg ends the joining phase of a node that found no other node; it becomes the first node of the fleet.
type BootstrapMsg struct{ Now time.Time }

// SyncRequestMsg is a request of another node; the response is a SyncReplyCmd.
type SyncRequestMsg struct {
	Now     time.Time
	Request SyncRequest
}

// SyncReplyMsg is the response to a SyncCmd.
type SyncReplyMsg struct {
	Now     time.Time
	Address string
	Reply   SyncReply
}

// FetchRequestMsg is a request of another node; the response is a FetchReplyCmd.
type FetchRequestMsg struct {
	Now     time.Time
	Request FetchRequest
}

// FetchReplyMsg is the response to a FetchCmd.
type FetchReplyMsg struct {
	Now    time.Time
	Gossip bool
	Reply  FetchReply
}

// Cmd is a side effect that the caller of Update executes.
type Cmd interface{ isCmd() }

// SendCmd sends a datagram.
type SendCmd struct {
	Address  string
	Datagram *Datagram
}

// SyncCmd calls Peer.Sync; the response is passed back as SyncReplyMsg.
type SyncCmd struct {
	Address string
	Request SyncRequest
}

// FetchCmd calls Peer.Fetch; the response is passed back as FetchReplyMsg with the same Gossip.
type FetchCmd struct {
	Address string
	Gossip  bool
	Request FetchRequest
}

// SyncReplyCmd answers a SyncRequestMsg.
type SyncReplyCmd struct{ Reply SyncReply }

// FetchReplyCmd answers a FetchRequestMsg.
type FetchReplyCmd struct{ Reply FetchReply }

// NewerTicketCmd reports a peer at which a larger ticket number is in force.
type NewerTicketCmd struct {
	Peer   model.Node
	Number uint64
}

// ProcessReplacedCmd reports that another process runs under the ID of this node with a larger incarnation.
type ProcessReplacedCmd struct{ By model.NodeRef }

// ChangedCmd reports that Snapshot returns a new state; Content is false when only ticket numbers changed.
type ChangedCmd struct{ Content bool }

// RejectedCmd reports input that was rejected.
type RejectedCmd struct {
	Source string
	Err    error
}

func (m TickMsg) timestamp() time.Time         { return m.Now }
func (m LocalMsg) timestamp() time.Time        { return m.Now }
func (m LeaveMsg) timestamp() time.Time        { return m.Now }
func (m DatagramMsg) timestamp() time.Time     { return m.Now }
func (m JoinMsg) timestamp() time.Time         { return m.Now }
func (m BootstrapMsg) timestamp() time.Time    { return m.Now }
func (m SyncRequestMsg) timestamp() time.Time  { return m.Now }
func (m SyncReplyMsg) timestamp() time.Time    { return m.Now }
func (m FetchRequestMsg) timestamp() time.Time { return m.Now }
func (m FetchReplyMsg) timestamp() time.Time   { return m.Now }

func (SendCmd) isCmd()            {}
func (SyncCmd) isCmd()            {}
func (FetchCmd) isCmd()           {}
func (SyncReplyCmd) isCmd()       {}
func (FetchReplyCmd) isCmd()      {}
func (NewerTicketCmd) isCmd()     {}
func (ProcessReplacedCmd) isCmd() {}
func (ChangedCmd) isCmd()         {}
func (RejectedCmd) isCmd()        {}
