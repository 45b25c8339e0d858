package once

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// ledgerState is the state of a key at the agent.
type ledgerState uint8

const (
	// ledgerFenced: the key did not run here and will never be admitted.
	ledgerFenced ledgerState = iota + 1
	// ledgerRunning: the request was passed to the target, which has not completed it yet.
	ledgerRunning
	// ledgerDone: the target sent a complete response.
	ledgerDone
	// ledgerAborted: the target aborted the request before its response was complete.
	ledgerAborted
)

// responseEntry is one entry in the list of stored responses; Response is nil after its eviction.
type responseEntry struct {
	Response *StoredResponse
	size     int
}

// ledgerRecord is the agent's record of one key.
type ledgerRecord struct {
	Fingerprint uint64
	Response    *responseEntry
	State       ledgerState
}

// ledgerConfig holds the limits of a ledger module.
type ledgerConfig struct {
	Self                  model.NodeRef
	MaxRecords            int
	MaxFloors             int
	MaxResponseBytes      int
	MaxTotalResponseBytes int
}

// ledgerModule decides which attempts may be sent to a target. It is deterministic and not safe for concurrent use.
type ledgerModule struct {
	config        ledgerConfig
	records       epochStore[ledgerRecord]
	responses     []*responseEntry
	responseBytes int
}

// AdmitMsg asks for permission to send the attempt to a target.
type AdmitMsg struct {
	Now time.Time
	ID  attemptID
}

// ReleaseMsg reports that an admitted attempt certainly did not reach the target.
type ReleaseMsg struct {
	ID attemptID
}

// CompleteMsg reports the end of an admitted attempt; Response is nil if it is not to be stored.
type CompleteMsg struct {
	Now      time.Time
	ID       attemptID
	Aborted  bool
	Response *StoredResponse
}

// FenceMsg asks the agent to reject all later attempts with the key unless one was already admitted.
type FenceMsg struct {
	Now         time.Time
	ID          keyID
	Agent       model.NodeRef
	Fingerprint uint64
}

// LookupMsg reads the state of the key without fencing it.
type LookupMsg struct {
	ID          keyID
	Fingerprint uint64
	// AnyRequest skips the comparison of request fingerprints.
	AnyRequest bool
}

// AdmitCmd permits sending the attempt to a target.
type AdmitCmd struct{}

// KeyStateCmd is the reply to a FenceMsg or LookupMsg. It converts to FenceReply, whose field names are on the wire.
type KeyStateCmd struct {
	State  FenceState
	Answer *StoredResponse
}

func newLedgerModule(c ledgerConfig) *ledgerModule {
	return &ledgerModule{config: c, records: newEpochStore[ledgerRecord](c.MaxRecords, c.MaxFloors)}
}

// Update applies the message and returns the resulting command, or nil.
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

// Lookup returns the state of the key. Unlike after a fence, the key may still run after FenceNeverSeen.
func (m *ledgerModule) Lookup(msg LookupMsg) KeyStateCmd {
	r, ok := m.records.get(msg.ID)
	if !ok {
		return KeyStateCmd{State: FenceNeverSeen}
	}
	if msg.AnyRequest {
		return r.keyState(r.Fingerprint)
	}
	return r.keyState(msg.Fingerprint)
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

// put stores a new record and reports false if the epoch of the key was dropped.
func (m *ledgerModule) put(now time.Time, id keyID, r ledgerRecord) bool {
	if !m.records.accepts(id.epoch()) {
		return false
	}
	m.records.evict()
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
	invar.Check(r.State == ledgerRunning, "once", "key released in state %d", r.State)
	if r.State == ledgerRunning {
		m.records.remove(msg.ID.Key)
	}
}

func (m *ledgerModule) complete(msg CompleteMsg) {
	r, ok := m.records.get(msg.ID.Key)
	if !ok {
		return
	}
	invar.Check(r.State == ledgerRunning, "once", "key completed in state %d", r.State)
	if r.State != ledgerRunning {
		return
	}
	r.State = ledgerDone
	if msg.Aborted {
		r.State = ledgerAborted
	} else {
		r.Response = m.storeResponse(msg.Response)
	}
	m.records.put(msg.ID.Key, r, msg.Now)
}

// storeResponse stores the response and evicts the oldest ones when the total size exceeds its limit.
func (m *ledgerModule) storeResponse(r *StoredResponse) *responseEntry {
	if r == nil || r.size() > m.config.MaxResponseBytes {
		return nil
	}
	entry := &responseEntry{Response: r, size: r.size()}
	m.responses = append(m.responses, entry)
	m.responseBytes += entry.size
	for m.responseBytes > m.config.MaxTotalResponseBytes {
		oldest := m.responses[0]
		m.responses[0] = nil
		m.responses = m.responses[1:]
		m.responseBytes -= oldest.size
		oldest.Response = nil
	}
	invar.Check(m.responseBytes >= 0 && m.responseBytes <= m.config.MaxTotalResponseBytes, "once",
		"stored responses take %d bytes, limit %d", m.responseBytes, m.config.MaxTotalResponseBytes)
	return entry
}

func (m *ledgerModule) fence(msg FenceMsg) Cmd {
	if msg.Agent != m.config.Self {
		return KeyStateCmd{State: FenceOtherIncarnation}
	}
	if r, seen := m.records.get(msg.ID); seen {
		return r.keyState(msg.Fingerprint)
	}
	if !m.put(msg.Now, msg.ID, ledgerRecord{Fingerprint: msg.Fingerprint, State: ledgerFenced}) {
		return KeyStateCmd{State: FenceDropped}
	}
	return KeyStateCmd{State: FenceNeverSeen}
}

func (r ledgerRecord) keyState(fingerprint uint64) KeyStateCmd {
	if r.State == ledgerFenced {
		return KeyStateCmd{State: FenceNeverSeen}
	}
	if r.Fingerprint != fingerprint {
		return KeyStateCmd{State: FenceMismatch}
	}
	switch r.State {
	case ledgerRunning:
		return KeyStateCmd{State: FenceRunning}
	case ledgerDone:
		state := KeyStateCmd{State: FenceDone}
		if r.Response != nil {
			state.Answer = r.Response.Response
		}
		return state
	default:
		return KeyStateCmd{State: FenceAborted}
	}
}

func (AdmitMsg) isMsg()    {}
func (ReleaseMsg) isMsg()  {}
func (CompleteMsg) isMsg() {}
func (FenceMsg) isMsg()    {}
func (LookupMsg) isMsg()   {}

func (AdmitCmd) isCmd()    {}
func (KeyStateCmd) isCmd() {}
