package once

import (
	"cmp"
	"math"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/search"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// core is the part of a world without modules; it is comparable.
type core struct {
	Procs                                      [maxSends + servers]process
	Net                                        search.Bag[packet]
	Row, RowInc                                uint8
	Inc                                        [edges]uint8
	AgentInc                                   [agents]uint8
	Busy                                       [agents]packet
	Runs, RunID                                uint8
	Sent, Restarts, AgentRestarts, Drops, Dups uint8
	Refused                                    uint8
	Joined, Sealed, Aged                       bool
	// Sealer and Successor are the incarnations of A and B between which the keys are handed over, Arrivals counts the arrivals.
	Sealer, Successor, Arrivals uint8
	// Lossy loses packets when there are too many, which an exhaustive search must not.
	Lossy bool
	// Touched marks the agents that something refers to; the others are alike.
	Touched [agents]bool
}

type boxed[M any] struct {
	m     M
	print search.Fingerprint
}

type world struct {
	core
	owners  [edges]*boxed[*ownerModule]
	ledgers [agents]*boxed[*ledgerModule]
	// transfer is what A hands over; it may arrive at any later time.
	transfer *boxed[Transfer]
	problem  string
}

var moment = time.Unix(1_700_000_000, 0)

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

func newModelOwner(i, inc uint8) *boxed[*ownerModule] {
	m := newOwnerModule(ownerConfig{Self: edge(i, inc), MaxRecords: 100, MaxFloors: 10})
	m.Update(EpochMsg{Epoch: 1})
	return boxOwner(m)
}

func newModelLedger(i, inc uint8) *boxed[*ledgerModule] {
	return boxLedger(newLedgerModule(ledgerConfig{
		Self: agentRef(i, inc), MaxRecords: 100, MaxFloors: 10, MaxAnswer: math.MaxInt, MaxAnswerTotal: math.MaxInt,
	}))
}

// printRecords adds up the prints of all entries; flat returns the record without pointers.
func printRecords[R any, F comparable](s *epochStore[R], flat func(R) F) (p search.Fingerprint) {
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

func boxOwner(m *ownerModule) *boxed[*ownerModule] {
	type flat struct {
		ownerRecord
		ref model.NodeRef
	}
	p := printRecords(&m.records, func(r ownerRecord) flat {
		f := flat{ownerRecord: r}
		if r.Node != nil {
			f.ref, f.Node = r.Node.Ref, nil
		}
		return f
	})
	for ref, d := range m.domains {
		p = p.Add(search.FingerprintOf(epochID{Owner: ref, Epoch: d.Oldest}))
	}
	return &boxed[*ownerModule]{m: m, print: p.Add(search.FingerprintOf(m.sealed != nil))}
}

func boxLedger(m *ledgerModule) *boxed[*ledgerModule] {
	p := printRecords(&m.records, func(r ledgerRecord) [2]int {
		if r.Stored != nil && r.Stored.Answer != nil {
			return [2]int{int(r.State), r.Stored.Answer.Status}
		}
		return [2]int{int(r.State)}
	})
	return &boxed[*ledgerModule]{m: m, print: p.Add(search.FingerprintOf(m.config.Self))}
}

// tell lets a copy of the edge's owner module handle the message.
func (w *world) tell(i uint8, msg Msg) Cmd {
	m := w.owners[i].m.clone()
	var cmds []Cmd
	w.problem = cmp.Or(w.problem, search.CatchPanic(func() { cmds = m.Update(msg) }))
	w.owners[i] = boxOwner(m)
	return only(cmds)
}

// tellAgent lets a copy of the agent's ledger module handle the message.
func (w *world) tellAgent(j uint8, msg Msg) Cmd {
	m := w.ledgers[j].m.clone()
	var cmd Cmd
	w.problem = cmp.Or(w.problem, search.CatchPanic(func() { cmd = m.Update(msg) }))
	w.ledgers[j] = boxLedger(m)
	return cmd
}

func (p *protocol) Initial() *world {
	w := &world{core: core{Inc: [edges]uint8{1, 1, 1}, AgentInc: [agents]uint8{1, 1, 1}, Joined: !p.Join, Lossy: p.Lossy}}
	for i := range uint8(edges) {
		w.owners[i] = newModelOwner(i, 1)
	}
	for j := range uint8(agents) {
		w.ledgers[j] = newModelLedger(j, 1)
	}
	return w
}

func (p *protocol) Print(w *world) search.Fingerprint {
	out := search.FingerprintOf(w.core)
	for i, o := range w.owners {
		out = out.Add(o.print.At(i))
	}
	for j, l := range w.ledgers {
		out = out.Add(l.print.At(edges + j))
	}
	if w.transfer != nil {
		out = out.Add(w.transfer.print.At(edges + agents))
	}
	return out
}

func boxTransfer(e Transfer) *boxed[Transfer] {
	p := search.Fingerprint{}
	for _, d := range e.Domains {
		p = p.Add(search.FingerprintOf(d))
	}
	for _, r := range e.Records {
		r := r
		node := r.Node.Ref
		r.Node = model.Node{}
		p = p.Add(search.FingerprintOf(struct {
			r TransferRecord
			n model.NodeRef
		}{r, node}))
	}
	return &boxed[Transfer]{m: e, print: p}
}

// forget removes the record of the key without a trace.
func (w *world) forget(i uint8, id keyID) {
	m := w.owners[i].m.clone()
	m.records.remove(id)
	w.owners[i] = boxOwner(m)
}
