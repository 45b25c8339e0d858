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
	stageDone
)

// process is a request at an edge, or an edge that handles another edge's Keys.Resolve.
type process struct {
	Stage                   stage
	At, Attempts, Hops      uint8
	Owner, OwnerInc         uint8
	Held, NotRun            bool
	Response, ClaimAttempts uint8
	To, ToInc, Generation   uint8
	Purpose                 FencePurpose
	ReqAt, ReqInc, From     uint8
	// Awaited is cleared when the requester of a Keys.Resolve no longer waits for the reply.
	Awaited bool
}

// arrivalSteps visits the arrival of a request with the key, the first one or a retry, at each edge.
func (p *protocol) arrivalSteps(w *modelState, step stepper) {
	k, ok := w.freeSlot()
	if !ok || w.Sent == p.Requests {
		return
	}
	for i := range uint8(edges) {
		if i == 2 && !p.ThirdEdge || p.Plain && w.Sent == 0 && i > 0 {
			continue // the edges are equivalent before the first request with a plain key
		}
		step(search.Label("request %d arrives at %s", k, edge(i, w.EdgeInc[i])), func(n *modelState) {
			n.Sent++
			n.Processes[k] = process{At: i, Owner: 0, OwnerInc: 1}
			if p.Plain {
				p.claim(n, k)
				return
			}
			p.begin(n, k)
		})
	}
}

// freeSlot returns a slot for a request; the slot of an earlier one is reused when nothing refers to it.
func (w *modelState) freeSlot() (uint8, bool) {
	if w.Sent < maxRequests {
		return w.Sent, true
	}
	for k := range uint8(maxRequests) {
		if _, referred := w.references(k); !referred && w.Processes[k].Stage == stageDone {
			return k, true
		}
	}
	return 0, false
}

func (p *protocol) claim(n *modelState, i uint8) {
	pr := &n.Processes[i]
	pr.Stage = stageClaim
	n.stopWaiting(i)
	pr.ClaimAttempts++
	n.post(packet{Kind: packetClaim, Envelope: search.Envelope{AwaitsReply: true, From: i}, ReqAt: pr.At, ReqInc: n.EdgeInc[pr.At]})
}

func (p *protocol) begin(n *modelState, i uint8) {
	pr := n.Processes[i]
	p.executeCmd(n, i, n.updateOwner(pr.At, BeginMsg{Now: testTime, ID: modelKey(pr.Owner, pr.OwnerInc), Fingerprint: 1}))
}

func (w *modelState) requestState(i uint8) *requestState {
	pr := w.Processes[i]
	state := &requestState{id: modelKey(pr.Owner, pr.OwnerInc), request: KeyRequest{Fingerprint: 1}, hops: int(pr.Hops)}
	if pr.Response != 0 {
		state.response = &StoredResponse{Status: int(pr.Response)}
	}
	return state
}

func (w *modelState) saveRequest(i uint8, state *requestState) {
	w.Processes[i].Hops = uint8(state.hops)
	w.Processes[i].Response = 0
	if state.response != nil {
		w.Processes[i].Response = uint8(state.response.Status)
	}
}

// executeCmd does the same as Owner.execute, up to the next call.
func (p *protocol) executeCmd(n *modelState, i uint8, cmd Cmd) {
	pr := &n.Processes[i]
	switch c := cmd.(type) {
	case RunCmd:
		pr.Stage, pr.Held = stageReady, true
		if p.Without == withoutRecord {
			n.removeRecord(pr.At, modelKey(pr.Owner, pr.OwnerInc))
		}
	case DecideCmd:
		p.reportDecision(n, i, n.requestState(i).decision(c.Kind, c.Reason))
	case FenceCmd:
		p.fence(n, i, c)
	case FetchCmd:
		pr.Stage = stageFetch
		pr.To, pr.ToInc = indexOf(c.Agent.Ref, 'P')
	case ResolveCmd:
		state := n.requestState(i)
		next := state.checkHolder(edge(pr.At, n.EdgeInc[pr.At]), c)
		n.saveRequest(i, state)
		if !next.Call {
			p.perform(n, i, next)
			return
		}
		n.stopWaiting(i)
		pr.Stage = stageResolve
		pr.To, pr.ToInc = indexOf(c.Holder, 'A')
		pr.Generation = uint8(c.Generation)
		n.post(packet{
			Kind: packetResolve, Envelope: search.Envelope{AwaitsReply: true, From: i}, To: pr.To, ToInc: pr.ToInc, Owner: pr.Owner, OwnerInc: pr.OwnerInc,
			ReqAt: pr.At, ReqInc: n.EdgeInc[pr.At], Generation: pr.Generation,
		})
	}
}

