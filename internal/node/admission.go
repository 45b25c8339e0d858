package node

import (
	"context"
	"errors"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/limit"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// limiterAdapter adapts the limiter of one target to agent.Limiter.
type limiterAdapter struct {
	limiter *limit.Limiter
}

type permitAdapter struct {
	permit limit.Permit
}

// admissionError carries the reason of a refusal to the edge.
type admissionError struct {
	*limit.RefusedError
	reason string
}

func newLimiter(target model.Target, spec model.ServiceSpec) agent.Limiter {
	return limiterAdapter{limit.New(limit.Config{Settings: limit.SettingsOf(spec, target.Slots)})}
}

// Acquire admits the request or fails with the reason of the refusal.
func (a limiterAdapter) Acquire(ctx context.Context, r agent.AdmitRequest) (agent.Permit, error) {
	permit, err := a.limiter.Acquire(ctx, limit.Request{Account: r.Account, Deadline: r.Deadline})
	var refused *limit.RefusedError
	if errors.As(err, &refused) {
		return nil, &admissionError{RefusedError: refused, reason: reasonOf(refused.Reason)}
	}
	if err != nil {
		return nil, err
	}
	return permitAdapter{permit}, nil
}

// Configure applies changed slots and service settings; requests in flight keep their slots.
func (a limiterAdapter) Configure(slots int, spec model.ServiceSpec) {
	a.limiter.SetSettings(limit.SettingsOf(spec, slots))
}

// Load returns the current load.
func (a limiterAdapter) Load() relay.Load {
	load := a.limiter.Load()
	return relay.Load{InFlight: load.InFlight + load.Waiting, Limit: load.Limit}
}

// Release returns the slot.
func (p permitAdapter) Release(r agent.Result) {
	p.permit.Release(limit.Result{OK: r.Kind == agent.ResultOK})
}

// Reason returns the reason that the edge receives.
func (e *admissionError) Reason() string {
	return e.reason
}

func reasonOf(reason limit.Reason) string {
	switch reason {
	case limit.ReasonDeadline:
		return relay.ReasonDeadline
	case limit.ReasonAccountShare:
		return relay.ReasonAccountShare
	default:
		return relay.ReasonNoSlot
	}
}
