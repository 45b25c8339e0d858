package once

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

func (m *ownerModule) resolve(msg ResolveMsg) {
	if m.sealed != nil {
		m.emit(MovedCmd{Holder: m.sealed.Ref})
		return
	}
	if reason := m.rejectReason(msg.ID); reason != "" {
		m.decide(KindUnknown, reason)
		return
	}
	r, ok := m.records.get(msg.ID)
	switch {
	case ok && r.Fingerprint != msg.Fingerprint:
		m.decide(KindUnknown, ReasonKeyReused)
	case ok && r.Phase == phaseMoved && msg.Generation <= r.Generation:
		m.resolveMoved(msg, r)
	case ok && r.Phase != phaseMoved:
		m.resolveKnown(msg, r)
	case !ok && msg.Generation == 0 && m.expired(msg.ID):
		m.decide(KindNotRun, ReasonTokenExpired)
	case ok || m.owns(msg.ID.Owner) || msg.Generation > 0:
		// A generation above that of the local record means that a grant to this node was lost.
		m.grantTo(msg.Now, msg.ID, ownerRecord{Fingerprint: msg.Fingerprint, Generation: msg.Generation}, msg.Requester)
	default:
		m.decide(KindUnknown, ReasonOwnerUnreachable)
	}
}

// resolveMoved repeats the grant for the new owner, whose reply may have been lost, and names the new owner to others.
func (m *ownerModule) resolveMoved(msg ResolveMsg, r ownerRecord) {
	if r.Node.Ref == msg.Requester {
		m.emit(GrantCmd{Generation: r.Generation})
		return
	}
	m.emit(MovedCmd{Holder: r.Node.Ref, Generation: r.Generation})
}

func (m *ownerModule) resolveKnown(msg ResolveMsg, r ownerRecord) {
	switch {
	case r.Phase == phaseDone:
		m.emit(FetchCmd{Agent: r.Node, Ran: true})
	case r.Held:
		m.decide(KindInProgress, ReasonRunning)
	case r.Phase == phaseIdle:
		m.grantTo(msg.Now, msg.ID, r, msg.Requester)
	case r.Phase == phaseSent:
		m.fence(msg.Now, msg.ID, r, FenceCmd{Purpose: FenceToGrant, Requester: msg.Requester})
	default:
		m.decide(KindUnknown, r.Phase.reason())
	}
}

// grantTo records the new owner before the grant is sent.
func (m *ownerModule) grantTo(now time.Time, id keyID, r ownerRecord, to model.NodeRef) {
	r.Generation++
	r.Phase = phaseMoved
	r.Held = false
	r.Node = &model.Node{Ref: to}
	if !m.put(now, id, r) {
		return
	}
	m.emit(GrantCmd{Generation: r.Generation})
}

func (m *ownerModule) grant(msg GrantMsg) {
	if reason := m.rejectReason(msg.ID); reason != "" {
		m.decide(KindUnknown, reason)
		return
	}
	r, ok := m.records.get(msg.ID)
	if ok && r.Generation >= msg.Generation {
		m.beginKnown(BeginMsg{Now: msg.Now, ID: msg.ID, Fingerprint: msg.Fingerprint}, r)
		return
	}
	invar.Check(!ok || r.Phase == phaseMoved, "once", "generation %d granted while this node owns generation %d",
		msg.Generation, r.Generation)
	m.acquire(msg.Now, msg.ID, ownerRecord{Fingerprint: msg.Fingerprint, Generation: msg.Generation, Phase: phaseIdle})
}
