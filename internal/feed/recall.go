package feed

import (
	"context"
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/roster"
)

const (
	// recallPeers is the number of nodes of the failure domain, and then of others, that must tell which rows the store has lost,
	// at most maxRecalls times.
	recallPeers = 2
	maxRecalls  = 4
	recallPause = 2500 * time.Millisecond
)

// recall returns the rows that the store has lost and other nodes remember. Those of the failure domain may have restarted with
// this one and remember nothing, so nodes of others are asked too. It asks a few times after the first rows have been read: the
// others may hear of the era later than a node that starts.
func (t *Table) recall(ctx context.Context) []roster.Row {
	if t.cache.eraOf() == 0 {
		return nil
	}
	t.mu.Lock()
	now := t.config.Clock.Now()
	due := t.recalls < maxRecalls && !now.Before(t.nextRecall)
	if due {
		t.recalls++
		t.nextRecall = now.Add(recallPause)
	}
	own := t.selector.Others()
	t.mu.Unlock()
	if !due {
		return nil
	}
	t.recallFrom(ctx, own)
	t.recallFrom(ctx, t.peersOfOtherDomains())
	return t.cache.forgottenRows()
}

// recallFrom takes the rows that the store has lost from the first recallPeers nodes that respond.
func (t *Table) recallFrom(ctx context.Context, peers []Peer) {
	asked := 0
	for _, p := range peers {
		t.peerCalls.Add(1)
		rows, err := t.client.forgotten(ctx, t.config.Dial, p.Address)
		if err != nil {
			continue // Another node may remember the same rows.
		}
		t.cache.mergeMore(roster.Page{Rows: rows, Era: t.cache.eraOf()})
		if asked++; asked == recallPeers {
			return
		}
	}
}

// peersOfOtherDomains returns some nodes of other failure domains in random order.
func (t *Table) peersOfOtherDomains() []Peer {
	rows := slices.DeleteFunc(t.cache.allRows(), func(row roster.Row) bool { return row.Part == t.config.Domain })
	return sample(peersFromRows(rows), Peer{})
}
