package once

import (
	"github.com/auburnwinch/auburnwinch/internal/search"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// targets lets targets answer or break off.
func (p *protocol) targets(w *world, step stepper) {
	for j, l := range w.Busy {
		if l.Kind == 0 {
			continue
		}
		id := attemptID{Key: modelKey(l.Owner, l.OwnerInc), Fingerprint: 1, Agent: uint64(w.AgentInc[j])}
		step(search.Label("target at %s answers", agentRef(uint8(j), w.AgentInc[j])), func(n *world) {
			n.Busy[j] = packet{}
			n.tellAgent(uint8(j), CompleteMsg{Now: moment, ID: id, Answer: &StoredResponse{Status: int(n.RunID)}})
			n.answer(l, packet{State: replyAnswered, Ans: n.RunID})
		})
		if w.Refused < p.Refuse {
			step(search.Label("target at %s can't be reached", agentRef(uint8(j), w.AgentInc[j])), func(n *world) {
				n.Busy[j], n.Runs, n.RunID = packet{}, n.Runs-1, 0
				n.Refused++
				n.tellAgent(uint8(j), ReleaseMsg{ID: id})
				n.answer(l, packet{State: replyRefused})
			})
		}
		step(search.Label("target at %s breaks", agentRef(uint8(j), w.AgentInc[j])), func(n *world) {
			n.Busy[j] = packet{}
			n.tellAgent(uint8(j), CompleteMsg{Now: moment, ID: id, Broken: true})
		})
	}
}

// faults restarts nodes, drops epochs, lets the third agent join and shuts the first edge down.
func (p *protocol) faults(w *world, step stepper) {
	for i := range uint8(edges) {
		if w.Restarts < p.Restarts && (i < 2 || p.Three) {
			step(search.Label("%s restarts", edge(i, w.Inc[i])), func(n *world) { p.restart(n, i) })
		}
		if w.Drops < p.Drops && w.owners[i].m.records.count > 0 {
			step(search.Label("%s drops its epochs", edge(i, w.Inc[i])), func(n *world) {
				n.Drops++
				n.tell(i, ExpireMsg{Before: moment.Add(1)})
				n.clearFloors(p.Without, n.owners[i].m.records.floors)
				n.owners[i] = boxOwner(n.owners[i].m)
			})
		}
	}
	for j := range uint8(agents) {
		if w.AgentRestarts < p.AgentRestarts && w.distinct(j) {
			step(search.Label("%s restarts", agentRef(j, w.AgentInc[j])), func(n *world) {
				n.AgentRestarts++
				n.Touched[j] = true
				n.AgentInc[j]++
				n.ledgers[j] = newModelLedger(j, n.AgentInc[j])
				n.Busy[j] = packet{}
			})
		}
		if w.Drops < p.Drops && w.ledgers[j].m.records.count > 0 {
			step(search.Label("%s drops its epochs", agentRef(j, w.AgentInc[j])), func(n *world) {
				n.Drops++
				n.tellAgent(j, ExpireMsg{Before: moment.Add(1)})
				n.clearFloors(p.Without, n.ledgers[j].m.records.floors)
				n.ledgers[j] = boxLedger(n.ledgers[j].m)
			})
		}
	}
	if !w.Joined {
		step(search.Label("the third agent joins"), func(n *world) { n.Joined = true })
	}
	if p.Aging && !w.Aged {
		step(search.Label("tokens of A expire"), func(n *world) {
			n.Aged = true
			n.tell(0, EpochMsg{Epoch: 2, Oldest: 2})
		})
	}
	if p.Handover && !w.Sealed {
		step(search.Label("A seals its keys for B"), func(n *world) { p.seal(n) })
	}
	if w.transfer != nil && w.Arrivals < maxArrivals {
		step(search.Label("the keys of A arrive at B"), func(n *world) { p.takeOver(n) })
	}
}

func (w *world) clearFloors(without safeguard, floors map[string]position) {
	if without == withoutFloors {
		clear(floors)
	}
}

// seal ends the ownership of A. The keys are on their way to B from then on: they may arrive late, twice or never, also
// after A has exited, and at a B that has restarted.
func (p *protocol) seal(n *world) {
	n.Sealed, n.Sealer, n.Successor = true, n.Inc[0], n.Inc[1]
	before := n.owners[0]
	cmd := n.tell(0, SealMsg{Now: moment, Successor: &model.Node{Ref: edge(1, n.Successor)}})
	c, ok := cmd.(TransferCmd)
	if !ok {
		return
	}
	p.seen.Add("handover")
	n.transfer = boxTransfer(c.Transfer)
	if p.Without == withoutSealOnce {
		n.owners[0] = before
	}
}

// takeOver lets the keys arrive. Keys.Handover refuses them when they are for another incarnation of B.
func (p *protocol) takeOver(n *world) {
	n.Arrivals++
	if n.Successor != n.Inc[1] && p.Without != withoutSuccessorIncarnation {
		return
	}
	n.tell(1, TakeOverMsg{Now: moment, Transfer: n.transfer.m})
	if n.Inc[0] != n.Sealer {
		p.seen.Add("late handover")
	}
}

func (p *protocol) restart(n *world, i uint8) {
	n.Restarts++
	old := edge(i, n.Inc[i])
	n.Inc[i]++
	n.owners[i] = newModelOwner(i, n.Inc[i])
	if p.Without == withoutOwnerIncarnation {
		n.owners[i].m.domains[old] = domain{Epoch: 1}
		n.owners[i] = boxOwner(n.owners[i].m)
	}
	for k := range n.Procs {
		pr := &n.Procs[k]
		if pr.At != i || pr.Stage == stageNone || pr.Stage == stageOver {
			continue
		}
		n.moveOn(uint8(k))
		*pr = process{}
		if k < maxSends {
			pr.Stage = stageOver
		}
	}
}
