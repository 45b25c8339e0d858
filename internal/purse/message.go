package purse

import "time"

// Phase is what a connection waits for.
type Phase int

const (
	// PhaseIdle means that no request has begun.
	PhaseIdle Phase = iota
	// PhaseHead means that a part of a head has arrived.
	PhaseHead
	// PhaseBody means that the node waits for bytes of a body.
	PhaseBody
	// PhaseWork means that the client waits for the node.
	PhaseWork
	// PhaseWrite means that the node waits until the client reads.
	PhaseWrite
)

// Reason is why a connection was closed or a request refused.
type Reason string

// Reasons, which label the metric and the log line.
const (
	ReasonIdle        Reason = "idle"
	ReasonSlowHead    Reason = "slow-head"
	ReasonSlowBody    Reason = "slow-body"
	ReasonSlowReader  Reason = "slow-reader"
	ReasonConnections Reason = "connections"
	ReasonMemory      Reason = "memory"
	ReasonSentAhead   Reason = "sent-ahead"
	ReasonUnreadBody  Reason = "unread-body"
	ReasonLongMessage Reason = "long-message"
)

// Msg is a message to the Module.
type Msg interface{ isMsg() }

// OpenedMsg reports a new connection; Outbound ones are counted but never closed.
type OpenedMsg struct {
	ID       uint64
	Listener string
	Peer     string
	Outbound bool
	Now      time.Time
}

// ClosedMsg reports that a connection is closed.
type ClosedMsg struct{ ID uint64 }

// PhaseMsg reports what a connection waits for from now on, and the bytes that moved since it last reported.
type PhaseMsg struct {
	ID    uint64
	Phase Phase
	Bytes int
	Now   time.Time
}

// HeldMsg reports that a connection holds so many bytes more; MayRefuse means that the request can be refused instead.
type HeldMsg struct {
	ID        uint64
	Bytes     int64
	MayRefuse bool
	// Starts means that a request starts.
	Starts bool
	Now    time.Time
}

// ReleasedMsg reports that a connection holds nothing but itself.
type ReleasedMsg struct{ ID uint64 }

// TickMsg closes the connections that have waited too long for their client.
type TickMsg struct{ Now time.Time }

// Cmd is a command of the Module.
type Cmd interface{ isCmd() }

// CloseCmd closes a connection.
type CloseCmd struct {
	ID       uint64
	Listener string
	Peer     string
	Reason   Reason
	// Held is what the connection holds, in bytes; Stall is how long it was slower than the least rate.
	Held  int64
	Stall time.Duration
}

// RefuseCmd refuses what the last message asked for.
type RefuseCmd struct {
	ID       uint64
	Listener string
	Peer     string
	Reason   Reason
}

func (OpenedMsg) isMsg()   {}
func (ClosedMsg) isMsg()   {}
func (PhaseMsg) isMsg()    {}
func (HeldMsg) isMsg()     {}
func (ReleasedMsg) isMsg() {}
func (TickMsg) isMsg()     {}

func (CloseCmd) isCmd()  {}
func (RefuseCmd) isCmd() {}
