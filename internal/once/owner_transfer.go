package once

import (
	"cmp"
	"slices"
	"time"
)

func (m *ownerModule) seal(msg SealMsg) {
	if m.sealed != nil {
		return
	}
	m.sealed = msg.Successor
	transfer := Transfer{}
	for owner, iss := range m.issuers {
		floor := uint64(0)
		if f := m.records.floors[owner.ID]; f.Incarnation == owner.Incarnation {
			floor = f.Epoch
		}
		transfer.Domains = append(transfer.Domains, TransferDomain{Owner: owner, Epoch: iss.Epoch, Oldest: iss.Oldest, Floor: floor})
	}
	for id, b := range m.records.buckets {
		for key, r := range b.Records {
			transfer.Records = append(transfer.Records, transferRecord(id, key, r))
		}
	}
	slices.SortFunc(transfer.Domains, func(a, b TransferDomain) int {
		return cmp.Or(cmp.Compare(a.Owner.ID, b.Owner.ID), cmp.Compare(a.Owner.Incarnation, b.Owner.Incarnation))
	})
	slices.SortFunc(transfer.Records, func(a, b TransferRecord) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	clear(m.records.buckets)
	m.records.count = 0
	m.emit(TransferCmd{Transfer: transfer})
}

func transferRecord(id epochID, key digest, r ownerRecord) TransferRecord {
	t := TransferRecord{
		Owner: id.Owner, Epoch: id.Epoch, Digest: key,
		Fingerprint: r.Fingerprint, Generation: r.Generation, Phase: uint8(r.Phase),
	}
	if r.Held {
		t.Phase = uint8(r.Phase.handoverPhase())
	}
	if r.Node != nil {
		t.Node = *r.Node
	}
	return t
}

// handoverPhase returns the phase that the successor gets for a key that a request at this node still holds. That
// request may report not-run to its caller, so the successor must never run the key; it may read the response from the
// agent.
func (p phase) handoverPhase() phase {
	switch p {
	case phaseIdle:
		return phaseDropped
	case phaseSent, phaseFencing:
		return phaseDone
	default:
		return p
	}
}

func (m *ownerModule) takeOver(msg TakeOverMsg) {
	if m.sealed != nil {
		return
	}
	m.emit(TakenOverCmd{})
	for _, d := range msg.Transfer.Domains {
		id := epochID{Owner: d.Owner, Epoch: d.Epoch}
		if m.owns(d.Owner) || !m.records.accepts(id) {
			return // a duplicate or late handover
		}
	}
	for _, d := range msg.Transfer.Domains {
		m.issuers[d.Owner] = issuer{Epoch: d.Epoch, Oldest: d.Oldest, TakenOver: msg.Now}
		m.records.raiseFloor(d.Owner.ID, position{Incarnation: d.Owner.Incarnation, Epoch: d.Floor})
	}
	for _, r := range msg.Transfer.Records {
		m.takeOverRecord(msg.Now, r)
	}
}

func (m *ownerModule) takeOverRecord(now time.Time, t TransferRecord) {
	id := keyID{Owner: t.Owner, Epoch: t.Epoch, Digest: t.Digest}
	existing, ok := m.records.get(id)
	if ok && existing.Generation >= t.Generation || !m.records.accepts(id.epoch()) {
		return
	}
	r := ownerRecord{Fingerprint: t.Fingerprint, Generation: t.Generation, Phase: phase(t.Phase)}
	if !t.Node.Ref.IsZero() {
		r.Node = &t.Node
	}
	if r.Phase == phaseMoved && t.Node.Ref == m.self {
		r.Phase = phaseIdle // the grant to this node was lost
	}
	if !ok {
		m.records.evict()
	}
	if m.records.accepts(id.epoch()) {
		m.records.put(id, r, now)
	}
}
