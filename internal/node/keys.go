package node

import (
	"context"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/once"
	"github.com/auburnwinch/auburnwinch/internal/store"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// keyOwnerAdapter adapts the owner of idempotency keys to edge.KeyOwner.
type keyOwnerAdapter struct {
	owner *once.Owner
}

// keyLedgerAdapter adapts the ledger of idempotency keys to agent.KeyLedger.
type keyLedgerAdapter struct {
	*once.Ledger
}

// keyClaimsAdapter adapts the rows of plain keys in the platform's table to the key owner.
type keyClaimsAdapter struct {
	store *store.Store
}

// OwnerToken returns the owner token of the current epoch.
func (k keyOwnerAdapter) OwnerToken() string {
	return k.owner.Token()
}

// Begin decides how to handle a send.
func (k keyOwnerAdapter) Begin(ctx context.Context, s edge.KeyRequest) edge.Decision {
	return edgeDecision(k.owner.Begin(ctx, once.KeyRequest{
		Key: s.Key, Account: s.Account, Service: s.Service,
		Fingerprint: once.Fingerprint(s.Account, s.Service, s.Method, s.Path, s.Query, s.Body),
	}))
}

// StartAttempt records an attempt and returns the value of the Auburnwinch-Key header.
func (k keyOwnerAdapter) StartAttempt(key string, target model.TargetRef, node model.Node) (string, bool) {
	return k.owner.StartAttempt(key, target, node)
}

// RefuseAttempt records that the agent never ran the attempt.
func (k keyOwnerAdapter) RefuseAttempt(key string) {
	k.owner.RefuseAttempt(key)
}

// FinishAttempt records that the complete response arrived.
func (k keyOwnerAdapter) FinishAttempt(key string) {
	k.owner.FinishAttempt(key)
}

// ResolveAttempt fences an attempt whose outcome is unknown.
func (k keyOwnerAdapter) ResolveAttempt(ctx context.Context, key string) edge.Decision {
	return edgeDecision(k.owner.ResolveAttempt(ctx, key))
}

// End releases the key after the send was answered.
func (k keyOwnerAdapter) End(key string, outcome model.Outcome) {
	k.owner.End(key, outcome)
}

// Query returns the outcome of a key without changing it.
func (k keyOwnerAdapter) Query(ctx context.Context, key string) edge.Decision {
	return edgeDecision(k.owner.Query(ctx, key))
}

// Finish records the complete response of the target.
func (l keyLedgerAdapter) Finish(key string, answer *agent.StoredResponse) {
	if answer == nil {
		l.Ledger.Finish(key, nil)
		return
	}
	l.Ledger.Finish(key, &once.StoredResponse{Status: answer.Status, Header: answer.Header, Body: answer.Body})
}

// ClaimKey writes the row of a plain key unless it exists, and returns the token in the row.
func (c keyClaimsAdapter) ClaimKey(ctx context.Context, row, token string) (string, error) {
	claim, err := c.store.ClaimKey(ctx, row, token)
	return claim.Token, err
}

func edgeDecision(d once.Decision) edge.Decision {
	decision := edge.Decision{Kind: edgeDecisionKind(d.Kind), Key: d.Key, Reason: d.Reason, RetryAfter: d.RetryAfter}
	if d.Response != nil {
		decision.Response = &edge.StoredResponse{Status: d.Response.Status, Header: d.Response.Header, Body: d.Response.Body}
	}
	switch d.Reason {
	case once.ReasonKeyInvalid, once.ReasonKeyReused:
		decision.InvalidKey = true
	}
	return decision
}

func edgeDecisionKind(kind once.Kind) edge.DecisionKind {
	switch kind {
	case once.KindRun:
		return edge.DecisionRun
	case once.KindReplay:
		return edge.DecisionReplay
	case once.KindInProgress:
		return edge.DecisionInProgress
	case once.KindNotRun:
		return edge.DecisionNotRun
	default:
		return edge.DecisionUnknown
	}
}
