package once

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// phase is the state of a key at its owner.
type phase uint8

const (
	// phaseIdle: no attempt is outstanding and none ran.
	phaseIdle phase = iota + 1
	// phaseSent: one attempt is outstanding at the agent.
	phaseSent
	// phaseFencing: a fence of the outstanding attempt is in progress.
	phaseFencing
	// phaseDone: the key ran; its complete response arrived or may be stored at the agent.
	phaseDone
	// phaseAborted, phaseRestarted, phaseDropped: the key may have run and its outcome can no longer be determined.
	phaseAborted
	phaseRestarted
	phaseDropped
	// phaseMoved: another node owns the key.
	phaseMoved
)

// ownerRecord is the owner's record of one key.
type ownerRecord struct {
	Fingerprint uint64
	// Node is the agent of the last attempt, or in phaseMoved the new owner.
	Node *model.Node
	// Generation counts the grants of the key; a grant of an older generation is invalid.
	Generation uint32
	Phase      phase
	// Held is set while a request uses the key exclusively, from RunCmd or FenceCmd until its end.
	Held bool
}

// issuer is the state of a node incarnation whose keys this node owns without a grant: this node itself, or one that
// handed its keys over.
type issuer struct {
	Epoch uint64
	// Oldest is the lowest epoch whose unseen keys may run. Without it, a caller with an old token would prevent the
	// records of all later epochs from expiring. It never decreases, so a rejected key never runs.
	Oldest    uint64
	TakenOver time.Time
}

// ownerConfig holds the identity and the limits of an owner module.
type ownerConfig struct {
	Self       model.NodeRef
	MaxRecords int
	MaxFloors  int
}

// ownerModule decides whether and where requests with keys run. It is deterministic and not safe for concurrent use.
type ownerModule struct {
	self    model.NodeRef
	records epochStore[ownerRecord]
	issuers map[model.NodeRef]issuer
	sealed  *model.Node
	cmds    []Cmd
}

func newOwnerModule(c ownerConfig) *ownerModule {
	return &ownerModule{
		self:    c.Self,
		records: newEpochStore[ownerRecord](c.MaxRecords, c.MaxFloors),
		issuers: map[model.NodeRef]issuer{c.Self: {}},
	}
}

// Update applies the message; the returned commands are valid until the next call.
func (m *ownerModule) Update(msg Msg) []Cmd {
	m.cmds = m.cmds[:0]
	switch msg := msg.(type) {
	case BeginMsg:
		m.begin(msg)
	case StartMsg:
		m.start(msg)
	case RefuseMsg:
		m.refuse(msg)
	case FinishMsg:
		m.finish(msg)
	case InDoubtMsg:
		m.inDoubt(msg)
	case EndMsg:
		m.end(msg)
	case FenceReplyMsg:
		m.fenced(msg)
	case ResolveMsg:
		m.resolve(msg)
	case GrantMsg:
		m.grant(msg)
	case EpochMsg:
		m.startEpoch(msg)
	case ExpireMsg:
		m.expire(msg)
	case SealMsg:
		m.seal(msg)
	case TakeOverMsg:
		m.takeOver(msg)
	}
	return m.cmds
}

// Query returns the commands that determine the outcome of a key without changing it.
func (m *ownerModule) Query(msg QueryMsg) []Cmd {
	m.cmds = m.cmds[:0]
	if reason := m.rejectReason(msg.ID); reason != "" {
		m.decide(KindUnknown, reason)
		return m.cmds
	}
	r, ok := m.records.get(msg.ID)
	switch {
	case ok && r.Held && r.Phase != phaseDone:
		m.decide(KindInProgress, ReasonRunning)
	case ok && r.Phase == phaseIdle, !ok && m.owns(msg.ID.Owner):
		// An earlier request may still be on its way to this node, so the outcome is unknown
		// rather than not-run.
		m.decide(KindUnknown, ReasonNeverSeen)
	case !ok:
		m.emit(ResolveCmd{Holder: msg.ID.Owner})
	case r.Phase == phaseMoved:
		m.emit(ResolveCmd{Holder: r.Node.Ref, Generation: r.Generation})
	case r.Phase == phaseSent, r.Phase == phaseDone:
		m.emit(FetchCmd{Agent: r.Node, Ran: r.Phase == phaseDone})
	default:
		m.decide(KindUnknown, r.Phase.reason())
	}
	return m.cmds
}

func (m *ownerModule) emit(c Cmd) {
	m.cmds = append(m.cmds, c)
}

