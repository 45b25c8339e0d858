package once

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// phase is what the owner knows about a key.
type phase uint8

const (
	// phaseIdle: no attempt is outstanding and none ran.
	phaseIdle phase = iota + 1
	// phaseSent: one attempt is outstanding at the agent.
	phaseSent
	// phaseFencing: the shell is fencing the outstanding attempt.
	phaseFencing
	// phaseDone: the key ran and its whole answer arrived or is stored at the agent.
	phaseDone
	// phaseBroken, phaseRestarted, phaseForgotten: the key may have run and nothing more can be learned.
	phaseBroken
	phaseRestarted
	phaseForgotten
	// phaseMoved: another node owns the key.
	phaseMoved
)

// ownerRecord is what the owner keeps per key.
type ownerRecord struct {
	Fingerprint uint64
	// Node is the agent of the last attempt, or the owner after phaseMoved.
	Node *model.Node
	// Generation counts the grants of the key; a grant of an older generation is void.
	Generation uint32
	Phase      phase
	// Held is set while one send works on the key, from RunCmd or FenceCmd to its end.
	Held bool
}

// domain is one owner whose keys this node may decide without a grant.
type domain struct {
	Epoch uint64
	// Oldest is the lowest epoch whose unseen keys may run. Without it, one caller with an old token would keep the records
	// of all later epochs from expiring. It only grows, so a refusal is a not-run for ever.
	Oldest    uint64
	TakenOver time.Time
}

// ownerConfig holds the bounds of an owner module.
type ownerConfig struct {
	Self       model.NodeRef
	MaxRecords int
	MaxFloors  int
}

// ownerModule decides where requests with keys run; it is deterministic and not safe for concurrent use.
type ownerModule struct {
	self    model.NodeRef
	records epochStore[ownerRecord]
	domains map[model.NodeRef]domain
	sealed  *model.Node
	out     []Cmd
}

func newOwnerModule(c ownerConfig) *ownerModule {
	return &ownerModule{
		self:    c.Self,
		records: newEpochStore[ownerRecord](c.MaxRecords, c.MaxFloors),
		domains: map[model.NodeRef]domain{c.Self: {}},
	}
}

