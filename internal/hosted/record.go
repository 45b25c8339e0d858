package hosted

import (
	"context"

	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/internal/timer"
)

// publishChanges publishes the record publishDelay after a change, together with the changes made meanwhile. A crash of
// the target changes the record several times in a row, and readers of the table pause between reads, so that a later
// write would reach them late. It ends with the context, which must outlast the shutdown: targets deregister and crash
// while the node stops, and the next process must know.
func (n *Node) publishChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.publishDue:
		}
		if timer.Sleep(ctx, publishDelay) {
			n.publish()
		}
	}
}

// publish hands the current record to the publisher and returns its revision. Before the record of the earlier process
// is restored it does nothing and returns 0.
func (n *Node) publish() (revision uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.publisher == nil || !n.isRestored() {
		return 0
	}
	// A target moves from the targets to the departures, so in this order none is missed.
	n.record.Targets = n.agent.Targets()
	n.record.Withdrawn, n.record.KnownDraining = n.agent.Withdrawn(), n.agent.Draining()
	n.record.Leaving = n.relayStopped.Load()
	n.record.Crashes = n.guard.localEntries()
	n.record.Era, n.published = n.nodes.Era(), true
	if !n.record.Serving() {
		n.quotas.SetCounted(false) // Before the other nodes divide the quotas without this one.
	}
	return n.publisher.Publish(n.record.Encode())
}

func (n *Node) isRestored() bool {
	select {
	case <-n.restored:
		return true
	default:
		return false
	}
}

// restoreDepartures restores the departures in a row that an earlier process of this node wrote, and returns its record. It
// returns nil for another row. A departure is final, so that it holds even if the row is outdated.
func (n *Node) restoreDepartures(row roster.Row) *roster.Record {
	if row.Part != n.config.Self.Domain || row.Key != n.config.Self.Ref.ID || row.Deleted {
		return nil
	}
	earlier, err := roster.DecodeRecord(row)
	if err != nil || earlier.Node.Ref.Incarnation == n.config.Self.Ref.Incarnation {
		return nil // Malformed rows are logged by fleetState.
	}
	n.agent.Restore(agent.EarlierTargets{Registered: earlier.Registered(), Draining: earlier.Draining(), Withdrawn: earlier.Withdrawn})
	return earlier
}

// restore loads what an earlier process of this node published about its targets. The rows must be all those of the failure
// domain, as the store held them after this process started: an older row may lack a departure that the earlier process has
// acknowledged since. It is called once.
func (n *Node) restore(rows []roster.Row) {
	for _, row := range rows {
		if !row.Forgotten {
			n.publisher.ObserveRow(row)
		}
		earlier := n.restoreDepartures(row)
		if earlier == nil {
			continue
		}
		_ = level.Info(n.config.FailureLogger).Log("msg", "record of the earlier process restored", "version", row.Version,
			"draining", len(earlier.Draining()), "withdrawn", len(earlier.Withdrawn))
		n.guard.restore(earlier.Crashes)
		if earlier.Serving() {
			n.quotas.Resume()
		}
	}
	n.mu.Lock()
	close(n.restored)
	held := n.held
	n.mu.Unlock()
	if held != nil {
		if err := n.agent.Announce(held.Announcement); err != nil {
			n.Refused(held.ID, err)
		}
	}
	// A node without a target has nothing to publish; its first record follows the first heartbeat.
	if len(n.agent.Targets()) > 0 || n.stopping.Load() {
		n.publish()
	}
}
