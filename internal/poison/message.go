package poison

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Request is a request that was in flight on a target.
type Request struct {
	Fingerprint uint64
	Idempotent  bool
}

// Msg is an input to a Module.
type Msg interface{ isMsg() }

// Cmd is a side effect that the caller of Update must carry out.
type Cmd interface{ isCmd() }

// CrashMsg reports that a target of this node crashed with requests in flight.
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

// SuspectMsg carries the BroadcastCmd of another node.
type SuspectMsg struct {
	Now          time.Time
	Node         model.NodeRef
	Service      string
	Fingerprints []uint64
}

// BroadcastDoneMsg reports the replies of the agents of the service to a BroadcastCmd.
type BroadcastDoneMsg struct {
	Now          time.Time
	Service      string
	Fingerprints []uint64
	// Unreachable counts the agents that did not reply and are not known to be dead.
	Unreachable int
	// Running lists the fingerprints that are still running on a node, Crashed those from all SuspectCmd replies.
	Running []uint64
	Crashed []uint64
}

// TrialMsg asks, on behalf of an edge, whether a suspect request may run once more.
type TrialMsg struct {
	Now         time.Time
	Service     string
	Fingerprint uint64
}

// TrialEndMsg reports the result of a granted trial.
type TrialEndMsg struct {
	Now         time.Time
	Service     string
	Fingerprint uint64
	Survived    bool
}

// ClearMsg reports that the node that observed a crash no longer suspects the request.
type ClearMsg struct {
	Node        model.NodeRef
	Service     string
	Fingerprint uint64
}

// TickMsg advances the time, which expires old entries.
type TickMsg struct {
	Now time.Time
}

// PublishCmd requests that the entries be put into this node's record and sent out as urgent.
type PublishCmd struct {
	Entries []model.PoisonEntry
}

// BroadcastCmd requests that the suspicion be sent to all agents of the service; their replies come back as a
// BroadcastDoneMsg.
type BroadcastCmd struct {
	Service      string
	Fingerprints []uint64
}

// SuspectCmd replies to a SuspectMsg with the fingerprints that crashed targets of this node.
type SuspectCmd struct {
	Crashed []uint64
}

// TrialCmd replies to a TrialMsg; a trial that was not granted may be requested again after the BroadcastDoneMsg.
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
