package hosted

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/view"
)

// pathCheck is the time between two looks at paths that have failed; the pauses between checks of one path begin at 500 ms.
const pathCheck = 250 * time.Millisecond

// checkPaths connects to agents whose paths have failed, so that no caller waits to learn that a VM is still away. The VM
// may have left for good while the store was away, which keeps its row.
func (n *Node) checkPaths(ctx context.Context) {
	ticks := n.config.Clock.Subscribe(pathCheck)
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
	_ = conn.Close() // Only that it opened matters.
	n.picker.MarkPathReachable(c.Target.Ref)
}
