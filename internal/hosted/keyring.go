package hosted

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/access"
	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/internal/timer"
)

const (
	// fetchTimeout bounds one round of calls to other nodes for a configuration.
	fetchTimeout = 2 * time.Second
	// storeAnswerTime is the time in which the store usually responds; other nodes are asked after it.
	storeAnswerTime = 100 * time.Millisecond
	// confirmationCheckInterval is the interval at which a node checks whether its keys need a confirmation by other nodes.
	confirmationCheckInterval = 500 * time.Millisecond
)

// keyring identifies client accounts and knows how recent the keys are. It is safe for concurrent use.
type keyring struct {
	access.Holder
	clock timer.Service
	// fetched counts the configurations received from other nodes.
	fetched atomic.Int64

	mu        sync.Mutex
	freshness access.Freshness
}

func (k *keyring) update(msg access.FreshnessMsg) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.freshness.Update(msg)
}

// Confirmed reports whether the keys are recent enough to be relied on.
func (k *keyring) Confirmed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.freshness.Reliable(k.clock.Now())
}

// boundWait shortens a wait for a newer configuration to what the bound on withdrawn keys permits.
func (k *keyring) boundWait(wait time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if most := k.freshness.MaxWait(); most > 0 {
		return min(wait, most)
	}
	return wait
}

// needsConfirmation reports whether the node should ask others, because the store does not respond.
func (k *keyring) needsConfirmation() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.freshness.Due(k.clock.Now())
}

// ConfirmedAt returns when the configuration in force was last known to be the newest one.
func (b *fleetState) ConfirmedAt() time.Time {
	b.keys.mu.Lock()
	defer b.keys.mu.Unlock()
	return b.keys.freshness.ConfirmedAt()
}

// Confirm records that the configuration with the number was the newest one at the time.
func (b *fleetState) Confirm(number uint64, at time.Time) {
	if number > 0 && number == b.number.Load() {
		b.keys.update(access.ConfirmedMsg{Number: number, At: at})
		b.confirmed()
	}
}

// configurationRow returns the configuration in force as the store has it.
func (b *fleetState) configurationRow() (row roster.Row, found bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.row, b.config != nil
}

// fetchConfiguration asks other nodes for a newer configuration. The store may refuse this node while it serves the others.
func (b *fleetState) fetchConfiguration() {
	if b.fetching.Swap(true) {
		return
	}
	defer b.fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	before := b.number.Load()
	row, err := b.fetch(ctx)
	if err != nil {
		return
	}
	b.applyConfiguration(roster.Page{Rows: []roster.Row{row}})
	number := b.number.Load()
	if number <= before {
		return
	}
	b.keys.fetched.Add(1)
	_ = level.Info(b.logger).Log("msg", "configuration received from another node", "number", number, "before", before)
}

// checkConfirmations asks other nodes when the store has not confirmed the keys for long.
func (n *Node) checkConfirmations(ctx context.Context) {
	ticks := n.config.Clock.Subscribe(confirmationCheckInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			if n.fleet.keys.needsConfirmation() {
				n.fleet.fetchConfiguration()
			}
		}
	}
}
