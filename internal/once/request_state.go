package once

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// maxHops bounds how often a request follows a key from one owner to the next.
	maxHops = 4
	// maxClaimAttempts is two: when the response of the first conditional write is lost, the second one returns the row.
	maxClaimAttempts = 2
)

// Retry-After delays; a later request with the same key may get a more precise outcome.
const (
	retryAfterRunning         = time.Second
	retryAfterAgentFailure    = 2 * time.Second
	retryAfterPlatformFailure = 5 * time.Second
)

// requestState is the state of one request, outcome query or Keys.Resolve call. Its methods choose the next action
// without I/O, so that the exhaustive search of the tests runs the same code.
type requestState struct {
	key      string
	id       keyID
	request  KeyRequest
	query    bool
	response *StoredResponse
	hops     int
}

// nextAction is the next step of a request: handle Msg, execute Cmd, call the owner (Call), look the key up at all
// agents (Lookup), or else return Decision.
type nextAction struct {
	Msg      Msg
	Cmd      Cmd
	Call     bool
	Lookup   bool
	Decision Decision
}

// claimFailure rejects a plain key whose row can't be read. An earlier request with the key may have run, possibly
// through another node, so the outcome is unknown rather than not-run.
func claimFailure() Decision {
	return Decision{Kind: KindUnknown, Reason: ReasonPlatformUnavailable, RetryAfter: retryAfterPlatformFailure}
}

func (s *requestState) decision(k Kind, reason string) Decision {
	d := Decision{Kind: k, Key: s.key, Reason: reason}
	switch {
	case k == KindReplay && s.query:
	case k == KindReplay && s.response == nil:
		d.Kind, d.Reason = KindUnknown, ReasonResponseNotStored
	case k == KindReplay:
		d.Response = s.response
	case k == KindInProgress:
		d.RetryAfter = retryAfterRunning
	case reason == ReasonAgentUnreachable, reason == ReasonOwnerUnreachable, reason == ReasonNeverSeen, reason == ReasonNodeLeaving:
		d.RetryAfter = retryAfterAgentFailure
	}
	return d
}

// fenceReplyMsg returns the message that reports an agent's reply to the owner module.
func (s *requestState) fenceReplyMsg(now time.Time, c FenceCmd, reply FenceReply) Msg {
	s.response = reply.Answer
	return FenceReplyMsg{Now: now, ID: s.id, Purpose: c.Purpose, State: reply.State, Requester: c.Requester}
}

// fetchDecision derives the decision from what the agent of the attempt knows.
func (s *requestState) fetchDecision(c FetchCmd, reply FenceReply, ok bool) Decision {
	switch {
	case !ok:
		return s.decision(KindUnknown, ReasonAgentUnreachable)
	case reply.State == FenceRunning:
		return s.decision(KindInProgress, ReasonRunning)
	case reply.State == FenceDone:
		s.response = reply.Answer
		return s.decision(KindReplay, "")
	case c.Ran:
		return s.decision(KindUnknown, ReasonResponseNotStored)
	case reply.State == FenceNeverSeen:
		return s.decision(KindUnknown, ReasonNeverSeen)
	default:
		return s.decision(KindUnknown, reply.State.reason())
	}
}

// checkHolder decides whether the owner of the key has to be called. An owner names this node only when this node is
// the successor of a node that shuts down and whose keys have not arrived yet; a lost grant is repeated by the node
// that gave it.
func (s *requestState) checkHolder(self model.NodeRef, c ResolveCmd) nextAction {
	s.hops++
	if s.hops > maxHops || c.Holder == self {
		return nextAction{Decision: s.decision(KindUnknown, ReasonOwnerUnreachable)}
	}
	return nextAction{Call: true}
}

func (s *requestState) grantMsg(now time.Time, generation uint32) Msg {
	return GrantMsg{Now: now, ID: s.id, Fingerprint: s.request.Fingerprint, Generation: generation}
}

func (s *requestState) resolveArgs(self model.NodeRef, c ResolveCmd) ResolveArgs {
	return ResolveArgs{
		Holder: c.Holder, Requester: self, Key: s.key,
		Fingerprint: s.request.Fingerprint, Generation: c.Generation, Query: s.query,
	}
}

// handleResolveReply returns the next action after a Keys.Resolve call. ok reports whether the owner replied; successor
// is the zero value if none is known.
func (s *requestState) handleResolveReply(now time.Time, c ResolveCmd, reply ResolveReply, ok bool, successor model.NodeRef) nextAction {
	switch {
	case (!ok || reply.Gone) && !successor.IsZero() && successor != c.Holder:
		return nextAction{Cmd: ResolveCmd{Holder: successor}}
	case !ok || reply.Gone:
		return nextAction{Lookup: true}
	case reply.Granted:
		return nextAction{Msg: s.grantMsg(now, reply.Generation)}
	case reply.Moved:
		return nextAction{Cmd: ResolveCmd{Holder: reply.Holder, Generation: reply.Generation}}
	case reply.Kind != KindReplay && reply.Kind != KindInProgress && reply.Kind != KindNotRun:
		// An owner permits a run only by a grant.
		return nextAction{Decision: s.decision(KindUnknown, reply.Reason)}
	default:
		s.response = reply.Answer
		return nextAction{Decision: s.decision(reply.Kind, reply.Reason)}
	}
}

// lookupDecision derives the decision from the agents' replies. Without a positive reply the outcome is unknown,
// because the key may have run at an agent that is gone.
func (s *requestState) lookupDecision(replies []FenceReply) Decision {
	decision := s.decision(KindUnknown, ReasonOwnerUnreachable)
	for _, r := range replies {
		switch r.State {
		case FenceDone:
			s.response = r.Answer
			return s.decision(KindReplay, "")
		case FenceRunning:
			return s.decision(KindInProgress, ReasonRunning)
		case FenceAborted, FenceMismatch:
			decision = s.decision(KindUnknown, r.State.reason())
		}
	}
	return decision
}

// resolveReply translates the command of the owner module into the reply to the requester.
func (s *requestState) resolveReply(cmd Cmd) ResolveReply {
	switch c := cmd.(type) {
	case GrantCmd:
		return ResolveReply{Granted: true, Generation: c.Generation}
	case MovedCmd:
		return ResolveReply{Moved: true, Holder: c.Holder, Generation: c.Generation}
	case ResolveCmd:
		return ResolveReply{Moved: true, Holder: c.Holder, Generation: c.Generation}
	case DecideCmd:
		return s.decisionReply(s.decision(c.Kind, c.Reason))
	default:
		return ResolveReply{Kind: KindUnknown, Reason: ReasonOwnerUnreachable}
	}
}

func (s *requestState) decisionReply(d Decision) ResolveReply {
	return ResolveReply{Kind: d.Kind, Reason: d.Reason, Answer: d.Response}
}
