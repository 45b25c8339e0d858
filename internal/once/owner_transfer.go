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
	e := Transfer{}
	for owner, d := range m.domains {
		floor := uint64(0)
		if f := m.records.floors[owner.ID]; f.Incarnation == owner.Incarnation {
			floor = f.Epoch
		}
		e.Domains = append(e.Domains, TransferDomain{Owner: owner, Epoch: d.Epoch, Oldest: d.Oldest, Floor: floor})
	}
	for id, b := range m.records.buckets {
		for key, r := range b.Records {
			e.Records = append(e.Records, transferRecord(id, key, r))
		}
	}
	slices.SortFunc(e.Domains, func(a, b TransferDomain) int {
		return cmp.Or(cmp.Compare(a.Owner.ID, b.Owner.ID), cmp.Compare(a.Owner.Incarnation, b.Owner.Incarnation))
	})
	slices.SortFunc(e.Records, func(a, b TransferRecord) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	clear(m.records.buckets)
	m.records.count = 0
	m.emit(TransferCmd{Transfer: e})
}

func transferRecord(id epochID, key digest, r ownerRecord) TransferRecord {
	out := TransferRecord{
		Owner: id.Owner, Epoch: id.Epoch, Digest: key,
		Fingerprint: r.Fingerprint, Generation: r.Generation, Phase: uint8(r.Phase),
	}
	if r.Held {
		out.Phase = uint8(r.Phase.abandoned())
	}
	if r.Node != nil {
		out.Node = *r.Node
	}
	return out
}

// abandoned returns the phase that the successor gets for a key which a send of this node still holds. The send may
// tell its caller not-run, so the successor must never run the key; it may read the answer from the agent.
func (p phase) abandoned() phase {
	switch p {
	case phaseIdle:
		return phaseForgotten
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
			return // a repeated or late handover
		}
	}
	for _, d := range msg.Transfer.Domains {
		m.domains[d.Owner] = domain{Epoch: d.Epoch, Oldest: d.Oldest, TakenOver: msg.Now}
		m.records.raise(d.Owner.ID, position{Incarnation: d.Owner.Incarnation, Epoch: d.Floor})
	}
	for _, r := range msg.Transfer.Records {
		m.takeOverRecord(msg.Now, r)
	}
}

func (m *ownerModule) takeOverRecord(now time.Time, e TransferRecord) {
	id := keyID{Owner: e.Owner, Epoch: e.Epoch, Digest: e.Digest}
	own, ok := m.records.get(id)
	if ok && own.Generation >= e.Generation || !m.records.accepts(id.epoch()) {
		return
	}
	r := ownerRecord{Fingerprint: e.Fingerprint, Generation: e.Generation, Phase: phase(e.Phase)}
	if !e.Node.Ref.IsZero() {
		r.Node = &e.Node
	}
	if r.Phase == phaseMoved && e.Node.Ref == m.self {
		r.Phase = phaseIdle // the grant to this node was lost on its way
	}
	if !ok {
		m.records.makeRoom()
	}
	if m.records.accepts(id.epoch()) {
		m.records.put(id, r, now)
	}
}