func (m *ownerModule) decide(kind Kind, reason string) {
	m.emit(DecideCmd{Kind: kind, Reason: reason})
}

func (m *ownerModule) owns(owner model.NodeRef) bool {
	_, ok := m.issuers[owner]
	return ok
}

// expired reports whether an unseen key of an issuer owned by this node is too old to run.
func (m *ownerModule) expired(id keyID) bool {
	iss, owned := m.issuers[id.Owner]
	return owned && id.Epoch < iss.Oldest
}

// rejectReason returns why this node can't decide about the key, or an empty string.
func (m *ownerModule) rejectReason(id keyID) string {
	iss, owned := m.issuers[id.Owner]
	switch {
	case m.sealed != nil:
		return ReasonNodeLeaving
	case owned && id.Epoch > iss.Epoch:
		return ReasonEpochNotIssued
	case !m.records.accepts(id.epoch()):
		return ReasonEpochDropped
	default:
		return ""
	}
}

func (m *ownerModule) begin(msg BeginMsg) {
	if reason := m.rejectReason(msg.ID); reason != "" {
		m.decide(KindUnknown, reason)
		return
	}
	r, ok := m.records.get(msg.ID)
	switch {
	case ok:
		m.beginKnown(msg, r)
	case m.expired(msg.ID):
		m.decide(KindNotRun, ReasonTokenExpired)
	case m.owns(msg.ID.Owner):
		m.acquire(msg.Now, msg.ID, ownerRecord{Fingerprint: msg.Fingerprint, Phase: phaseIdle})
	default:
		m.emit(ResolveCmd{Holder: msg.ID.Owner})
	}
}

func (m *ownerModule) beginKnown(msg BeginMsg, r ownerRecord) {
	switch {
	case r.Fingerprint != msg.Fingerprint:
		m.decide(KindUnknown, ReasonKeyReused)
	case r.Phase == phaseMoved:
		m.emit(ResolveCmd{Holder: r.Node.Ref, Generation: r.Generation})
	case r.Phase == phaseDone:
		m.emit(FetchCmd{Agent: r.Node, Ran: true})
	case r.Held:
		m.decide(KindInProgress, ReasonRunning)
	case r.Phase == phaseIdle:
		m.acquire(msg.Now, msg.ID, r)
	case r.Phase == phaseSent:
		m.fence(msg.Now, msg.ID, r, FenceCmd{Purpose: FenceToBegin})
	default:
		m.decide(KindUnknown, r.Phase.reason())
	}
}

// acquire reserves the key for the request at this node and permits one attempt.
func (m *ownerModule) acquire(now time.Time, id keyID, r ownerRecord) {
	r.Held = true
	if !m.put(now, id, r) {
		return
	}
	m.emit(RunCmd{Fingerprint: r.Fingerprint})
}

// put stores the record. If the eviction for it dropped the epoch of the key, it decides unknown and returns false.
func (m *ownerModule) put(now time.Time, id keyID, r ownerRecord) bool {
	if _, ok := m.records.get(id); !ok {
		m.records.evict()
		if !m.records.accepts(id.epoch()) {
			m.decide(KindUnknown, ReasonEpochDropped)
			return false
		}
	}
	m.records.put(id, r, now)
	return true
}

func (m *ownerModule) fence(now time.Time, id keyID, r ownerRecord, cmd FenceCmd) {
	r.Phase = phaseFencing
	r.Held = true
	m.records.put(id, r, now)
	cmd.Agent = r.Node
	m.emit(cmd)
}

func (m *ownerModule) start(msg StartMsg) {
	r, ok := m.heldRecord(msg.ID)
	if !ok || r.Phase != phaseIdle {
		m.decide(KindUnknown, ReasonEpochDropped)
		return
	}
	r.Phase = phaseSent
	r.Node = msg.Agent
	m.records.put(msg.ID, r, msg.Now)
	m.emit(RunCmd{Fingerprint: r.Fingerprint})
}

// heldRecord returns the record of a key that a request at this node holds; eviction or shutdown may have removed it.
func (m *ownerModule) heldRecord(id keyID) (ownerRecord, bool) {
	r, ok := m.records.get(id)
	if !ok {
		return r, false
	}
	invar.Check(r.Held, "once", "report about a key that no request holds, in phase %d", r.Phase)
	return r, r.Held
}

func (m *ownerModule) refuse(msg RefuseMsg) {
	r, ok := m.heldRecord(msg.ID)
	if !ok || r.Phase != phaseSent {
		return
	}
	r.Phase = phaseIdle
	m.records.put(msg.ID, r, msg.Now)
}

