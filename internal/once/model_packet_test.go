package once

import (
	"fmt"
	"slices"

	"github.com/auburnwinch/auburnwinch/internal/search"
)

type packetKind uint8

const (
	packetAttempt packetKind = iota + 1
	packetFence
	packetResolve
	packetClaim
	packetReply
)

// packet is a message in transit.
type packet struct {
	search.Envelope
	Kind                      packetKind
	To, ToInc                 uint8
	Owner, OwnerInc           uint8
	ReqAt, ReqInc, Generation uint8
	State, Response           uint8
	Granted, Moved, Gone      bool
}

// Replies to an attempt, in packet.State.
const (
	replyRefused uint8 = iota + 1
	replySeen
	replyAnswered
)

func (pkt packet) String() string {
	kinds := [...]string{"", "attempt", "fence", "resolve", "claim", "reply"}
	return fmt.Sprintf("%s of process %d to %d.%d", kinds[pkt.Kind], pkt.From, pkt.To, pkt.ToInc)
}

// hasNoEffect reports whether a packet whose sender no longer waits can't change the state any more.
func (w *modelState) hasNoEffect(pkt packet) bool {
	switch pkt.Kind {
	case packetAttempt, packetFence:
		id := modelKey(pkt.Owner, pkt.OwnerInc)
		_, seen := w.ledgers[pkt.To].value.records.get(id)
		return pkt.ToInc != w.AgentInc[pkt.To] || seen || !w.ledgers[pkt.To].value.records.accepts(id.epoch())
	case packetResolve:
		return pkt.ToInc != w.EdgeInc[pkt.To]
	default:
		return w.ClaimOwner != 0
	}
}

// stopWaiting makes the process ignore the replies that it waited for.
func (w *modelState) stopWaiting(i uint8) {
	for k := range w.Net.All() {
		w.Net.All()[k].SenderGaveUp(i)
	}
	for k := range w.Busy {
		w.Busy[k].SenderGaveUp(i)
	}
	for k := maxRequests; k < len(w.Processes); k++ {
		if pr := &w.Processes[k]; pr.Awaited && pr.From == i {
			pr.Awaited, pr.From = false, 0
		}
	}
}

// postReply posts the reply to a packet if its sender still waits.
func (w *modelState) postReply(pkt, reply packet) {
	if pkt.AwaitsReply {
		reply.Kind, reply.AwaitsReply, reply.From = packetReply, true, pkt.From
		w.post(reply)
	}
}

func (w *modelState) post(pkt packet) {
	if !w.Net.Put(pkt) && !w.Lossy {
		w.problem = "too many packets in transit for the model"
	}
}

// deliver visits the possible effects of the arrival of the packet.
func (p *protocol) deliver(w *modelState, pkt packet, label func() string, step stepper) {
	switch pkt.Kind {
	case packetAttempt:
		step(label, func(n *modelState) { p.admit(n, pkt) })
		if w.Refused < p.Refusals && pkt.ToInc == w.AgentInc[pkt.To] {
			step(search.Label("%s, refused for load", pkt), func(n *modelState) {
				n.Refused++
				n.postReply(pkt, packet{State: replyRefused})
			})
		}
	case packetFence:
		step(label, func(n *modelState) {
			inc := pkt.ToInc
			if p.Without == withoutAgentIncarnation {
				inc = n.AgentInc[pkt.To]
			}
			e := n.updateLedger(pkt.To, FenceMsg{
				Now: testTime, ID: modelKey(pkt.Owner, pkt.OwnerInc), Agent: agentRef(pkt.To, inc), Fingerprint: 1,
			}).(KeyStateCmd)
			r := packet{State: uint8(e.State)}
			if e.Answer != nil {
				r.Response = uint8(e.Answer.Status)
			}
			n.postReply(pkt, r)
		})
	case packetClaim:
		step(label, func(n *modelState) {
			if n.ClaimOwner == 0 {
				n.ClaimOwner, n.ClaimInc = pkt.ReqAt+1, pkt.ReqInc
			}
			n.postReply(pkt, packet{Owner: n.ClaimOwner - 1, OwnerInc: n.ClaimInc})
		})
	case packetResolve:
		p.resolve(w, pkt, label, step)
	case packetReply:
		step(label, func(n *modelState) { p.receive(n, pkt) })
	}
}

