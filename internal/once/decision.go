package once

import (
	"net/http"
	"time"
)

// Kind is the outcome of a decision; it tells the edge how to proceed with a request.
type Kind string

const (
	// KindRun permits exactly one attempt; End must be called when the request is over.
	KindRun Kind = "run"
	// KindReplay carries the stored response of the request that ran with this key.
	KindReplay Kind = "answer"
	// KindInProgress means that an earlier request with the key is still running.
	KindInProgress Kind = "in-progress"
	// KindUnknown means that the key may have run and must not be run again.
	KindUnknown Kind = "unknown"
	// KindNotRun means that no request with the key has run so far and that this one never will.
	KindNotRun Kind = "not-run"
)

// Reasons of decisions, as written in responses to callers.
const (
	ReasonRunning             = "running"
	ReasonEpochDropped        = "epoch-dropped"
	ReasonTokenExpired        = "token-expired"
	ReasonEpochNotIssued      = "epoch-not-issued"
	ReasonKeyReused           = "key-reused-for-another-request"
	ReasonKeyInvalid          = "key-invalid"
	ReasonResponseNotStored   = "ran, answer not kept"
	ReasonTargetAborted       = "target-broke-during-request"
	ReasonAgentUnreachable    = "agent-unreachable"
	ReasonAgentRestarted      = "agent-restarted"
	ReasonOwnerUnreachable    = "owner-unreachable"
	ReasonPlatformUnavailable = "platform-away"
	ReasonNeverSeen           = "never-seen"
	ReasonNodeLeaving         = "node-leaving"
	// ReasonKeySeen is the reason with which an agent refuses a key that it must not run; the edge then has to call
	// ResolveAttempt.
	ReasonKeySeen = "key-seen"
)

// KeyRequest is a request that arrived at an edge.
type KeyRequest struct {
	// Key is the caller's idempotency key; if it is empty, the request gets a new key of its own.
	Key string
	// Account scopes plain keys: two client accounts may use the same plain key for different requests.
	Account string
	// Service selects the agents that are queried when the owner of the key is gone.
	Service string
	// Fingerprint distinguishes different requests with the same key; see the function Fingerprint.
	Fingerprint uint64
}

// StoredResponse is the stored response of a request that ran.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decision is the owner's decision about a request.
type Decision struct {
	Kind Kind
	// Key is the issued form of the key, which all later calls for the request take.
	Key string
	// Response is set with KindReplay only.
	Response *StoredResponse
	Reason   string
	// RetryAfter is set if a later request with the same key may get a more precise outcome.
	RetryAfter time.Duration
}

func (r *StoredResponse) size() int {
	const perHeader = 32 // estimate for the map entry and slice headers
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name) + perHeader
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}