func (m *ownerModule) finish(msg FinishMsg) {
	r, ok := m.heldRecord(msg.ID)
	if !ok || r.Phase != phaseSent {
		return
	}
	r.Phase = phaseDone
	m.records.put(msg.ID, r, msg.Now)
}

func (m *ownerModule) inDoubt(msg InDoubtMsg) {
	r, ok := m.heldRecord(msg.ID)
	switch {
	case !ok:
		m.decide(KindUnknown, ReasonEpochDropped)
	case r.Phase == phaseSent:
		m.fence(msg.Now, msg.ID, r, FenceCmd{Purpose: FenceToRun})
	case r.Phase == phaseIdle:
		m.emit(RunCmd{Fingerprint: r.Fingerprint})
	case r.Phase == phaseDone:
		m.emit(FetchCmd{Agent: r.Node, Ran: true})
	default:
		m.decide(KindUnknown, r.Phase.reason())
	}
}

func (m *ownerModule) end(msg EndMsg) {
	r, ok := m.heldRecord(msg.ID)
	if !ok {
		return
	}
	invar.Check(msg.Outcome != model.OutcomeNotRun || r.Phase == phaseIdle, "once",
		"request ended as not-run in phase %d", r.Phase)
	r.Held = false
	m.records.put(msg.ID, r, msg.Now)
}

func (m *ownerModule) fenced(msg FenceReplyMsg) {
	r, ok := m.heldRecord(msg.ID)
	if !ok || r.Phase != phaseFencing {
		m.decide(KindUnknown, ReasonEpochDropped)
		return
	}
	r.Phase = phaseAfter(msg.State)
	r.Held = msg.Purpose == FenceToRun
	switch {
	case r.Phase != phaseIdle:
		m.records.put(msg.ID, r, msg.Now)
		m.decideFence(msg.State)
	case msg.Purpose == FenceToGrant:
		m.grantTo(msg.Now, msg.ID, r, msg.Requester)
	default:
		m.acquire(msg.Now, msg.ID, r)
	}
}

func (m *ownerModule) decideFence(s FenceState) {
	switch s {
	case FenceDone:
		m.decide(KindReplay, "")
	case FenceRunning:
		m.decide(KindInProgress, ReasonRunning)
	default:
		m.decide(KindUnknown, s.reason())
	}
}

func (m *ownerModule) startEpoch(msg EpochMsg) {
	iss := m.issuers[m.self]
	invar.Check(msg.Epoch >= iss.Epoch, "once", "epoch went from %d to %d", iss.Epoch, msg.Epoch)
	iss.Epoch, iss.Oldest = max(iss.Epoch, msg.Epoch), max(iss.Oldest, msg.Oldest)
	m.issuers[m.self] = iss
}

func (m *ownerModule) expire(msg ExpireMsg) {
	m.records.expire(msg.Before)
	remaining := make(map[model.NodeRef]struct{})
	for e := range m.records.buckets {
		remaining[e.Owner] = struct{}{}
	}
	for owner, iss := range m.issuers {
		if owner == m.self || !iss.TakenOver.Before(msg.Before) {
			continue
		}
		if _, ok := remaining[owner]; ok {
			iss.Oldest = iss.Epoch + 1
			m.issuers[owner] = iss
			continue
		}
		delete(m.issuers, owner)
		m.records.raiseFloor(owner.ID, position{Incarnation: owner.Incarnation + 1})
	}
}

func phaseAfter(s FenceState) phase {
	switch s {
	case FenceNeverSeen:
		return phaseIdle
	case FenceDone:
		return phaseDone
	case FenceAborted, FenceMismatch:
		return phaseAborted
	case FenceDropped:
		return phaseDropped
	case FenceOtherIncarnation:
		return phaseRestarted
	default:
		return phaseSent
	}
}

func (p phase) reason() string {
	switch p {
	case phaseAborted:
		return ReasonTargetAborted
	case phaseRestarted:
		return ReasonAgentRestarted
	case phaseDropped:
		return ReasonEpochDropped
	default:
		return ReasonAgentUnreachable
	}
}

func (s FenceState) reason() string {
	switch s {
	case FenceRunning:
		return ReasonRunning
	case FenceAborted:
		return ReasonTargetAborted
	case FenceDropped:
		return ReasonEpochDropped
	case FenceOtherIncarnation:
		return ReasonAgentRestarted
	case FenceMismatch:
		return ReasonKeyReused
	default:
		return ReasonAgentUnreachable
	}
}