// admit applies the attempt to the agent's ledger; an admitted request reaches the target immediately.
func (p *protocol) admit(n *modelState, pkt packet) {
	inc := pkt.ToInc
	if p.Without == withoutAgentIncarnation {
		inc = n.AgentInc[pkt.To]
	}
	id := attemptID{Key: modelKey(pkt.Owner, pkt.OwnerInc), Fingerprint: 1, Agent: uint64(inc)}
	if _, ok := n.updateLedger(pkt.To, AdmitMsg{Now: testTime, ID: id}).(AdmitCmd); !ok {
		n.postReply(pkt, packet{State: replySeen})
		return
	}
	n.Runs++
	n.RunID = 1 + pkt.To + agents*n.AgentInc[pkt.To]
	n.Busy[pkt.To] = pkt
	switch {
	case n.Runs > 1:
		n.problem = "the request ran twice"
	case n.Processes[pkt.From].NotRun:
		n.problem = "a request ran after its caller was told not-run"
	}
}

func (p *protocol) resolve(w *modelState, pkt packet, label func() string, step stepper) {
	if pkt.ToInc != w.EdgeInc[pkt.To] && p.Without != withoutOwnerIncarnation {
		step(label, func(n *modelState) { n.postReply(pkt, packet{Gone: true}) })
		return
	}
	server := slices.IndexFunc(w.Processes[maxRequests:], func(pr process) bool { return pr.Stage == stageNone })
	if server < 0 {
		return
	}
	i := uint8(maxRequests + server)
	var fetch *FetchCmd
	step(label, func(n *modelState) {
		pr := &n.Processes[i]
		*pr = process{At: pkt.To, Owner: pkt.Owner, OwnerInc: pkt.OwnerInc, From: pkt.From, Awaited: pkt.AwaitsReply}
		id := modelKey(pkt.Owner, pkt.OwnerInc)
		cmd := n.updateOwner(pkt.To, ResolveMsg{
			Now: testTime, ID: id, Fingerprint: 1, Requester: edge(pkt.ReqAt, pkt.ReqInc), Generation: uint32(pkt.Generation),
		})
		switch c := cmd.(type) {
		case FenceCmd:
			p.fence(n, i, c)
			return
		case FetchCmd:
			fetch = &c
			j, _ := indexOf(c.Agent.Ref, 'P')
			p.postFetchReply(n, pkt, n.lookup(j, id), true)
		default:
			p.postResolveReply(n, *pr, cmd, n.requestState(i))
		}
		*pr = process{}
	})
	if fetch != nil {
		step(search.Label("%s, agent silent", pkt), func(n *modelState) { p.postFetchReply(n, pkt, FenceReply{}, false) })
	}
}

func (p *protocol) postFetchReply(n *modelState, pkt packet, reply FenceReply, ok bool) {
	if state := (&requestState{}); pkt.AwaitsReply {
		p.postKeyReply(n, pkt.From, state.decisionReply(state.fetchDecision(FetchCmd{Ran: true}, reply, ok)))
	}
}

// receive delivers a reply to the process that waits for it.
func (p *protocol) receive(n *modelState, pkt packet) {
	pr := &n.Processes[pkt.From]
	id := modelKey(pr.Owner, pr.OwnerInc)
	switch pr.Stage {
	case stageClaim:
		pr.Owner, pr.OwnerInc = pkt.Owner, pkt.OwnerInc
		n.stopWaiting(pkt.From)
		p.begin(n, pkt.From)
	case stageFence:
		p.handleFenceReply(n, pkt.From, pkt)
	case stageResolve:
		kinds := []Kind{"", KindUnknown, KindReplay, KindInProgress, KindNotRun}
		r := ResolveReply{Granted: pkt.Granted, Moved: pkt.Moved, Gone: pkt.Gone, Generation: uint32(pkt.Generation), Kind: kinds[pkt.State]}
		if pkt.Moved {
			r.Holder = edge(pkt.ReqAt, pkt.ReqInc)
		}
		if pkt.Response != 0 {
			r.Answer = &StoredResponse{Status: int(pkt.Response)}
		}
		p.handleHolderReply(n, pkt.From, r, true)
	case stageAttempt:
		n.stopWaiting(pkt.From)
		switch {
		case pkt.State == replyRefused, pkt.State == replySeen && p.Without == withoutInDoubtOnSeen:
			n.updateOwner(pr.At, RefuseMsg{Now: testTime, ID: id})
			pr.Stage = stageReady
		case pkt.State == replySeen:
			p.resolveInDoubt(n, pkt.From)
		default:
			if p.Without != withoutRecord {
				n.updateOwner(pr.At, FinishMsg{Now: testTime, ID: id})
			}
			p.reportDecision(n, pkt.From, Decision{Kind: KindReplay, Response: &StoredResponse{Status: int(pkt.Response)}})
		}
	}
}
