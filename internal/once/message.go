package once

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Msg is an input of the owner or ledger module.
type Msg interface{ isMsg() }

// Cmd is an effect that the owner module asks its shell for.
type Cmd interface{ isCmd() }

// BeginMsg reports a send that arrived at this node.
type BeginMsg struct {
	Now         time.Time
	ID          keyID
	Fingerprint uint64
}

// StartMsg asks to record an attempt at the agent before it is sent.
type StartMsg struct {
	Now   time.Time
	ID    keyID
	Agent *model.Node
}

// RefuseMsg reports that the agent refused the attempt and never ran it.
type RefuseMsg struct {
	Now time.Time
	ID  keyID
}

// FinishMsg reports that the whole answer of the attempt arrived.
type FinishMsg struct {
	Now time.Time
	ID  keyID
}

// DoubtMsg reports that the outcome of the attempt is in doubt.
type DoubtMsg struct {
	Now time.Time
	ID  keyID
}

// EndMsg reports that the send that holds the key was answered with the outcome.
type EndMsg struct {
	Now     time.Time
	ID      keyID
	Outcome model.Outcome
}

// FenceReplyMsg carries the result of the FenceCmd of the same key.
type FenceReplyMsg struct {
	Now     time.Time
	ID      keyID
	Purpose FencePurpose
	State   FenceState
	// Requester is the node that receives the key when Purpose is FenceToGrant.
	Requester model.NodeRef
}

// ResolveMsg asks, for a send at another node, for the outcome or the ownership of the key.
type ResolveMsg struct {
	Now         time.Time
	ID          keyID
	Fingerprint uint64
	Requester   model.NodeRef
	// Generation is the ownership that the requester was told this node has; zero when it asks the issuer.
	Generation uint32
}

// GrantMsg reports that ownership of the given generation was granted to this node.
type GrantMsg struct {
	Now         time.Time
	ID          keyID
	Fingerprint uint64
	Generation  uint32
}

// QueryMsg asks for the outcome without changing it.
type QueryMsg struct {
	ID keyID
}

// EpochMsg starts the epoch of the node's own keys. Unseen keys of epochs before Oldest are refused from then on.
type EpochMsg struct {
	Epoch  uint64
	Oldest uint64
}

// ExpireMsg drops the epochs that were last touched before the given time.
type ExpireMsg struct {
	Before time.Time
}

// SealMsg ends the ownership of the node's own keys in favour of the successor.
type SealMsg struct {
	Now       time.Time
	Successor *model.Node
}

// TakeOverMsg takes over the keys of an owner that shut down.
type TakeOverMsg struct {
	Now      time.Time
	Transfer Transfer
}

// RunCmd permits one attempt.
type RunCmd struct {
	Fingerprint uint64
}

// DecideCmd ends the send without an attempt.
type DecideCmd struct {
	Kind   Kind
	Reason string
}

// FenceCmd asks the shell to fence the key at the agent and to report a FenceReplyMsg.
type FenceCmd struct {
	Agent     *model.Node
	Purpose   FencePurpose
	Requester model.NodeRef
}

// FetchCmd asks the shell to read the stored answer from the agent; Ran is set when the key certainly ran.
type FetchCmd struct {
	Agent *model.Node
	Ran   bool
}

// AskCmd asks the shell to call Keys.Resolve at the holder of the key.
type AskCmd struct {
	Holder     model.NodeRef
	Generation uint32
}

// GrantCmd tells the requester of a ResolveMsg that it owns the key.
type GrantCmd struct {
	Generation uint32
}

// MovedCmd tells the requester of a ResolveMsg who owns the key.
type MovedCmd struct {
	Holder     model.NodeRef
	Generation uint32
}

// TransferCmd carries what the successor needs to own the sealed keys.
type TransferCmd struct {
	Transfer Transfer
}

// TakenOverCmd confirms that this node decides about the keys of a transfer.
type TakenOverCmd struct{}

// FencePurpose tells what follows after a fence that found the key never seen.
type FencePurpose uint8

const (
	// FenceToRun is the fence of an attempt by the send that holds the key.
	FenceToRun FencePurpose = iota + 1
	// FenceToBegin is the fence of an old attempt by a new send.
	FenceToBegin
	// FenceToGrant is the fence of an old attempt before the key moves to another node.
	FenceToGrant
)

// FenceState is what an agent knows about a key.
type FenceState uint8

const (
	// FenceFailed means that the agent did not answer.
	FenceFailed FenceState = iota
	// FenceNeverSeen means that the key did not run at the agent and never will.
	FenceNeverSeen
	// FenceRunning means that the target is working on the request.
	FenceRunning
	// FenceDone means that the request ran; the answer may be stored.
	FenceDone
	// FenceBroken means that the target broke off; it may have run the request.
	FenceBroken
	// FenceDropped means that the agent dropped the epoch of the key.
	FenceDropped
	// FenceOtherIncarnation means that the agent of the attempt is gone.
	FenceOtherIncarnation
	// FenceMismatch means that the agent saw the key with another request.
	FenceMismatch
)

// Transfer is the state of one shard of an owner that shuts down.
type Transfer struct {
	Domains []TransferDomain
	Records []TransferRecord
}

// TransferDomain is one owner whose keys the transfer covers completely.
type TransferDomain struct {
	Owner model.NodeRef
	// Epoch is the last epoch that the owner started, Oldest the lowest one whose unseen keys may run.
	Epoch  uint64
	Oldest uint64
	// Floor is the lowest epoch whose records are complete.
	Floor uint64
}

// TransferRecord is one key of a transfer.
type TransferRecord struct {
	Owner       model.NodeRef
	Epoch       uint64
	Digest      [16]byte
	Fingerprint uint64
	Generation  uint32
	Phase       uint8
	Node        model.Node
}

func (BeginMsg) isMsg()      {}
func (StartMsg) isMsg()      {}
func (RefuseMsg) isMsg()     {}
func (FinishMsg) isMsg()     {}
func (DoubtMsg) isMsg()      {}
func (EndMsg) isMsg()        {}
func (FenceReplyMsg) isMsg() {}
func (ResolveMsg) isMsg()    {}
func (GrantMsg) isMsg()      {}
func (QueryMsg) isMsg()      {}
func (EpochMsg) isMsg()      {}
func (ExpireMsg) isMsg()     {}
func (SealMsg) isMsg()       {}
func (TakeOverMsg) isMsg()   {}

func (RunCmd) isCmd()       {}
func (DecideCmd) isCmd()    {}
func (FenceCmd) isCmd()     {}
func (FetchCmd) isCmd()     {}
func (AskCmd) isCmd()       {}
func (GrantCmd) isCmd()     {}
func (MovedCmd) isCmd()     {}
func (TransferCmd) isCmd()  {}
func (TakenOverCmd) isCmd() {}
