package member

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Msg is an input of the module; each type carries the time at which it happened.
type Msg interface{ moment() time.Time }

// TickMsg drives the timers; the shell sends it every TickInterval.
type TickMsg struct{ Now time.Time }

// LocalMsg replaces the state that the node publishes about itself.
type LocalMsg struct {
	Now   time.Time
	Local LocalState
}

// LeaveMsg tells that the process exits now; the other nodes need not detect it.
type LeaveMsg struct{ Now time.Time }

// DatagramMsg is a datagram that passed authentication.
type DatagramMsg struct {
	Now      time.Time
	Source   string
	Datagram *Datagram
}

// JoinMsg asks for a synchronisation with the node at an address that need not be known.
type JoinMsg struct {
	Now     time.Time
	Address string
}

// BootstrapMsg ends the joining phase of a node that finds no other node.
type BootstrapMsg struct{ Now time.Time }

// SyncRequestMsg is a request of another node; the answer is a SyncReplyCmd.
type SyncRequestMsg struct {
	Now     time.Time
	Request SyncRequest
}

// SyncReplyMsg is the answer to a SyncCmd.
type SyncReplyMsg struct {
	Now     time.Time
	Address string
	Reply   SyncReply
}

// FetchRequestMsg is a request of another node; the answer is a FetchReplyCmd.
type FetchRequestMsg struct {
	Now     time.Time
	Request FetchRequest
}

// FetchReplyMsg is the answer to a FetchCmd.
type FetchReplyMsg struct {
	Now    time.Time
	Gossip bool
	Reply  FetchReply
}

// Cmd is an effect that the shell carries out.
type Cmd interface{ isCmd() }

// SendCmd sends a datagram.
type SendCmd struct {
	Address  string
	Datagram *Datagram
}

// SyncCmd calls Peer.Sync and feeds the answer back as SyncReplyMsg.
type SyncCmd struct {
	Address string
	Request SyncRequest
}

// FetchCmd calls Peer.Fetch and feeds the answer back as FetchReplyMsg with the same Spread.
type FetchCmd struct {
	Address string
	Gossip  bool
	Request FetchRequest
}

// SyncReplyCmd answers a SyncRequestMsg.
type SyncReplyCmd struct{ Reply SyncReply }

// FetchReplyCmd answers a FetchRequestMsg.
type FetchReplyCmd struct{ Reply FetchReply }

// TicketBehindCmd reports that a peer has a larger ticket number in force.
type TicketBehindCmd struct {
	Peer   model.Node
	Number uint64
}

// ReplacedCmd reports that another process runs under the own ID with a larger incarnation.
type ReplacedCmd struct{ By model.NodeRef }

// ChangedCmd reports that Snapshot returns a new state; Content is false when only ticket numbers changed.
type ChangedCmd struct{ Content bool }

// RefusedCmd reports input that was refused.
type RefusedCmd struct {
	Source string
	Err    error
}

func (m TickMsg) moment() time.Time         { return m.Now }
func (m LocalMsg) moment() time.Time        { return m.Now }
func (m LeaveMsg) moment() time.Time        { return m.Now }
func (m DatagramMsg) moment() time.Time     { return m.Now }
func (m JoinMsg) moment() time.Time         { return m.Now }
func (m BootstrapMsg) moment() time.Time    { return m.Now }
func (m SyncRequestMsg) moment() time.Time  { return m.Now }
func (m SyncReplyMsg) moment() time.Time    { return m.Now }
func (m FetchRequestMsg) moment() time.Time { return m.Now }
func (m FetchReplyMsg) moment() time.Time   { return m.Now }

func (SendCmd) isCmd()         {}
func (SyncCmd) isCmd()         {}
func (FetchCmd) isCmd()        {}
func (SyncReplyCmd) isCmd()    {}
func (FetchReplyCmd) isCmd()   {}
func (TicketBehindCmd) isCmd() {}
func (ReplacedCmd) isCmd()     {}
func (ChangedCmd) isCmd()      {}
func (RefusedCmd) isCmd()      {}
