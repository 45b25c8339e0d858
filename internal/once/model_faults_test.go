package once

import (
	"github.com/auburnwinch/auburnwinch/internal/search"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// targetSteps visits the responses, refused connections and failures of the targets.
func (p *protocol) targetSteps(w *modelState, step stepper) {
	for j, pkt := range w.Busy {
		if pkt.Kind == 0 {
			continue
		}
		id := attemptID{Key: modelKey(pkt.Owner, pkt.OwnerInc), Fingerprint: 1, Agent: uint64(w.AgentInc[j])}
		step(search.Label("target at %s responds", agentRef(uint8(j), w.AgentInc[j])), func(n *modelState) {
			n.Busy[j] = packet{}
			n.updateLedger(uint8(j), CompleteMsg{Now: testTime, ID: id, Response: &StoredResponse{Status: int(n.RunID)}})
			n.postReply(pkt, packet{State: replyAnswered, Response: n.RunID})
		})
		if w.Refused < p.Refusals {
			step(search.Label("target at %s is unreachable", agentRef(uint8(j), w.AgentInc[j])), func(n *modelState) {
				n.Busy[j], n.Runs, n.RunID = packet{}, n.Runs-1, 0
				n.Refused++
				n.updateLedger(uint8(j), ReleaseMsg{ID: id})
				n.postReply(pkt, packet{State: replyRefused})
			})
		}
		step(search.Label("target at %s aborts", agentRef(uint8(j), w.AgentInc[j])), func(n *modelState) {
			n.Busy[j] = packet{}
			n.updateLedger(uint8(j), CompleteMsg{Now: testTime, ID: id, Aborted: true})
		})
	}
}

// faultSteps visits restarts, dropped epochs, the join of the third agent and the shutdown of the first edge.
func (p *protocol) faultSteps(w *modelState, step stepper) {
	for i := range uint8(edges) {
		if w.Restarts < p.Restarts && (i < 2 || p.ThirdEdge) {
			step(search.Label("%s restarts", edge(i, w.EdgeInc[i])), func(n *modelState) { p.restart(n, i) })
		}
		if w.Drops < p.Drops && w.owners[i].value.records.count > 0 {
			step(search.Label("%s drops its epochs", edge(i, w.EdgeInc[i])), func(n *modelState) {
				n.Drops++
				n.updateOwner(i, ExpireMsg{Before: testTime.Add(1)})
				n.clearFloors(p.Without, n.owners[i].value.records.floors)
				n.owners[i] = hashOwner(n.owners[i].value)
			})
		}
	}
	for j := range uint8(agents) {
		if w.AgentRestarts < p.AgentRestarts && w.isDistinct(j) {
			step(search.Label("%s restarts", agentRef(j, w.AgentInc[j])), func(n *modelState) {
				n.AgentRestarts++
				n.Referenced[j] = true
				n.AgentInc[j]++
				n.ledgers[j] = newHashedLedger(j, n.AgentInc[j])
				n.Busy[j] = packet{}
			})
		}
		if w.Drops < p.Drops && w.ledgers[j].value.records.count > 0 {
			step(search.Label("%s drops its epochs", agentRef(j, w.AgentInc[j])), func(n *modelState) {
				n.Drops++
				n.updateLedger(j, ExpireMsg{Before: testTime.Add(1)})
				n.clearFloors(p.Without, n.ledgers[j].value.records.floors)
				n.ledgers[j] = hashLedger(n.ledgers[j].value)
			})
		}
	}
	if !w.Joined {
		step(search.Label("the third agent joins"), func(n *modelState) { n.Joined = true })
	}
	if p.TokenExpiry && !w.TokensExpired {
		step(search.Label("tokens of A expire"), func(n *modelState) {
			n.TokensExpired = true
			n.updateOwner(0, EpochMsg{Epoch: 2, Oldest: 2})
		})
	}
	if p.Handover && !w.Sealed {
		step(search.Label("A seals its keys for B"), func(n *modelState) { p.seal(n) })
	}
	if w.transfer != nil && w.Arrivals < maxArrivals {
		step(search.Label("the keys of A arrive at B"), func(n *modelState) { p.takeOver(n) })
	}
}

func (w *modelState) clearFloors(without safeguard, floors map[string]position) {
	if without == withoutFloors {
		clear(floors)
	}
}

// seal ends the ownership of A and sends its keys to B. They may arrive late, twice or never, even after A has exited,
// and at a B that has restarted.
func (p *protocol) seal(n *modelState) {
	n.Sealed, n.SealerInc, n.SuccessorInc = true, n.EdgeInc[0], n.EdgeInc[1]
	before := n.owners[0]
	cmd := n.updateOwner(0, SealMsg{Now: testTime, Successor: &model.Node{Ref: edge(1, n.SuccessorInc)}})
	c, ok := cmd.(TransferCmd)
	if !ok {
		return
	}
	p.seen.Add("handover")
	n.transfer = hashTransfer(c.Transfer)
	if p.Without == withoutSeal {
		n.owners[0] = before
	}
}

// takeOver delivers the keys to B. Keys.Handover rejects them if they are for another incarnation of B.
func (p *protocol) takeOver(n *modelState) {
	n.Arrivals++
	if n.SuccessorInc != n.EdgeInc[1] && p.Without != withoutSuccessorIncarnation {
		return
	}
	n.updateOwner(1, TakeOverMsg{Now: testTime, Transfer: n.transfer.value})
	if n.EdgeInc[0] != n.SealerInc {
		p.seen.Add("late handover")
	}
}

func (p *protocol) restart(n *modelState, i uint8) {
	n.Restarts++
	old := edge(i, n.EdgeInc[i])
	n.EdgeInc[i]++
	n.owners[i] = newHashedOwner(i, n.EdgeInc[i])
	if p.Without == withoutOwnerIncarnation {
		n.owners[i].value.issuers[old] = issuer{Epoch: 1}
		n.owners[i] = hashOwner(n.owners[i].value)
	}
	for k := range n.Processes {
		pr := &n.Processes[k]
		if pr.At != i || pr.Stage == stageNone || pr.Stage == stageDone {
			continue
		}
		n.stopWaiting(uint8(k))
		*pr = process{}
		if k < maxRequests {
			pr.Stage = stageDone
		}
	}
}
