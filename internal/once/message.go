package once

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Msg is an input of the owner or ledger module.
type Msg interface{ isMsg() }

// Cmd is an output of the owner or ledger module: a result, or an effect that the I/O code has to perform.
type Cmd interface{ isCmd() }

// BeginMsg reports a request that arrived at this node.
type BeginMsg struct {
	Now         time.Time
	ID          keyID
	Fingerprint uint64
}

// StartMsg asks the module to record an attempt before it is sent to the agent.
type StartMsg struct {
	Now   time.Time
	ID    keyID
	Agent *model.Node
}

// RefuseMsg reports that the agent refused the attempt without running it.
type RefuseMsg struct {
	Now time.Time
	ID  keyID
}

// FinishMsg reports that the complete response to the attempt arrived.
type FinishMsg struct {
	Now time.Time
	ID  keyID
}

// InDoubtMsg reports that the outcome of the attempt is in doubt.
type InDoubtMsg struct {
	Now time.Time
	ID  keyID
}

// EndMsg reports that the request that holds the key was answered with the outcome.
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

// ResolveMsg asks for the outcome or the ownership of the key, on behalf of a request at another node.
type ResolveMsg struct {
	Now         time.Time
	ID          keyID
	Fingerprint uint64
	Requester   model.NodeRef
	// Generation is the generation that this node owns according to what the requester was told; zero if the requester
	// was not told one.
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

// EpochMsg starts an epoch of the keys that this node issues. From then on, unseen keys of epochs before Oldest are
// rejected.
type EpochMsg struct {
	Epoch  uint64
	Oldest uint64
}

// ExpireMsg drops the epochs that were last updated before the given time.
type ExpireMsg struct {
	Before time.Time
}

// SealMsg ends this node's ownership of all keys and requests their transfer to the successor.
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

// DecideCmd ends the request without an attempt.
type DecideCmd struct {
	Kind   Kind
	Reason string
}

// FenceCmd requests a fence of the key at the agent, whose result is reported by a FenceReplyMsg.
type FenceCmd struct {
	Agent     *model.Node
	Purpose   FencePurpose
	Requester model.NodeRef
}

// FetchCmd requests a read of the stored response from the agent; Ran is set if the key certainly ran.
type FetchCmd struct {
	Agent *model.Node
	Ran   bool
}

// ResolveCmd requests a Keys.Resolve call to the presumed owner of the key, Holder.
type ResolveCmd struct {
	Holder     model.NodeRef
	Generation uint32
}

// GrantCmd tells the requester of a ResolveMsg that it owns the key.
type GrantCmd struct {
	Generation uint32
}

// MovedCmd tells the requester of a ResolveMsg which node owns the key.
type MovedCmd struct {
	Holder     model.NodeRef
	Generation uint32
}

// TransferCmd carries the state that the successor needs to own the sealed keys.
type TransferCmd struct {
	Transfer Transfer
}

// TakenOverCmd confirms that this node owns the keys of a transfer.
type TakenOverCmd struct{}

// FencePurpose is the step that follows a fence with the result FenceNeverSeen.
type FencePurpose uint8

const (
	// FenceToRun allows another attempt of the request that holds the key.
	FenceToRun FencePurpose = iota + 1
	// FenceToBegin allows the first attempt of a new request, after an attempt of an earlier one.
	FenceToBegin
	// FenceToGrant transfers the key to another node, after an attempt of an earlier request.
	FenceToGrant
)

// FenceState is the state of a key as reported by an agent.
type FenceState uint8

const (
	// FenceFailed means that the agent did not reply.
	FenceFailed FenceState = iota
	// FenceNeverSeen means that the key did not run at the agent and, after a fence, never will.
	FenceNeverSeen
	// FenceRunning means that the target is working on the request.
	FenceRunning
	// FenceDone means that the request ran; the response may be stored.
	FenceDone
	// FenceAborted means that the target aborted the attempt; it may have run the request.
	FenceAborted
	// FenceDropped means that the agent dropped the epoch of the key.
	FenceDropped
	// FenceOtherIncarnation means that the agent restarted after the attempt.
	FenceOtherIncarnation
	// FenceMismatch means that the agent received the key with a different request.
	FenceMismatch
)

// Transfer is the state of one shard of an owner that shuts down. The field names of the transfer types are on the
// wire.
type Transfer struct {
	Domains []TransferDomain
	Records []TransferRecord
}

// TransferDomain is one issuer whose keys the transfer covers completely.
type TransferDomain struct {
	Owner model.NodeRef
	// Epoch is the last epoch that the issuer started, Oldest the lowest one whose unseen keys may run.
	Epoch  uint64
	Oldest uint64
	// Floor is the lowest epoch of which no record was dropped.
	Floor uint64
}

// TransferRecord is the record of one key in a transfer.
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
func (InDoubtMsg) isMsg()    {}
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
func (ResolveCmd) isCmd()   {}
func (GrantCmd) isCmd()     {}
func (MovedCmd) isCmd()     {}
func (TransferCmd) isCmd()  {}
func (TakenOverCmd) isCmd() {}
