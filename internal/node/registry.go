package node

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/store"
)

const (
	// registryRetry is the pause after a failed registration.
	registryRetry   = 30 * time.Second
	registryTimeout = 5 * time.Second
	// removalTimeout bounds the wait for the platform during shutdown; a row that is not removed expires.
	removalTimeout = 500 * time.Millisecond
)

// register keeps the registry row of this node up to date, through which starting nodes find peers; the row expires
// unless it is renewed.
func (n *Node) register(ctx context.Context) {
	defer close(n.registrationDone)
	ticks := n.config.Clock.Subscribe(registryRetry)
	defer ticks.Stop()
	var next time.Time
	for now := n.config.Clock.Now(); ; {
		if !now.Before(next) && n.registerOnce(ctx) {
			next = now.Add(store.RegisterInterval)
		}
		select {
		case <-ctx.Done():
			return
		case now = <-ticks.C:
		}
	}
}

func (n *Node) registerOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	if err := n.store.RegisterNode(ctx, n.self); err != nil {
		_ = level.Warn(n.logger).Log("msg", "registering the node at the platform failed; will retry", "err", err)
		return false
	}
	return true
}

// removeRegistration removes the registry row at the end of a graceful shutdown, so that starting nodes do not dial
// this node.
func (n *Node) removeRegistration() {
	ctx, cancel := context.WithTimeout(context.Background(), removalTimeout)
	defer cancel()
	select {
	case <-n.registrationDone: // A renewal in progress would write the row again.
	case <-ctx.Done():
	}
	var stale *store.StaleIncarnationError
	if err := n.store.RemoveNode(ctx, n.self.Ref); err != nil && !errors.As(err, &stale) {
		_ = level.Warn(n.logger).Log("msg", "removing the registry row failed; it will expire", "err", err)
	}
}
