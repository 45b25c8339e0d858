package poison

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Request is one request in flight on a target.
type Request struct {
	Fingerprint uint64
	Idempotent  bool
}

// Msg is an input of the module.
type Msg interface{ isMsg() }

// Cmd is an effect that the module asks its shell for.
type Cmd interface{ isCmd() }

// CrashMsg reports that a target of this node died with requests in flight.
type CrashMsg struct {
	Now      time.Time
	Target   model.TargetRef
	InFlight []Request
}

// ReportMsg carries all entries in the record of another node.
type ReportMsg struct {
	Now     time.Time
	Node    model.NodeRef
	Entries []model.PoisonEntry
}

// SuspectMsg carries the SpreadCmd of another node.
type SuspectMsg struct {
	Now          time.Time
	Node         model.NodeRef
	Service      string
	Fingerprints []uint64
}

// BroadcastDoneMsg reports how the agents of the service answered a SpreadCmd.
type BroadcastDoneMsg struct {
	Now          time.Time
	Service      string
	Fingerprints []uint64
	// Unreachable counts the agents that are not dead and did not answer.
	Unreachable int
	// Running lists the fingerprints that still run somewhere, Crashed those of all SuspectCmd.
	Running []uint64
	Crashed []uint64
}

// TrialMsg asks, for an edge, whether a suspect may be tried once more.
type TrialMsg struct {
	Now         time.Time
	Service     string
	Fingerprint uint64
}

// TrialEndMsg reports the end of a granted trial.
type TrialEndMsg struct {
	Now         time.Time
	Service     string
	Fingerprint uint64
	Survived    bool
}

// ClearMsg reports that the node which saw a crash no longer suspects the request.
type ClearMsg struct {
	Node        model.NodeRef
	Service     string
	Fingerprint uint64
}

// TickMsg moves the time.
type TickMsg struct {
	Now time.Time
}

// PublishCmd asks to put the entries into the own record and to spread it as urgent.
type PublishCmd struct {
	Entries []model.PoisonEntry
}

// BroadcastCmd asks to send the suspicion to all agents of the service and to report a SpreadMsg.
type BroadcastCmd struct {
	Service      string
	Fingerprints []uint64
}

// SuspectCmd answers a SuspectMsg with the fingerprints that crashed targets of this node.
type SuspectCmd struct {
	Crashed []uint64
}

// TrialCmd answers a TrialMsg; a trial that is not granted may be asked for again after the SpreadMsg.
type TrialCmd struct {
	Granted bool
}

func (CrashMsg) isMsg()         {}
func (ReportMsg) isMsg()        {}
func (SuspectMsg) isMsg()       {}
func (BroadcastDoneMsg) isMsg() {}
func (TrialMsg) isMsg()         {}
func (TrialEndMsg) isMsg()      {}
func (ClearMsg) isMsg()         {}
func (TickMsg) isMsg()          {}

func (PublishCmd) isCmd()   {}
func (BroadcastCmd) isCmd() {}
func (SuspectCmd) isCmd()   {}
func (TrialCmd) isCmd()     {}