// Update applies the message; the returned commands are valid until the next call.
func (m *ownerModule) Update(msg Msg) []Cmd {
	m.out = m.out[:0]
	switch msg := msg.(type) {
	case BeginMsg:
		m.begin(msg)
	case StartMsg:
		m.start(msg)
	case RefuseMsg:
		m.refuse(msg)
	case FinishMsg:
		m.finish(msg)
	case DoubtMsg:
		m.doubt(msg)
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
	return m.out
}

// Query returns the commands that learn the outcome of a key without changing it.
func (m *ownerModule) Query(msg QueryMsg) []Cmd {
	m.out = m.out[:0]
	if reason := m.outside(msg.ID); reason != "" {
		m.decide(KindUnknown, reason)
		return m.out
	}
	r, ok := m.records.get(msg.ID)
	switch {
	case ok && r.Held && r.Phase != phaseDone:
		m.decide(KindInProgress, ReasonRunning)
	case ok && r.Phase == phaseIdle, !ok && m.owns(msg.ID.Owner):
		// An earlier send may still be on its way to this node, so this is no `not-run`.
		m.decide(KindUnknown, ReasonNeverSeen)
	case !ok:
		m.emit(AskCmd{Holder: msg.ID.Owner})
	case r.Phase == phaseMoved:
		m.emit(AskCmd{Holder: r.Node.Ref, Generation: r.Generation})
	case r.Phase == phaseSent, r.Phase == phaseDone:
		m.emit(FetchCmd{Agent: r.Node, Ran: r.Phase == phaseDone})
	default:
		m.decide(KindUnknown, r.Phase.reason())
	}
	return m.out
}

func (m *ownerModule) emit(c Cmd) {
	m.out = append(m.out, c)
}

func (m *ownerModule) decide(kind Kind, reason string) {
	m.emit(DecideCmd{Kind: kind, Reason: reason})
}

func (m *ownerModule) owns(owner model.NodeRef) bool {
	_, ok := m.domains[owner]
	return ok
}

// expired reports whether an unseen key of this node is too old to run.
func (m *ownerModule) expired(id keyID) bool {
	d, owned := m.domains[id.Owner]
	return owned && id.Epoch < d.Oldest
}

// outside returns why this node can't decide the key, or an empty string.
func (m *ownerModule) outside(id keyID) string {
	d, owned := m.domains[id.Owner]
	switch {
	case m.sealed != nil:
		return ReasonLeaving
	case owned && id.Epoch > d.Epoch:
		return ReasonEpochUnissued
	case !m.records.accepts(id.epoch()):
		return ReasonEpochDropped
	default:
		return ""
	}
}

func (m *ownerModule) begin(msg BeginMsg) {
	if reason := m.outside(msg.ID); reason != "" {
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
		m.hold(msg.Now, msg.ID, ownerRecord{Fingerprint: msg.Fingerprint, Phase: phaseIdle})
	default:
		m.emit(AskCmd{Holder: msg.ID.Owner})
	}
}

func (m *ownerModule) beginKnown(msg BeginMsg, r ownerRecord) {
	switch {
	case r.Fingerprint != msg.Fingerprint:
		m.decide(KindUnknown, ReasonKeyReused)
	case r.Phase == phaseMoved:
		m.emit(AskCmd{Holder: r.Node.Ref, Generation: r.Generation})
	case r.Phase == phaseDone:
		m.emit(FetchCmd{Agent: r.Node, Ran: true})
	case r.Held:
		m.decide(KindInProgress, ReasonRunning)
	case r.Phase == phaseIdle:
		m.hold(msg.Now, msg.ID, r)
	case r.Phase == phaseSent:
		m.fence(msg.Now, msg.ID, r, FenceCmd{Purpose: FenceToBegin})
	default:
		m.decide(KindUnknown, r.Phase.reason())
	}
}

// hold gives the key to the send at this node and permits one attempt.
func (m *ownerModule) hold(now time.Time, id keyID, r ownerRecord) {
	r.Held = true
	if !m.put(now, id, r) {
		return
	}
	m.emit(RunCmd{Fingerprint: r.Fingerprint})
}

// put stores the record; it decides `unknown` when making room dropped the epoch of the key.
func (m *ownerModule) put(now time.Time, id keyID, r ownerRecord) bool {
	if _, ok := m.records.get(id); !ok {
		m.records.makeRoom()
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
	r, ok := m.held(msg.ID)
	if !ok || r.Phase != phaseIdle {
		m.decide(KindUnknown, ReasonEpochDropped)
		return
	}
	r.Phase = phaseSent
	r.Node = msg.Agent
	m.records.put(msg.ID, r, msg.Now)
	m.emit(RunCmd{Fingerprint: r.Fingerprint})
}

// held returns the record of a key that a send of this node holds; the record may be gone by eviction or shutdown.
func (m *ownerModule) held(id keyID) (ownerRecord, bool) {
	r, ok := m.records.get(id)
	if !ok {
		return r, false
	}
	invar.Check(r.Held, "once", "a send reports about a key that it does not hold, in phase %d", r.Phase)
	return r, r.Held
}

func (m *ownerModule) refuse(msg RefuseMsg) {
	r, ok := m.held(msg.ID)
	if !ok || r.Phase != phaseSent {
		return
	}
	r.Phase = phaseIdle
	m.records.put(msg.ID, r, msg.Now)
}

func (m *ownerModule) finish(msg FinishMsg) {
	r, ok := m.held(msg.ID)
	if !ok || r.Phase != phaseSent {
		return
	}
	r.Phase = phaseDone
	m.records.put(msg.ID, r, msg.Now)
}

func (m *ownerModule) doubt(msg DoubtMsg) {
	r, ok := m.held(msg.ID)
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
	r, ok := m.held(msg.ID)
	if !ok {
		return
	}
	invar.Check(msg.Outcome != model.OutcomeNotRun || r.Phase == phaseIdle, "once",
		"a send ends as not-run in phase %d", r.Phase)
	r.Held = false
	m.records.put(msg.ID, r, msg.Now)
}

func (m *ownerModule) fenced(msg FenceReplyMsg) {
	r, ok := m.held(msg.ID)
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
		m.move(msg.Now, msg.ID, r, msg.Requester)
	default:
		m.hold(msg.Now, msg.ID, r)
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
	d := m.domains[m.self]
	invar.Check(msg.Epoch >= d.Epoch, "once", "epoch went from %d to %d", d.Epoch, msg.Epoch)
	d.Epoch, d.Oldest = max(d.Epoch, msg.Epoch), max(d.Oldest, msg.Oldest)
	m.domains[m.self] = d
}

func (m *ownerModule) expire(msg ExpireMsg) {
	m.records.expire(msg.Before)
	kept := make(map[model.NodeRef]struct{})
	for e := range m.records.buckets {
		kept[e.Owner] = struct{}{}
	}
	for owner, d := range m.domains {
		if owner == m.self || !d.TakenOver.Before(msg.Before) {
			continue
		}
		if _, ok := kept[owner]; ok {
			d.Oldest = d.Epoch + 1
			m.domains[owner] = d
			continue
		}
		delete(m.domains, owner)
		m.records.raise(owner.ID, position{Incarnation: owner.Incarnation + 1})
	}
}

func phaseAfter(s FenceState) phase {
	switch s {
	case FenceNeverSeen:
		return phaseIdle
	case FenceDone:
		return phaseDone
	case FenceBroken, FenceMismatch:
		return phaseBroken
	case FenceDropped:
		return phaseForgotten
	case FenceOtherIncarnation:
		return phaseRestarted
	default:
		return phaseSent
	}
}

func (p phase) reason() string {
	switch p {
	case phaseBroken:
		return ReasonTargetBroke
	case phaseRestarted:
		return ReasonAgentRestarted
	case phaseForgotten:
		return ReasonEpochDropped
	default:
		return ReasonAgentGone
	}
}

func (s FenceState) reason() string {
	switch s {
	case FenceRunning:
		return ReasonRunning
	case FenceBroken:
		return ReasonTargetBroke
	case FenceDropped:
		return ReasonEpochDropped
	case FenceOtherIncarnation:
		return ReasonAgentRestarted
	case FenceMismatch:
		return ReasonKeyReused
	default:
		return ReasonAgentGone
	}
}
