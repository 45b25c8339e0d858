package feed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/feed"
)

// start is the time at which the selector tests begin.
var start = time.Unix(1_000_000, 0)

// domain is one failure domain whose nodes independently select their sources.
type domain struct {
	peers     []feed.Peer
	selectors map[string]*feed.SourceSelector
	down      map[string]bool
	// refused are the nodes whose calls the store refuses.
	refused map[string]bool
}

func newDomain(size int) *domain {
	d := &domain{selectors: make(map[string]*feed.SourceSelector), down: make(map[string]bool), refused: make(map[string]bool)}
	for i := range size {
		id := fmt.Sprintf("node-%d", i)
		d.peers = append(d.peers, feed.Peer{ID: id, Incarnation: 1, Address: id + ":1"})
		d.selectors[id] = feed.NewSourceSelector(id)
	}
	for _, o := range d.selectors {
		o.Update(feed.PeersMsg{Peers: d.peers})
	}
	return d
}

// reads reports whether the node reads the store now.
func (d *domain) reads(id string, now time.Time) bool {
	return !d.refused[id] && d.selectors[id].Sources(now)[0].Store
}

// propagate applies one change of the table and returns the calls to the store and the nodes that did not receive it.
func (d *domain) propagate(now time.Time) (storeCalls int, missed []string) {
	for id, selector := range d.selectors {
		if d.down[id] {
			continue
		}
		received := false
		for _, s := range selector.Sources(now) {
			if s.Store {
				storeCalls++
			}
			ok := s.Store && !d.refused[id] || !s.Store && !d.down[s.Peer.ID] && d.reads(s.Peer.ID, now)
			if !ok {
				selector.Update(feed.FailedMsg{Now: now, Source: s, NotReading: !s.Store && !d.down[s.Peer.ID]})
				continue
			}
			selector.Update(feed.SucceededMsg{Source: s})
			received = true
			break
		}
		if !received {
			missed = append(missed, id)
		}
	}
	return storeCalls, missed
}

// Setup: 354 nodes in 9 failure domains, and one change in each of 30 seconds while nodes fail and recover. Guards
// against calls to the store that grow with the number of nodes, and against nodes that miss changes.
func TestStoreCallsGrowWithDomains(t *testing.T) {
	const domains, size, changes = 9, 40, 30
	calls := 0
	for n := range domains {
		d := newDomain(size)
		for i := range changes {
			now := start.Add(time.Duration(i) * time.Second)
			if i == 10 {
				for j := n; j < size; j += 5 { // A fifth of the nodes, in some domains including a reader.
					d.down[fmt.Sprintf("node-%d", j)] = true
				}
			}
			if i == 20 {
				clear(d.down)
			}
			c, missed := d.propagate(now)
			calls += c
			require.Empty(t, missed)
		}
	}
	// Two readers for each change, and as many again for the nodes whose readers failed.
	require.LessOrEqual(t, calls, 2*2*domains*changes, "of %d calls without readers", domains*size*changes)
}

// Setup: the store refuses a third of the nodes, including readers. Guards against nodes that receive no changes
// although other nodes of their failure domain can read the store.
func TestRefusedNodesFollowOthers(t *testing.T) {
	for seed := range 20 {
		d := newDomain(9)
		for j := range 3 {
			d.refused[fmt.Sprintf("node-%d", (seed+4*j)%9)] = true
		}
		var missed []string
		for i := range 8 { // The first rounds show which nodes are refused.
			_, missed = d.propagate(start.Add(time.Duration(i) * 500 * time.Millisecond))
		}
		require.Empty(t, missed, "refused: %v", d.refused)
	}
}

// Setup: the store is unavailable to all 40 nodes of a failure domain for ten seconds. Guards against calls of all
// nodes during the outage, against connections between all pairs of nodes, and against nodes that miss changes after
// the store is back.
func TestOutageCostsFewCalls(t *testing.T) {
	// step is the shortest delay of a watch whose calls fail repeatedly.
	const size, step, outage = 40, 900 * time.Millisecond, 10 * time.Second
	d := newDomain(size)
	for id := range d.selectors {
		d.refused[id] = true
	}
	calls, asks := 0, 0
	for at := time.Duration(0); at < outage; at += step {
		for _, o := range d.selectors {
			asks += len(o.Sources(start.Add(at)))
		}
		c, _ := d.propagate(start.Add(at))
		calls += c
	}
	require.LessOrEqual(t, calls, size*4+2*10, "of %d calls at one per node and second", size*10)
	require.LessOrEqual(t, asks, size*5*10, "at most five sources per second and node")
	clear(d.refused)
	var missed []string
	for at := outage; at < outage+2*time.Second; at += step {
		_, missed = d.propagate(start.Add(at))
	}
	require.Empty(t, missed)
}

// Guards against nodes that follow each other while none reads the store.
func TestNoNodeFollowsAFollower(t *testing.T) {
	d := newDomain(40)
	readers := 0
	for id, o := range d.selectors {
		first := o.Sources(start)[0]
		if first.Store {
			readers++
			continue
		}
		require.True(t, d.reads(first.Peer.ID, start), "%s follows %s, which does not read", id, first.Peer.ID)
	}
	require.Equal(t, 2, readers)
}

// Guards against a node that keeps avoiding a peer whose process has restarted.
func TestRestartedPeerIsAskedAgain(t *testing.T) {
	o := feed.NewSourceSelector("self")
	peer := feed.Peer{ID: "a", Incarnation: 1, Address: "a:1"}
	o.Update(feed.PeersMsg{Peers: []feed.Peer{peer}})
	require.Equal(t, []feed.Source{{Peer: peer}, {Store: true}}, o.Sources(start))
	o.Update(feed.FailedMsg{Now: start, Source: feed.Source{Peer: peer}})
	require.Equal(t, []feed.Source{{Store: true}}, o.Sources(start))
	peer.Incarnation = 2
	o.Update(feed.PeersMsg{Peers: []feed.Peer{peer}})
	require.Equal(t, peer, o.Sources(start)[0].Peer)
}

// Guards against counting the failures of concurrent calls as several failures, and against an unbounded backoff.
func TestBackoffIsBounded(t *testing.T) {
	o := feed.NewSourceSelector("self")
	peer := feed.Peer{ID: "a", Incarnation: 1, Address: "a:1"}
	o.Update(feed.PeersMsg{Peers: []feed.Peer{peer}})
	failed := feed.FailedMsg{Now: start, Source: feed.Source{Peer: peer}}
	for range 5 {
		o.Update(failed)
	}
	require.Len(t, o.Sources(start.Add(time.Second)), 2, "five concurrent failures count as one")
	now := start
	for range 20 {
		now = now.Add(time.Minute)
		failed.Now = now
		o.Update(failed)
	}
	require.Len(t, o.Sources(now.Add(7*time.Second)), 1)
	require.Len(t, o.Sources(now.Add(8*time.Second)), 2)
}
