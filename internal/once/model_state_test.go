package once

import (
	"cmp"
	"math"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/search"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// plainState is the comparable part of a modelState, without the modules.
type plainState struct {
	Processes                                        [maxRequests + maxResolvers]process
	Net                                              search.Bag[packet]
	ClaimOwner, ClaimInc                             uint8
	EdgeInc                                          [edges]uint8
	AgentInc                                         [agents]uint8
	Busy                                             [agents]packet
	Runs, RunID                                      uint8
	Sent, Restarts, AgentRestarts, Drops, Duplicates uint8
	Refused                                          uint8
	Joined, Sealed, TokensExpired                    bool
	// The keys are handed over from incarnation SealerInc of A to incarnation SuccessorInc of B; Arrivals counts how often
	// they arrived.
	SealerInc, SuccessorInc, Arrivals uint8
	// Lossy drops packets when there are too many, which an exhaustive search must not do.
	Lossy bool
	// Referenced marks the agents that something refers to; the others are equivalent.
	Referenced [agents]bool
}

// hashed is a value with its hash, which is computed only once.
type hashed[M any] struct {
	value M
	hash  search.Fingerprint
}

// modelState is one state of the model.
type modelState struct {
	plainState
	owners  [edges]*hashed[*ownerModule]
	ledgers [agents]*hashed[*ledgerModule]
	// transfer is the state that A hands over; it may arrive at any later time.
	transfer *hashed[Transfer]
	problem  string
}

var testTime = time.Unix(1_700_000_000, 0)

func edge(i, inc uint8) model.NodeRef {
	return model.NodeRef{ID: string('A' + rune(i)), Incarnation: uint64(inc)}
}

func agentRef(i, inc uint8) model.NodeRef {
	return model.NodeRef{ID: string('P' + rune(i)), Incarnation: uint64(inc)}
}

func indexOf(ref model.NodeRef, first byte) (uint8, uint8) {
	return ref.ID[0] - first, uint8(ref.Incarnation)
}

func modelKey(owner, inc uint8) keyID {
	return keyID{Owner: edge(owner, inc), Epoch: 1, Digest: digest{owner, inc}}
}

func newHashedOwner(i, inc uint8) *hashed[*ownerModule] {
	m := newOwnerModule(ownerConfig{Self: edge(i, inc), MaxRecords: 100, MaxFloors: 10})
	m.Update(EpochMsg{Epoch: 1})
	return hashOwner(m)
}

func newHashedLedger(i, inc uint8) *hashed[*ledgerModule] {
	return hashLedger(newLedgerModule(ledgerConfig{
		Self: agentRef(i, inc), MaxRecords: 100, MaxFloors: 10, MaxResponseBytes: math.MaxInt, MaxTotalResponseBytes: math.MaxInt,
	}))
}

// hashRecords combines the hashes of all records and floors; flat returns the record without pointers.
func hashRecords[R any, F comparable](s *epochStore[R], flat func(R) F) (p search.Fingerprint) {
	for id, b := range s.buckets {
		p = p.Add(search.FingerprintOf(id))
		for key, r := range b.Records {
			p = p.Add(search.FingerprintOf(struct {
				e epochID
				d digest
				r F
			}{id, key, flat(r)}))
		}
	}
	for id, f := range s.floors {
		p = p.Add(search.FingerprintOf(epochID{Owner: model.NodeRef{ID: id, Incarnation: f.Incarnation}, Epoch: ^f.Epoch}))
	}
	return p
}

func hashOwner(m *ownerModule) *hashed[*ownerModule] {
	type flat struct {
		ownerRecord
		ref model.NodeRef
	}
	p := hashRecords(&m.records, func(r ownerRecord) flat {
		f := flat{ownerRecord: r}
		if r.Node != nil {
			f.ref, f.Node = r.Node.Ref, nil
		}
		return f
	})
	for ref, d := range m.issuers {
		p = p.Add(search.FingerprintOf(epochID{Owner: ref, Epoch: d.Oldest}))
	}
	return &hashed[*ownerModule]{value: m, hash: p.Add(search.FingerprintOf(m.sealed != nil))}
}

func hashLedger(m *ledgerModule) *hashed[*ledgerModule] {
	p := hashRecords(&m.records, func(r ledgerRecord) [2]int {
		if r.Response != nil && r.Response.Response != nil {
			return [2]int{int(r.State), r.Response.Response.Status}
		}
		return [2]int{int(r.State)}
	})
	return &hashed[*ledgerModule]{value: m, hash: p.Add(search.FingerprintOf(m.config.Self))}
}

// updateOwner applies the message to a copy of the edge's owner module, which becomes the current one.
func (w *modelState) updateOwner(i uint8, msg Msg) Cmd {
	m := w.owners[i].value.clone()
	var cmds []Cmd
	w.problem = cmp.Or(w.problem, search.CatchPanic(func() { cmds = m.Update(msg) }))
	w.owners[i] = hashOwner(m)
	return firstCmd(cmds)
}

// updateLedger applies the message to a copy of the agent's ledger module, which becomes the current one.
func (w *modelState) updateLedger(j uint8, msg Msg) Cmd {
	m := w.ledgers[j].value.clone()
	var cmd Cmd
	w.problem = cmp.Or(w.problem, search.CatchPanic(func() { cmd = m.Update(msg) }))
	w.ledgers[j] = hashLedger(m)
	return cmd
}

func (p *protocol) Initial() *modelState {
	w := &modelState{plainState: plainState{EdgeInc: [edges]uint8{1, 1, 1}, AgentInc: [agents]uint8{1, 1, 1}, Joined: !p.Join, Lossy: p.Lossy}}
	for i := range uint8(edges) {
		w.owners[i] = newHashedOwner(i, 1)
	}
	for j := range uint8(agents) {
		w.ledgers[j] = newHashedLedger(j, 1)
	}
	return w
}

func (p *protocol) Fingerprint(w *modelState) search.Fingerprint {
	out := search.FingerprintOf(w.plainState)
	for i, o := range w.owners {
		out = out.Add(o.hash.At(i))
	}
	for j, l := range w.ledgers {
		out = out.Add(l.hash.At(edges + j))
	}
	if w.transfer != nil {
		out = out.Add(w.transfer.hash.At(edges + agents))
	}
	return out
}

func hashTransfer(transfer Transfer) *hashed[Transfer] {
	p := search.Fingerprint{}
	for _, d := range transfer.Domains {
		p = p.Add(search.FingerprintOf(d))
	}
	for _, r := range transfer.Records {
		r := r
		node := r.Node.Ref
		r.Node = model.Node{}
		p = p.Add(search.FingerprintOf(struct {
			r TransferRecord
			n model.NodeRef
		}{r, node}))
	}
	return &hashed[Transfer]{value: transfer, hash: p}
}

// removeRecord removes the record of the key without raising a floor.
func (w *modelState) removeRecord(i uint8, id keyID) {
	m := w.owners[i].value.clone()
	m.records.remove(id)
	w.owners[i] = hashOwner(m)
}
