package once

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// ledgerState is what the agent knows about a key.
type ledgerState uint8

const (
	// ledgerFenced: the key did not run here and never will.
	ledgerFenced ledgerState = iota + 1
	// ledgerRunning: the request was handed to the target.
	ledgerRunning
	// ledgerDone: the target gave its whole answer.
	ledgerDone
	// ledgerBroken: the target broke off.
	ledgerBroken
)

// storedAnswer is an answer on the list of kept answers; Answer is nil after it was evicted.
type storedAnswer struct {
	Answer *StoredResponse
	size   int
}

// ledgerRecord is what the agent keeps per key.
type ledgerRecord struct {
	Fingerprint uint64
	Stored      *storedAnswer
	State       ledgerState
}

// ledgerConfig holds the bounds of a ledger module; sizes are in bytes.
type ledgerConfig struct {
	Self           model.NodeRef
	MaxRecords     int
	MaxFloors      int
	MaxAnswer      int
	MaxAnswerTotal int
}

// ledgerModule decides which attempts may reach a target; it is deterministic and not safe for concurrent use.
type ledgerModule struct {
	config  ledgerConfig
	records epochStore[ledgerRecord]
	answers []*storedAnswer
	total   int
}

// AdmitMsg asks to hand the attempt to a target.
type AdmitMsg struct {
	Now time.Time
	ID  attemptID
}

// ReleaseMsg reports that an admitted attempt certainly did not reach the target.
type ReleaseMsg struct {
	ID attemptID
}

// CompleteMsg reports the end of an admitted attempt; Answer is nil when it is not kept.
type CompleteMsg struct {
	Now    time.Time
	ID     attemptID
	Broken bool
	Answer *StoredResponse
}

// FenceMsg asks to refuse the key for ever unless it was admitted.
type FenceMsg struct {
	Now         time.Time
	ID          keyID
	Agent       model.NodeRef
	Fingerprint uint64
}

// LookupMsg asks what is known about the key without fencing it.
type LookupMsg struct {
	ID          keyID
	Fingerprint uint64
	// AnyRequest skips the comparison of fingerprints.
	AnyRequest bool
}

// AdmitCmd permits to hand the attempt to a target.
type AdmitCmd struct{}

// EvidenceCmd answers a FenceMsg.
type EvidenceCmd struct {
	State  FenceState
	Answer *StoredResponse
}

func newLedgerModule(c ledgerConfig) *ledgerModule {
	return &ledgerModule{config: c, records: newEpochStore[ledgerRecord](c.MaxRecords, c.MaxFloors)}
}

// Update applies the message.
func (m *ledgerModule) Update(msg Msg) Cmd {
	switch msg := msg.(type) {
	case AdmitMsg:
		return m.admit(msg)
	case ReleaseMsg:
		m.release(msg)
	case CompleteMsg:
		m.complete(msg)
	case FenceMsg:
		return m.fence(msg)
	case ExpireMsg:
		m.records.expire(msg.Before)
	}
	return nil
}

// Lookup returns what is known about the key; FenceNeverSeen is no promise here.
func (m *ledgerModule) Lookup(msg LookupMsg) EvidenceCmd {
	r, ok := m.records.get(msg.ID)
	if !ok {
		return EvidenceCmd{State: FenceNeverSeen}
	}
	if msg.AnyRequest {
		return r.evidence(r.Fingerprint)
	}
	return r.evidence(msg.Fingerprint)
}

func (m *ledgerModule) admit(msg AdmitMsg) Cmd {
	if msg.ID.Agent != m.config.Self.Incarnation {
		return nil
	}
	if _, seen := m.records.get(msg.ID.Key); seen {
		return nil
	}
	if !m.put(msg.Now, msg.ID.Key, ledgerRecord{Fingerprint: msg.ID.Fingerprint, State: ledgerRunning}) {
		return nil
	}
	return AdmitCmd{}
}

// put stores a new record; it fails when the epoch of the key was dropped.
func (m *ledgerModule) put(now time.Time, id keyID, r ledgerRecord) bool {
	if !m.records.accepts(id.epoch()) {
		return false
	}
	m.records.makeRoom()
	if !m.records.accepts(id.epoch()) {
		return false
	}
	m.records.put(id, r, now)
	return true
}

func (m *ledgerModule) release(msg ReleaseMsg) {
	r, ok := m.records.get(msg.ID.Key)
	if !ok {
		return
	}
	invar.Check(r.State == ledgerRunning, "once", "a key is released in state %d", r.State)
	if r.State == ledgerRunning {
		m.records.remove(msg.ID.Key)
	}
}

func (m *ledgerModule) complete(msg CompleteMsg) {
	r, ok := m.records.get(msg.ID.Key)
	if !ok {
		return
	}
	invar.Check(r.State == ledgerRunning, "once", "a key ends in state %d", r.State)
	if r.State != ledgerRunning {
		return
	}
	r.State = ledgerDone
	if msg.Broken {
		r.State = ledgerBroken
	} else {
		r.Stored = m.keep(msg.Answer)
	}
	m.records.put(msg.ID.Key, r, msg.Now)
}

// keep stores the answer and evicts the oldest ones beyond the bound.
func (m *ledgerModule) keep(a *StoredResponse) *storedAnswer {
	if a == nil || a.size() > m.config.MaxAnswer {
		return nil
	}
	s := &storedAnswer{Answer: a, size: a.size()}
	m.answers = append(m.answers, s)
	m.total += s.size
	for m.total > m.config.MaxAnswerTotal {
		oldest := m.answers[0]
		m.answers[0] = nil
		m.answers = m.answers[1:]
		m.total -= oldest.size
		oldest.Answer = nil
	}
	invar.Check(m.total >= 0 && m.total <= m.config.MaxAnswerTotal, "once",
		"answers of %d bytes are kept, the bound is %d", m.total, m.config.MaxAnswerTotal)
	return s
}

func (m *ledgerModule) fence(msg FenceMsg) Cmd {
	if msg.Agent != m.config.Self {
		return EvidenceCmd{State: FenceOtherIncarnation}
	}
	if r, seen := m.records.get(msg.ID); seen {
		return r.evidence(msg.Fingerprint)
	}
	if !m.put(msg.Now, msg.ID, ledgerRecord{Fingerprint: msg.Fingerprint, State: ledgerFenced}) {
		return EvidenceCmd{State: FenceDropped}
	}
	return EvidenceCmd{State: FenceNeverSeen}
}

func (r ledgerRecord) evidence(fingerprint uint64) EvidenceCmd {
	if r.State == ledgerFenced {
		return EvidenceCmd{State: FenceNeverSeen}
	}
	if r.Fingerprint != fingerprint {
		return EvidenceCmd{State: FenceMismatch}
	}
	switch r.State {
	case ledgerRunning:
		return EvidenceCmd{State: FenceRunning}
	case ledgerDone:
		e := EvidenceCmd{State: FenceDone}
		if r.Stored != nil {
			e.Answer = r.Stored.Answer
		}
		return e
	default:
		return EvidenceCmd{State: FenceBroken}
	}
}

func (AdmitMsg) isMsg()    {}
func (ReleaseMsg) isMsg()  {}
func (CompleteMsg) isMsg() {}
func (FenceMsg) isMsg()    {}
func (LookupMsg) isMsg()   {}

func (AdmitCmd) isCmd()    {}
func (EvidenceCmd) isCmd() {}
