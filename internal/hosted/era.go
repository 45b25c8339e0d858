package hosted

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// rewriteSpread is the time over which the nodes write their records again after the store came back from a copy.
const rewriteSpread = 3 * time.Second

// observeEra writes the record again if the store came back from a copy, which may lack it: at once if the copy lacks a
// departure that the node has acknowledged, and otherwise at a moment that differs by node.
func (n *Node) observeEra(p roster.Page) {
	if !p.Whole || p.Era == 0 {
		return
	}
	own := roster.Row{Part: n.config.Self.Domain, Key: n.config.Self.Ref.ID, Era: p.Era}
	for _, row := range p.Rows {
		if row.Part == own.Part && row.Key == own.Key && !row.Forgotten && !row.Deleted {
			own = row
		}
	}
	n.publisher.BeginEra(p.Era, own)
	n.mu.Lock()
	due := n.published && n.record.Era < p.Era
	n.mu.Unlock()
	if !due {
		return
	}
	delay := time.Duration(0)
	if !n.lacksDeparture(own) {
		delay = rewriteDelay(n.config.Self.Ref.ID)
	}
	_ = level.Info(n.config.FailureLogger).Log("msg", "record to be written again", "era", p.Era, "stored-version", own.Version, "after", delay)
	time.AfterFunc(delay, n.publishDue.Raise)
}

// lacksDeparture reports whether a target has left or drains and the row does not say so.
func (n *Node) lacksDeparture(own roster.Row) bool {
	var known []model.TargetRef
	if stored, err := roster.DecodeRecord(own); err == nil {
		known = append(stored.Draining(), stored.Withdrawn...)
	}
	departed := append(n.agent.Withdrawn(), n.agent.Draining()...)
	return slices.ContainsFunc(departed, func(ref model.TargetRef) bool { return !slices.Contains(known, ref) })
}

// recall restores the departures in a record of an earlier process of this node that the store has lost.
func (n *Node) recall(row roster.Row) {
	earlier := n.restoreDepartures(row)
	if earlier == nil {
		return
	}
	_ = level.Info(n.config.FailureLogger).Log("msg", "lost record restored", "era", row.Era, "version", row.Version,
		"draining", len(earlier.Draining()), "withdrawn", len(earlier.Withdrawn))
	n.guard.restore(earlier.Crashes)
	n.publishDue.Raise()
}

// rewriteDelay returns when the node writes its record again.
func rewriteDelay(node string) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node)) // Writing to a hash never fails.
	return time.Duration(h.Sum64() % uint64(rewriteSpread))
}
