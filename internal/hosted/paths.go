package hosted

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/view"
)

// pathCheckInterval is the interval at which failed paths that are due are checked; the backoff of one path starts at
// 500 ms.
const pathCheckInterval = 250 * time.Millisecond

// checkPaths probes agents whose paths have failed, so that no request has to wait for a dial timeout to detect that a
// VM is still unreachable. If a VM was removed during a store outage, its row remains in the store.
func (n *Node) checkPaths(ctx context.Context) {
	ticks := n.config.Clock.Subscribe(pathCheckInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			var group conc.WaitGroup
			for _, c := range n.picker.PathsToCheck() {
				group.Go(func() { n.checkPath(ctx, c) })
			}
			group.Wait()
		}
	}
}

func (n *Node) checkPath(ctx context.Context, c view.Candidate) {
	ctx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	conn, err := n.config.Dial(ctx, "tcp", c.Node.RelayAddress)
	if err != nil {
		n.picker.MarkPathFailed(c.Target.Ref)
		return
	}
	_ = conn.Close() // Only the successful dial matters.
	n.picker.MarkPathReachable(c.Target.Ref)
}
