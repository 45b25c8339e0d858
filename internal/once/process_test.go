package once

import (
	"slices"

	"github.com/auburnwinch/auburnwinch/internal/search"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

type stage uint8

const (
	stageNone stage = iota
	stageClaim
	stageReady
	stageAttempt
	stageFence
	stageResolve
	stageLookup
	stageFetch
	stageOver
)

// process is a send at an edge, or an edge that serves another one's Keys.Resolve.
type process struct {
	Stage               stage
	At, Attempts, Hops  uint8
	Owner, OwnerInc     uint8
	Held, NotRun        bool
	Ans, Tries          uint8
	To, ToInc, Gen      uint8
	Purpose             FencePurpose
	ReqAt, ReqInc, From uint8
	// Wanted is cleared when the requester of a server no longer waits.
	Wanted bool
}

// sends lets the caller send the key, again or for the first time, to either edge.
func (p *protocol) sends(w *world, step stepper) {
	k, ok := w.free()
	if !ok || w.Sent == p.Sends {
		return
	}
	for i := range uint8(edges) {
		if i == 2 && !p.Three || p.Plain && w.Sent == 0 && i > 0 {
			continue // the edges are alike before the first send of a plain key
		}
		step(search.Label("send %d arrives at %s", k, edge(i, w.Inc[i])), func(n *world) {
			n.Sent++
			n.Procs[k] = process{At: i, Owner: 0, OwnerInc: 1}
			if p.Plain {
				p.claim(n, k)
				return
			}
			p.begin(n, k)
		})
	}
}

// free returns a place for a send; that of an earlier one serves again when nothing refers to it.
func (w *world) free() (uint8, bool) {
	if w.Sent < maxSends {
		return w.Sent, true
	}
	for k := range uint8(maxSends) {
		if _, referred := w.refersTo(k); !referred && w.Procs[k].Stage == stageOver {
			return k, true
		}
	}
	return 0, false
}

func (p *protocol) claim(n *world, i uint8) {
	pr := &n.Procs[i]
	pr.Stage = stageClaim
	n.moveOn(i)
	pr.Tries++
	n.post(packet{Kind: packetClaim, Envelope: search.Envelope{AwaitsReply: true, From: i}, ReqAt: pr.At, ReqInc: n.Inc[pr.At]})
}

func (p *protocol) begin(n *world, i uint8) {
	pr := n.Procs[i]
	p.carry(n, i, n.tell(pr.At, BeginMsg{Now: moment, ID: modelKey(pr.Owner, pr.OwnerInc), Fingerprint: 1}))
}

func (w *world) sendState(i uint8) *sendState {
	pr := w.Procs[i]
	e := &sendState{id: modelKey(pr.Owner, pr.OwnerInc), send: KeyRequest{Fingerprint: 1}, hops: int(pr.Hops)}
	if pr.Ans != 0 {
		e.answer = &StoredResponse{Status: int(pr.Ans)}
	}
	return e
}

func (w *world) store(i uint8, e *sendState) {
	w.Procs[i].Hops = uint8(e.hops)
	w.Procs[i].Ans = 0
	if e.answer != nil {
		w.Procs[i].Ans = uint8(e.answer.Status)
	}
}

// carry does what Owner.carryOut does, up to the next call.
func (p *protocol) carry(n *world, i uint8, cmd Cmd) {
	pr := &n.Procs[i]
	switch c := cmd.(type) {
	case RunCmd:
		pr.Stage, pr.Held = stageReady, true
		if p.Without == withoutRecord {
			n.forget(pr.At, modelKey(pr.Owner, pr.OwnerInc))
		}
	case DecideCmd:
		p.told(n, i, n.sendState(i).decision(c.Kind, c.Reason))
	case FenceCmd:
		p.fence(n, i, c)
	case FetchCmd:
		pr.Stage = stageFetch
		pr.To, pr.ToInc = indexOf(c.Agent.Ref, 'P')
	case AskCmd:
		e := n.sendState(i)
		t := e.follow(edge(pr.At, n.Inc[pr.At]), c)
		n.store(i, e)
		if !t.Call {
			p.turn(n, i, t)
			return
		}
		n.moveOn(i)
		pr.Stage = stageResolve
		pr.To, pr.ToInc = indexOf(c.Holder, 'A')
		pr.Gen = uint8(c.Generation)
		n.post(packet{
			Kind: packetResolve, Envelope: search.Envelope{AwaitsReply: true, From: i}, To: pr.To, ToInc: pr.ToInc, Owner: pr.Owner, OwnerInc: pr.OwnerInc,
			ReqAt: pr.At, ReqInc: n.Inc[pr.At], Gen: pr.Gen,
		})
	}
}

func (p *protocol) turn(n *world, i uint8, t turn) {
	switch {
	case t.Msg != nil:
		if g, ok := t.Msg.(GrantMsg); ok && g.Generation > 1 {
			p.seen.Add("second grant")
		}
		p.carry(n, i, n.tell(n.Procs[i].At, t.Msg))
	case t.Cmd != nil:
		p.carry(n, i, t.Cmd)
	case t.Lookup:
		n.Procs[i].Stage = stageLookup
	default:
		p.told(n, i, t.Decision)
	}
}

func (p *protocol) fence(n *world, i uint8, c FenceCmd) {
	pr := &n.Procs[i]
	n.moveOn(i)
	pr.Stage, pr.Purpose = stageFence, c.Purpose
	pr.To, pr.ToInc = indexOf(c.Agent.Ref, 'P')
	if !c.Requester.IsZero() {
		pr.ReqAt, pr.ReqInc = indexOf(c.Requester, 'A')
	}
	if p.Without == withoutFence {
		p.fenced(n, i, packet{State: uint8(FenceNeverSeen)})
		return
	}
	n.post(packet{
		Kind: packetFence, Envelope: search.Envelope{AwaitsReply: true, From: i}, To: pr.To, ToInc: pr.ToInc, Owner: pr.Owner, OwnerInc: pr.OwnerInc,
	})
}

func (p *protocol) fenced(n *world, i uint8, l packet) {
	pr := &n.Procs[i]
	c := FenceCmd{Purpose: pr.Purpose}
	if pr.Purpose == FenceToGrant {
		c.Requester = edge(pr.ReqAt, pr.ReqInc)
	}
	e := n.sendState(i)
	reply := FenceReply{State: FenceState(l.State)}
	if l.Ans != 0 {
		reply.Answer = &StoredResponse{Status: int(l.Ans)}
	}
	msg := e.fenced(moment, c, reply)
	n.store(i, e)
	cmd := n.tell(pr.At, msg)
	if i < maxSends {
		if _, ok := cmd.(RunCmd); ok {
			p.seen.Add("attempt after fence")
		}
		p.carry(n, i, cmd)
		return
	}
	n.moveOn(i)
	p.served(n, *pr, cmd, n.sendState(i))
	*pr = process{}
}

// served posts the reply to a Keys.Resolve that process pr handled.
func (p *protocol) served(n *world, pr process, cmd Cmd, e *sendState) {
	if _, ok := cmd.(GrantCmd); ok {
		p.seen.Add("grant")
		if p.Without == withoutPointer {
			n.forget(pr.At, modelKey(pr.Owner, pr.OwnerInc))
		}
	}
	if pr.Wanted {
		p.reply(n, pr.From, e.served(cmd))
	}
}

func (p *protocol) reply(n *world, to uint8, r ResolveReply) {
	l := packet{Kind: packetReply, Envelope: search.Envelope{AwaitsReply: true, From: to}, Granted: r.Granted, Moved: r.Moved, Gone: r.Gone, Gen: uint8(r.Generation)}
	if r.Moved {
		l.ReqAt, l.ReqInc = indexOf(r.Holder, 'A')
	}
	if r.Answer != nil {
		l.Ans = uint8(r.Answer.Status)
	}
	l.State = uint8(slices.Index([]Kind{KindUnknown, KindReplay, KindInProgress, KindNotRun}, r.Kind) + 1)
	n.post(l)
}

// told checks what the caller learns and ends the send.
func (p *protocol) told(n *world, i uint8, d Decision) {
	pr := &n.Procs[i]
	outcome := model.OutcomeUnknown
	switch d.Kind {
	case KindReplay:
		outcome = model.OutcomeDone
		p.seen.Add("answer")
		if n.Runs != 1 || d.Response.Status != int(n.RunID) {
			n.problem = "a caller got an answer that is not the one of the run"
		}
	case KindNotRun:
		outcome = model.OutcomeNotRun
		pr.NotRun = true
		p.seen.Add("not-run")
		if n.Runs != 0 {
			n.problem = "a caller was told not-run after the request ran"
		}
	case KindInProgress:
		p.seen.Add("running")
	case KindUnknown:
		if d.Reason == ReasonEpochDropped {
			p.seen.Add("dropped epoch")
		}
	}
	if pr.Held && n.problem == "" {
		n.tell(pr.At, EndMsg{Now: moment, ID: modelKey(pr.Owner, pr.OwnerInc), Outcome: outcome})
	}
	n.moveOn(i)
	*pr = process{Stage: stageOver, NotRun: pr.NotRun}
}

// process visits what a send can do by itself: choose an agent, give up, or stop waiting.
func (p *protocol) process(w *world, i uint8, step stepper) {
	pr := w.Procs[i]
	at := func(f string, args ...any) func() string {
		return search.Label("process %d "+f, append([]any{i}, args...)...)
	}
	switch pr.Stage {
	case stageReady:
		step(at("gives up"), func(n *world) { p.told(n, i, Decision{Kind: KindNotRun}) })
		for j := range uint8(agents) {
			if pr.Attempts < p.Attempts && w.distinct(j) {
				step(at("starts an attempt at %s", agentRef(j, w.AgentInc[j])), func(n *world) { p.start(n, i, j) })
			}
		}
	case stageAttempt:
		step(at("doubts its attempt"), func(n *world) { p.doubt(n, i) })
	case stageClaim:
		step(at("gets no answer from the platform"), func(n *world) { p.unclaimed(n, i) })
	case stageFence:
		step(at("gets no answer from the agent"), func(n *world) { p.fenced(n, i, packet{State: uint8(FenceFailed)}) })
	case stageResolve:
		step(at("gets no answer from the holder"), func(n *world) { p.followed(n, i, ResolveReply{}, false) })
	case stageFetch:
		step(at("can't read the answer"), func(n *world) { p.told(n, i, n.sendState(i).fetched(FetchCmd{Ran: true}, FenceReply{}, false)) })
		step(at("reads the answer"), func(n *world) {
			p.told(n, i, n.sendState(i).fetched(FetchCmd{Ran: true}, n.lookup(pr.To, modelKey(pr.Owner, pr.OwnerInc)), true))
		})
	case stageLookup:
		step(at("looks the key up"), func(n *world) {
			replies := make([]FenceReply, agents)
			for j := range uint8(agents) {
				replies[j] = n.lookup(j, modelKey(pr.Owner, pr.OwnerInc))
			}
			d := n.sendState(i).evidence(replies)
			if d.Kind == KindReplay {
				p.seen.Add("evidence")
			}
			p.told(n, i, d)
		})
	}
}

// distinct reports whether the agent is there and differs from all lower ones; alike agents need no steps of their own.
func (w *world) distinct(j uint8) bool {
	if j == agents-1 && !w.Joined {
		return false
	}
	return w.Touched[j] || j == 0 || w.Touched[j-1]
}

func (w *world) lookup(j uint8, id keyID) FenceReply {
	return FenceReply(w.ledgers[j].m.Lookup(LookupMsg{ID: id, Fingerprint: 1}))
}

func (p *protocol) start(n *world, i, j uint8) {
	pr := &n.Procs[i]
	id := modelKey(pr.Owner, pr.OwnerInc)
	if p.Without != withoutRecord {
		cmd := n.tell(pr.At, StartMsg{Now: moment, ID: id, Agent: &model.Node{Ref: agentRef(j, n.AgentInc[j])}})
		if _, ok := cmd.(RunCmd); !ok {
			p.doubt(n, i)
			return
		}
	}
	n.moveOn(i)
	n.Touched[j] = true
	pr.Stage = stageAttempt
	pr.Attempts++
	n.post(packet{
		Kind: packetAttempt, Envelope: search.Envelope{AwaitsReply: true, From: i, KeepsSender: true}, To: j, ToInc: n.AgentInc[j], Owner: pr.Owner, OwnerInc: pr.OwnerInc,
	})
}

func (p *protocol) doubt(n *world, i uint8) {
	pr := &n.Procs[i]
	n.moveOn(i)
	p.carry(n, i, n.tell(pr.At, DoubtMsg{Now: moment, ID: modelKey(pr.Owner, pr.OwnerInc)}))
}

func (p *protocol) unclaimed(n *world, i uint8) {
	pr := &n.Procs[i]
	switch {
	case p.Without == withoutClaimRead:
		pr.Owner, pr.OwnerInc = pr.At, n.Inc[pr.At]
		n.moveOn(i)
		p.begin(n, i)
	case pr.Tries < claimTries:
		p.claim(n, i)
	case p.Without == withoutUnclaimed:
		p.told(n, i, Decision{Kind: KindNotRun})
	default:
		p.told(n, i, unclaimed())
	}
}

func (p *protocol) followed(n *world, i uint8, r ResolveReply, ok bool) {
	pr := &n.Procs[i]
	n.moveOn(i)
	e := n.sendState(i)
	successor := model.NodeRef{}
	if p.Handover && n.Sealed && pr.To == 0 && pr.ToInc == n.Sealer {
		successor = edge(1, n.Successor)
	}
	t := e.followed(moment, AskCmd{Holder: edge(pr.To, pr.ToInc), Generation: uint32(pr.Gen)}, r, ok, successor)
	n.store(i, e)
	p.turn(n, i, t)
}