func (p *protocol) perform(n *modelState, i uint8, next nextAction) {
	switch {
	case next.Msg != nil:
		if g, ok := next.Msg.(GrantMsg); ok && g.Generation > 1 {
			p.seen.Add("second grant")
		}
		p.executeCmd(n, i, n.updateOwner(n.Processes[i].At, next.Msg))
	case next.Cmd != nil:
		p.executeCmd(n, i, next.Cmd)
	case next.Lookup:
		n.Processes[i].Stage = stageLookup
	default:
		p.reportDecision(n, i, next.Decision)
	}
}

func (p *protocol) fence(n *modelState, i uint8, c FenceCmd) {
	pr := &n.Processes[i]
	n.stopWaiting(i)
	pr.Stage, pr.Purpose = stageFence, c.Purpose
	pr.To, pr.ToInc = indexOf(c.Agent.Ref, 'P')
	if !c.Requester.IsZero() {
		pr.ReqAt, pr.ReqInc = indexOf(c.Requester, 'A')
	}
	if p.Without == withoutFence {
		p.handleFenceReply(n, i, packet{State: uint8(FenceNeverSeen)})
		return
	}
	n.post(packet{
		Kind: packetFence, Envelope: search.Envelope{AwaitsReply: true, From: i}, To: pr.To, ToInc: pr.ToInc, Owner: pr.Owner, OwnerInc: pr.OwnerInc,
	})
}

func (p *protocol) handleFenceReply(n *modelState, i uint8, pkt packet) {
	pr := &n.Processes[i]
	c := FenceCmd{Purpose: pr.Purpose}
	if pr.Purpose == FenceToGrant {
		c.Requester = edge(pr.ReqAt, pr.ReqInc)
	}
	state := n.requestState(i)
	reply := FenceReply{State: FenceState(pkt.State)}
	if pkt.Response != 0 {
		reply.Answer = &StoredResponse{Status: int(pkt.Response)}
	}
	msg := state.fenceReplyMsg(testTime, c, reply)
	n.saveRequest(i, state)
	cmd := n.updateOwner(pr.At, msg)
	if i < maxRequests {
		if _, ok := cmd.(RunCmd); ok {
			p.seen.Add("attempt after fence")
		}
		p.executeCmd(n, i, cmd)
		return
	}
	n.stopWaiting(i)
	p.postResolveReply(n, *pr, cmd, n.requestState(i))
	*pr = process{}
}

// postResolveReply posts the reply to a Keys.Resolve that process pr handled.
func (p *protocol) postResolveReply(n *modelState, pr process, cmd Cmd, state *requestState) {
	if _, ok := cmd.(GrantCmd); ok {
		p.seen.Add("grant")
		if p.Without == withoutMovedRecord {
			n.removeRecord(pr.At, modelKey(pr.Owner, pr.OwnerInc))
		}
	}
	if pr.Awaited {
		p.postKeyReply(n, pr.From, state.resolveReply(cmd))
	}
}

func (p *protocol) postKeyReply(n *modelState, to uint8, r ResolveReply) {
	pkt := packet{Kind: packetReply, Envelope: search.Envelope{AwaitsReply: true, From: to}, Granted: r.Granted, Moved: r.Moved, Gone: r.Gone, Generation: uint8(r.Generation)}
	if r.Moved {
		pkt.ReqAt, pkt.ReqInc = indexOf(r.Holder, 'A')
	}
	if r.Answer != nil {
		pkt.Response = uint8(r.Answer.Status)
	}
	pkt.State = uint8(slices.Index([]Kind{KindUnknown, KindReplay, KindInProgress, KindNotRun}, r.Kind) + 1)
	n.post(pkt)
}

