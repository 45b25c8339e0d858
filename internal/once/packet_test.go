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

// packet is a message on its way.
type packet struct {
	search.Envelope
	Kind                 packetKind
	To, ToInc            uint8
	Owner, OwnerInc      uint8
	ReqAt, ReqInc, Gen   uint8
	State, Ans           uint8
	Granted, Moved, Gone bool
}

// replies to an attempt, in packet.State.
const (
	replyRefused uint8 = iota + 1
	replySeen
	replyAnswered
)

func (l packet) String() string {
	kinds := [...]string{"", "attempt", "fence", "resolve", "claim", "reply"}
	return fmt.Sprintf("%s of process %d to %d.%d", kinds[l.Kind], l.From, l.To, l.ToInc)
}

// idle reports whether a packet whose sender no longer waits can't change anything any more.
func (w *world) idle(l packet) bool {
	switch l.Kind {
	case packetAttempt, packetFence:
		id := modelKey(l.Owner, l.OwnerInc)
		_, seen := w.ledgers[l.To].m.records.get(id)
		return l.ToInc != w.AgentInc[l.To] || seen || !w.ledgers[l.To].m.records.accepts(id.epoch())
	case packetResolve:
		return l.ToInc != w.Inc[l.To]
	default:
		return w.Row != 0
	}
}

// moveOn makes the process deaf to the packets that it waited for.
func (w *world) moveOn(i uint8) {
	for k := range w.Net.All() {
		w.Net.All()[k].SenderGaveUp(i)
	}
	for k := range w.Busy {
		w.Busy[k].SenderGaveUp(i)
	}
	for k := maxSends; k < len(w.Procs); k++ {
		if pr := &w.Procs[k]; pr.Wanted && pr.From == i {
			pr.Wanted, pr.From = false, 0
		}
	}
}

// answer posts the reply to a packet if its sender still waits.
func (w *world) answer(l, reply packet) {
	if l.AwaitsReply {
		reply.Kind, reply.AwaitsReply, reply.From = packetReply, true, l.From
		w.post(reply)
	}
}

func (w *world) post(l packet) {
	if !w.Net.Put(l) && !w.Lossy {
		w.problem = "the model has too little room for packets"
	}
}

// deliver visits what follows when the packet arrives.
func (p *protocol) deliver(w *world, l packet, label func() string, step stepper) {
	switch l.Kind {
	case packetAttempt:
		step(label, func(n *world) { p.admit(n, l) })
		if w.Refused < p.Refuse && l.ToInc == w.AgentInc[l.To] {
			step(search.Label("%s, refused for load", l), func(n *world) {
				n.Refused++
				n.answer(l, packet{State: replyRefused})
			})
		}
	case packetFence:
		step(label, func(n *world) {
			inc := l.ToInc
			if p.Without == withoutAgentIncarnation {
				inc = n.AgentInc[l.To]
			}
			e := n.tellAgent(l.To, FenceMsg{
				Now: moment, ID: modelKey(l.Owner, l.OwnerInc), Agent: agentRef(l.To, inc), Fingerprint: 1,
			}).(EvidenceCmd)
			r := packet{State: uint8(e.State)}
			if e.Answer != nil {
				r.Ans = uint8(e.Answer.Status)
			}
			n.answer(l, r)
		})
	case packetClaim:
		step(label, func(n *world) {
			if n.Row == 0 {
				n.Row, n.RowInc = l.ReqAt+1, l.ReqInc
			}
			n.answer(l, packet{Owner: n.Row - 1, OwnerInc: n.RowInc})
		})
	case packetResolve:
		p.resolve(w, l, label, step)
	case packetReply:
		step(label, func(n *world) { p.receive(n, l) })
	}
}

