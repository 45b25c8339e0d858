package once

import (
	"net/http"
	"time"
)

// Kind tells the edge what to do with a send.
type Kind string

const (
	// KindRun permits exactly one attempt; End must follow when the send is over.
	KindRun Kind = "run"
	// KindReplay carries the stored answer of the run of this key.
	KindReplay Kind = "answer"
	// KindInProgress means that an earlier send of the key is still running.
	KindInProgress Kind = "in-progress"
	// KindUnknown means that the key may have run and must not be run again.
	KindUnknown Kind = "unknown"
	// KindNotRun means that no send of the key ran so far and this one never will.
	KindNotRun Kind = "not-run"
)

// Reasons of decisions, as they stand in answers to callers.
const (
	ReasonRunning        = "running"
	ReasonEpochDropped   = "epoch-dropped"
	ReasonTokenExpired   = "token-expired"
	ReasonEpochUnissued  = "epoch-not-issued"
	ReasonKeyReused      = "key-reused-for-another-request"
	ReasonKeyInvalid     = "key-invalid"
	ReasonAnswerNotKept  = "ran, answer not kept"
	ReasonTargetBroke    = "target-broke-during-request"
	ReasonAgentGone      = "agent-unreachable"
	ReasonAgentRestarted = "agent-restarted"
	ReasonOwnerGone      = "owner-unreachable"
	ReasonPlatformAway   = "platform-away"
	ReasonNeverSeen      = "never-seen"
	ReasonLeaving        = "node-leaving"
	// ReasonSeen is the agent's refusal of a key that it must not run; the edge has to call ResolveAttempt after it.
	ReasonSeen = "key-seen"
)

// KeyRequest is one arrival of a request at an edge.
type KeyRequest struct {
	// Key is the caller's idempotency key; empty makes the send an operation of its own.
	Key string
	// Account scopes plain keys: two accounts may use the same plain key for different requests.
	Account string
	// Service names the agents that are asked when the owner of the key is gone.
	Service string
	// Fingerprint tells two requests apart that carry the same key; see Fingerprint.
	Fingerprint uint64
}

// StoredResponse is the stored answer of a run.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decision is what the owner module decided about a send.
type Decision struct {
	Kind Kind
	// Key is the issued form of the key; all later calls about the send take it.
	Key string
	// Response is set with KindAnswer only.
	Response *StoredResponse
	Reason   string
	// RetryAfter is set when a later send of the same key may learn more.
	RetryAfter time.Duration
}

func (a *StoredResponse) size() int {
	const perHeader = 32 // map entry and slice headers, estimated
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name) + perHeader
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}
