package once

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// maxHops bounds how often a send follows a key from one holder to the next.
	maxHops = 4
	// claimTries is two: the conditional write returns the row when an earlier one took effect without an answer.
	claimTries = 2
)

// Times after which a resend of the same key may learn more.
const (
	retryRunning  = time.Second
	retryAgent    = 2 * time.Second
	retryPlatform = 5 * time.Second
)

// sendState is one send, query or resolve call and what was learned for it so far. Its methods decide what the shell does
// next, without I/O, so that the exhaustive search runs them as well.
type sendState struct {
	key    string
	id     keyID
	send   KeyRequest
	query  bool
	answer *StoredResponse
	hops   int
}

// turn is the next thing to do: one of its fields is set.
type turn struct {
	Msg      Msg
	Cmd      Cmd
	Call     bool
	Lookup   bool
	Decision Decision
}

// unclaimed refuses a plain key whose row can't be read. An earlier send of the key may have run, at another node too,
// so this is no `not-run`.
func unclaimed() Decision {
	return Decision{Kind: KindUnknown, Reason: ReasonPlatformAway, RetryAfter: retryPlatform}
}

func (e *sendState) decision(k Kind, reason string) Decision {
	d := Decision{Kind: k, Key: e.key, Reason: reason}
	switch {
	case k == KindReplay && e.query:
	case k == KindReplay && e.answer == nil:
		d.Kind, d.Reason = KindUnknown, ReasonAnswerNotKept
	case k == KindReplay:
		d.Response = e.answer
	case k == KindInProgress:
		d.RetryAfter = retryRunning
	case reason == ReasonAgentGone, reason == ReasonOwnerGone, reason == ReasonNeverSeen, reason == ReasonLeaving:
		d.RetryAfter = retryAgent
	}
	return d
}

// fenced returns the message that reports the reply of an agent to the owner module.
func (e *sendState) fenced(now time.Time, c FenceCmd, reply FenceReply) Msg {
	e.answer = reply.Answer
	return FenceReplyMsg{Now: now, ID: e.id, Purpose: c.Purpose, State: reply.State, Requester: c.Requester}
}

// fetched decides by what the agent of an attempt knows.
func (e *sendState) fetched(c FetchCmd, reply FenceReply, ok bool) Decision {
	switch {
	case !ok:
		return e.decision(KindUnknown, ReasonAgentGone)
	case reply.State == FenceRunning:
		return e.decision(KindInProgress, ReasonRunning)
	case reply.State == FenceDone:
		e.answer = reply.Answer
		return e.decision(KindReplay, "")
	case c.Ran:
		return e.decision(KindUnknown, ReasonAnswerNotKept)
	case reply.State == FenceNeverSeen:
		return e.decision(KindUnknown, ReasonNeverSeen)
	default:
		return e.decision(KindUnknown, reply.State.reason())
	}
}

// follow decides whether the holder has to be called. A holder names this node only when it is the successor of a node
// that shuts down and whose keys did not arrive yet; a lost grant is repeated by the node that gave it.
func (e *sendState) follow(self model.NodeRef, c AskCmd) turn {
	e.hops++
	if e.hops > maxHops || c.Holder == self {
		return turn{Decision: e.decision(KindUnknown, ReasonOwnerGone)}
	}
	return turn{Call: true}
}

func (e *sendState) granted(now time.Time, generation uint32) Msg {
	return GrantMsg{Now: now, ID: e.id, Fingerprint: e.send.Fingerprint, Generation: generation}
}

func (e *sendState) resolveArgs(self model.NodeRef, c AskCmd) ResolveArgs {
	return ResolveArgs{
		Holder: c.Holder, Requester: self, Key: e.key,
		Fingerprint: e.send.Fingerprint, Generation: c.Generation, Query: e.query,
	}
}

// followed decides by the reply of the holder; ok tells whether it replied, successor is the zero value without one.
func (e *sendState) followed(now time.Time, c AskCmd, reply ResolveReply, ok bool, successor model.NodeRef) turn {
	switch {
	case (!ok || reply.Gone) && !successor.IsZero() && successor != c.Holder:
		return turn{Cmd: AskCmd{Holder: successor}}
	case !ok || reply.Gone:
		return turn{Lookup: true}
	case reply.Granted:
		return turn{Msg: e.granted(now, reply.Generation)}
	case reply.Moved:
		return turn{Cmd: AskCmd{Holder: reply.Holder, Generation: reply.Generation}}
	case reply.Kind != KindReplay && reply.Kind != KindInProgress && reply.Kind != KindNotRun:
		// A holder permits a run by a grant only.
		return turn{Decision: e.decision(KindUnknown, reply.Reason)}
	default:
		e.answer = reply.Answer
		return turn{Decision: e.decision(reply.Kind, reply.Reason)}
	}
}

// evidence decides by what the agents know; without a positive answer the key may have run at an agent that is gone.
func (e *sendState) evidence(replies []FenceReply) Decision {
	decision := e.decision(KindUnknown, ReasonOwnerGone)
	for _, r := range replies {
		switch r.State {
		case FenceDone:
			e.answer = r.Answer
			return e.decision(KindReplay, "")
		case FenceRunning:
			return e.decision(KindInProgress, ReasonRunning)
		case FenceBroken, FenceMismatch:
			decision = e.decision(KindUnknown, r.State.reason())
		}
	}
	return decision
}

// served translates the command of the owner module into the reply to a requester.
func (e *sendState) served(cmd Cmd) ResolveReply {
	switch c := cmd.(type) {
	case GrantCmd:
		return ResolveReply{Granted: true, Generation: c.Generation}
	case MovedCmd:
		return ResolveReply{Moved: true, Holder: c.Holder, Generation: c.Generation}
	case AskCmd:
		return ResolveReply{Moved: true, Holder: c.Holder, Generation: c.Generation}
	case DecideCmd:
		return e.reply(e.decision(c.Kind, c.Reason))
	default:
		return ResolveReply{Kind: KindUnknown, Reason: ReasonOwnerGone}
	}
}

func (e *sendState) reply(d Decision) ResolveReply {
	return ResolveReply{Kind: d.Kind, Reason: d.Reason, Answer: d.Response}
}
