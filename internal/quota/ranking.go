package quota

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// minBackoff is the time for which a node is not called after one failure; it doubles with each consecutive failure up to
	// maxBackoff.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
)

// Peer is a node that may hold a pool.
type Peer struct {
	ID string
	// Incarnation tells apart the processes of a node.
	Incarnation uint64
	// Address is the `host:port` at which it serves other nodes.
	Address string
}

// Ranking chooses the node that holds a pool: all nodes rank the candidates in the same order and use the first one that
// they reach. Nodes that choose differently only share less. It is not safe for concurrent use.
type Ranking struct {
	self     string
	salt     string
	ranked   []Peer
	backoffs map[string]backoff
}

type backoff struct {
	failures int
	until    time.Duration
}

// RankingMsg is an input of Ranking.
type RankingMsg interface{ rankingMsg() }

// PeersMsg sets the candidates.
type PeersMsg struct{ Peers []Peer }

// UnreachableMsg reports that a call to the node failed.
type UnreachableMsg struct {
	Now time.Duration
	ID  string
}

// ReachedMsg reports that the node replied.
type ReachedMsg struct{ ID string }

func (PeersMsg) rankingMsg()       {}
func (UnreachableMsg) rankingMsg() {}
func (ReachedMsg) rankingMsg()     {}

// NewRanking returns a ranking without candidates; rankings of different pools have different salts.
func NewRanking(self, salt string) *Ranking {
	return &Ranking{self: self, salt: salt, backoffs: make(map[string]backoff)}
}

// Update applies one message.
func (r *Ranking) Update(msg RankingMsg) {
	switch msg := msg.(type) {
	case PeersMsg:
		r.setPeers(msg.Peers)
	case UnreachableMsg:
		failures := r.backoffs[msg.ID].failures
		r.backoffs[msg.ID] = backoff{failures: failures + 1, until: msg.Now + min(maxBackoff, minBackoff<<min(failures, 8))}
	case ReachedMsg:
		delete(r.backoffs, msg.ID)
	}
}

// Choose returns the first candidate that is not in backoff; this node counts as reachable and as the last one.
func (r *Ranking) Choose(now time.Duration) Peer {
	for _, p := range r.ranked {
		if p.ID == r.self || now >= r.backoffs[p.ID].until {
			return p
		}
	}
	return Peer{ID: r.self}
}

func (r *Ranking) setPeers(peers []Peer) {
	for _, known := range r.ranked {
		// A restarted process or a changed address is worth a new attempt.
		if !slices.Contains(peers, known) {
			delete(r.backoffs, known.ID)
		}
	}
	ranks := make(map[string]uint64, len(peers))
	for _, p := range peers {
		ranks[p.ID] = r.rankOf(p.ID)
	}
	r.ranked = slices.Clone(peers)
	slices.SortFunc(r.ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(ranks[a.ID], ranks[b.ID]), cmp.Compare(a.ID, b.ID))
	})
}

func (r *Ranking) rankOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.salt + "/" + id)) // Writing to a hash never fails.
	return h.Sum64()
}