// admit lets the agent's ledger decide; the target gets the request at once.
func (p *protocol) admit(n *world, l packet) {
	inc := l.ToInc
	if p.Without == withoutAgentIncarnation {
		inc = n.AgentInc[l.To]
	}
	id := attemptID{Key: modelKey(l.Owner, l.OwnerInc), Fingerprint: 1, Agent: uint64(inc)}
	if _, ok := n.tellAgent(l.To, AdmitMsg{Now: moment, ID: id}).(AdmitCmd); !ok {
		n.answer(l, packet{State: replySeen})
		return
	}
	n.Runs++
	n.RunID = 1 + l.To + agents*n.AgentInc[l.To]
	n.Busy[l.To] = l
	switch {
	case n.Runs > 1:
		n.problem = "the request ran twice"
	case n.Procs[l.From].NotRun:
		n.problem = "a send ran after its caller was told not-run"
	}
}

func (p *protocol) resolve(w *world, l packet, label func() string, step stepper) {
	if l.ToInc != w.Inc[l.To] && p.Without != withoutOwnerIncarnation {
		step(label, func(n *world) { n.answer(l, packet{Gone: true}) })
		return
	}
	server := slices.IndexFunc(w.Procs[maxSends:], func(pr process) bool { return pr.Stage == stageNone })
	if server < 0 {
		return
	}
	i := uint8(maxSends + server)
	var fetch *FetchCmd
	step(label, func(n *world) {
		pr := &n.Procs[i]
		*pr = process{At: l.To, Owner: l.Owner, OwnerInc: l.OwnerInc, From: l.From, Wanted: l.AwaitsReply}
		id := modelKey(l.Owner, l.OwnerInc)
		cmd := n.tell(l.To, ResolveMsg{
			Now: moment, ID: id, Fingerprint: 1, Requester: edge(l.ReqAt, l.ReqInc), Generation: uint32(l.Gen),
		})
		switch c := cmd.(type) {
		case FenceCmd:
			p.fence(n, i, c)
			return
		case FetchCmd:
			fetch = &c
			j, _ := indexOf(c.Agent.Ref, 'P')
			p.fetched(n, l, n.lookup(j, id), true)
		default:
			p.served(n, *pr, cmd, n.sendState(i))
		}
		*pr = process{}
	})
	if fetch != nil {
		step(search.Label("%s, agent silent", l), func(n *world) { p.fetched(n, l, FenceReply{}, false) })
	}
}

func (p *protocol) fetched(n *world, l packet, reply FenceReply, ok bool) {
	if e := (&sendState{}); l.AwaitsReply {
		p.reply(n, l.From, e.reply(e.fetched(FetchCmd{Ran: true}, reply, ok)))
	}
}

// receive hands a reply to the process that awaits it.
func (p *protocol) receive(n *world, l packet) {
	pr := &n.Procs[l.From]
	id := modelKey(pr.Owner, pr.OwnerInc)
	switch pr.Stage {
	case stageClaim:
		pr.Owner, pr.OwnerInc = l.Owner, l.OwnerInc
		n.moveOn(l.From)
		p.begin(n, l.From)
	case stageFence:
		p.fenced(n, l.From, l)
	case stageResolve:
		kinds := []Kind{"", KindUnknown, KindReplay, KindInProgress, KindNotRun}
		r := ResolveReply{Granted: l.Granted, Moved: l.Moved, Gone: l.Gone, Generation: uint32(l.Gen), Kind: kinds[l.State]}
		if l.Moved {
			r.Holder = edge(l.ReqAt, l.ReqInc)
		}
		if l.Ans != 0 {
			r.Answer = &StoredResponse{Status: int(l.Ans)}
		}
		p.followed(n, l.From, r, true)
	case stageAttempt:
		n.moveOn(l.From)
		switch {
		case l.State == replyRefused, l.State == replySeen && p.Without == withoutSeenDoubt:
			n.tell(pr.At, RefuseMsg{Now: moment, ID: id})
			pr.Stage = stageReady
		case l.State == replySeen:
			p.doubt(n, l.From)
		default:
			if p.Without != withoutRecord {
				n.tell(pr.At, FinishMsg{Now: moment, ID: id})
			}
			p.told(n, l.From, Decision{Kind: KindReplay, Response: &StoredResponse{Status: int(l.Ans)}})
		}
	}
}