// reportDecision checks what is reported to the caller and ends the request.
func (p *protocol) reportDecision(n *modelState, i uint8, d Decision) {
	pr := &n.Processes[i]
	outcome := model.OutcomeUnknown
	switch d.Kind {
	case KindReplay:
		outcome = model.OutcomeDone
		p.seen.Add("answer")
		if n.Runs != 1 || d.Response.Status != int(n.RunID) {
			n.problem = "a caller got a response other than that of the run"
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
		n.updateOwner(pr.At, EndMsg{Now: testTime, ID: modelKey(pr.Owner, pr.OwnerInc), Outcome: outcome})
	}
	n.stopWaiting(i)
	*pr = process{Stage: stageDone, NotRun: pr.NotRun}
}

// processSteps visits the steps that a request can take by itself: choose an agent, give up, or stop waiting.
func (p *protocol) processSteps(w *modelState, i uint8, step stepper) {
	pr := w.Processes[i]
	label := func(f string, args ...any) func() string {
		return search.Label("process %d "+f, append([]any{i}, args...)...)
	}
	switch pr.Stage {
	case stageReady:
		step(label("gives up"), func(n *modelState) { p.reportDecision(n, i, Decision{Kind: KindNotRun}) })
		for j := range uint8(agents) {
			if pr.Attempts < p.Attempts && w.isDistinct(j) {
				step(label("starts an attempt at %s", agentRef(j, w.AgentInc[j])), func(n *modelState) { p.start(n, i, j) })
			}
		}
	case stageAttempt:
		step(label("loses contact with its attempt"), func(n *modelState) { p.resolveInDoubt(n, i) })
	case stageClaim:
		step(label("gets no response from the platform"), func(n *modelState) { p.claimFailed(n, i) })
	case stageFence:
		step(label("gets no reply from the agent"), func(n *modelState) { p.handleFenceReply(n, i, packet{State: uint8(FenceFailed)}) })
	case stageResolve:
		step(label("gets no reply from the owner"), func(n *modelState) { p.handleHolderReply(n, i, ResolveReply{}, false) })
	case stageFetch:
		step(label("can't read the response"), func(n *modelState) {
			p.reportDecision(n, i, n.requestState(i).fetchDecision(FetchCmd{Ran: true}, FenceReply{}, false))
		})
		step(label("reads the response"), func(n *modelState) {
			p.reportDecision(n, i, n.requestState(i).fetchDecision(FetchCmd{Ran: true}, n.lookup(pr.To, modelKey(pr.Owner, pr.OwnerInc)), true))
		})
	case stageLookup:
		step(label("looks the key up"), func(n *modelState) {
			replies := make([]FenceReply, agents)
			for j := range uint8(agents) {
				replies[j] = n.lookup(j, modelKey(pr.Owner, pr.OwnerInc))
			}
			d := n.requestState(i).lookupDecision(replies)
			if d.Kind == KindReplay {
				p.seen.Add("evidence")
			}
			p.reportDecision(n, i, d)
		})
	}
}

// isDistinct reports whether the agent exists and differs from all lower ones; equivalent agents need no steps of their
// own.
func (w *modelState) isDistinct(j uint8) bool {
	if j == agents-1 && !w.Joined {
		return false
	}
	return w.Referenced[j] || j == 0 || w.Referenced[j-1]
}

func (w *modelState) lookup(j uint8, id keyID) FenceReply {
	return FenceReply(w.ledgers[j].value.Lookup(LookupMsg{ID: id, Fingerprint: 1}))
}

func (p *protocol) start(n *modelState, i, j uint8) {
	pr := &n.Processes[i]
	id := modelKey(pr.Owner, pr.OwnerInc)
	if p.Without != withoutRecord {
		cmd := n.updateOwner(pr.At, StartMsg{Now: testTime, ID: id, Agent: &model.Node{Ref: agentRef(j, n.AgentInc[j])}})
		if _, ok := cmd.(RunCmd); !ok {
			p.resolveInDoubt(n, i)
			return
		}
	}
	n.stopWaiting(i)
	n.Referenced[j] = true
	pr.Stage = stageAttempt
	pr.Attempts++
	n.post(packet{
		Kind: packetAttempt, Envelope: search.Envelope{AwaitsReply: true, From: i, KeepsSender: true}, To: j, ToInc: n.AgentInc[j], Owner: pr.Owner, OwnerInc: pr.OwnerInc,
	})
}

func (p *protocol) resolveInDoubt(n *modelState, i uint8) {
	pr := &n.Processes[i]
	n.stopWaiting(i)
	p.executeCmd(n, i, n.updateOwner(pr.At, InDoubtMsg{Now: testTime, ID: modelKey(pr.Owner, pr.OwnerInc)}))
}

func (p *protocol) claimFailed(n *modelState, i uint8) {
	pr := &n.Processes[i]
	switch {
	case p.Without == withoutClaimRead:
		pr.Owner, pr.OwnerInc = pr.At, n.EdgeInc[pr.At]
		n.stopWaiting(i)
		p.begin(n, i)
	case pr.ClaimAttempts < maxClaimAttempts:
		p.claim(n, i)
	case p.Without == withoutUnknownOnClaimFailure:
		p.reportDecision(n, i, Decision{Kind: KindNotRun})
	default:
		p.reportDecision(n, i, claimFailure())
	}
}

func (p *protocol) handleHolderReply(n *modelState, i uint8, r ResolveReply, ok bool) {
	pr := &n.Processes[i]
	n.stopWaiting(i)
	state := n.requestState(i)
	successor := model.NodeRef{}
	if p.Handover && n.Sealed && pr.To == 0 && pr.ToInc == n.SealerInc {
		successor = edge(1, n.SuccessorInc)
	}
	next := state.handleResolveReply(testTime, ResolveCmd{Holder: edge(pr.To, pr.ToInc), Generation: uint32(pr.Generation)}, r, ok, successor)
	n.saveRequest(i, state)
	p.perform(n, i, next)
}
