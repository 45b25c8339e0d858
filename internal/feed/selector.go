package feed

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// readerCount is the number of nodes of a failure domain that read the store: one may be disconnected, frozen or
	// refused by the store while the other one continues.
	readerCount = 2
	// minBackoff is the time for which a source is not used after one failure; it doubles with each consecutive failure up
	// to maxBackoff.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
)

// Peer is a node of the same failure domain that may serve rows.
type Peer struct {
	ID          string
	Incarnation uint64
	// Address is the `host:port` of its feed.
	Address string
}

// Source is where rows come from: a peer, or the store when Store is set.
type Source struct {
	Peer  Peer
	Store bool
}

// SourceSelector decides from which source a node reads rows. All nodes of a failure domain rank its nodes in the same
// order; the first ones that respond read the store. It is not safe for concurrent use.
type SourceSelector struct {
	self string
	// ranked holds the known peers and, if known, this node itself.
	ranked       []Peer
	backoffs     map[string]backoff
	storeBackoff backoff
}

// backoff is the state of a source after consecutive failures.
type backoff struct {
	failures   int
	until      time.Time
	notReading bool
}

// SelectorMsg is an input of SourceSelector.
type SelectorMsg interface{ selectorMsg() }

// PeersMsg sets the nodes of the failure domain that may serve rows, including this node.
type PeersMsg struct{ Peers []Peer }

// FailedMsg reports that a source failed; NotReading tells that it responded but does not read the store.
type FailedMsg struct {
	Now        time.Time
	Source     Source
	NotReading bool
}

// SucceededMsg reports that a source has responded.
type SucceededMsg struct{ Source Source }

func (PeersMsg) selectorMsg()     {}
func (FailedMsg) selectorMsg()    {}
func (SucceededMsg) selectorMsg() {}

// NewSourceSelector returns a selector without peers, so that the node reads the store.
func NewSourceSelector(self string) *SourceSelector {
	return &SourceSelector{self: self, backoffs: make(map[string]backoff)}
}

// Update applies one message.
func (s *SourceSelector) Update(msg SelectorMsg) {
	switch msg := msg.(type) {
	case PeersMsg:
		s.setPeers(msg.Peers)
	case FailedMsg:
		s.fail(msg)
	case SucceededMsg:
		if msg.Source.Store {
			s.storeBackoff = backoff{}
			return
		}
		delete(s.backoffs, msg.Source.Peer.ID)
	}
}

// Sources returns the sources to ask for rows, the preferred one first. It is empty while all usable sources are in
// backoff.
func (s *SourceSelector) Sources(now time.Time) []Source {
	peers, reads := s.readers(now)
	storeOpen := !now.Before(s.storeBackoff.until)
	switch {
	case reads && storeOpen:
		// The peers are used if the store fails at this node.
		return append([]Source{{Store: true}}, peers...)
	case !storeOpen && len(peers) == 0:
		return s.fallback(now)
	case !storeOpen:
		return s.balance(peers)
	default:
		return append(s.balance(peers), Source{Store: true})
	}
}

// Others returns the known nodes of the failure domain but this one.
func (s *SourceSelector) Others() []Peer {
	return slices.DeleteFunc(slices.Clone(s.ranked), func(p Peer) bool { return p.ID == s.self })
}

// readers returns the peers that should read the store, and whether this node should. A peer that does not respond to
// this node is replaced by the next one; one that responds but does not read is not, since the next one does not read
// either.
func (s *SourceSelector) readers(now time.Time) (peers []Source, reads bool) {
	count := 0
	for _, p := range s.ranked {
		state := s.backoffs[p.ID]
		open := !now.Before(state.until)
		switch {
		case p.ID == s.self:
			reads = count < readerCount
		case count == readerCount:
			return peers, reads
		case open:
			peers = append(peers, Source{Peer: p})
			count++
		case state.notReading:
			count++
		}
	}
	return peers, reads || count == 0
}

// fallback returns one more peer for a node that can use neither the readers nor the store: other nodes then read the
// store, unless it is unavailable to all.
func (s *SourceSelector) fallback(now time.Time) []Source {
	for _, p := range s.ranked {
		if p.ID != s.self && !now.Before(s.backoffs[p.ID].until) {
			return []Source{{Peer: p}}
		}
	}
	return nil
}

// balance distributes the followers over the readers.
func (s *SourceSelector) balance(peers []Source) []Source {
	if rankOf(s.self)%readerCount == 1 {
		slices.Reverse(peers)
	}
	return peers
}

func (s *SourceSelector) fail(msg FailedMsg) {
	if !msg.Source.Store {
		known := s.backoffs[msg.Source.Peer.ID]
		if msg.NotReading {
			s.backoffs[msg.Source.Peer.ID] = backoff{until: msg.Now.Add(minBackoff), notReading: true}
			return
		}
		s.backoffs[msg.Source.Peer.ID] = known.next(msg.Now, maxBackoff)
		return
	}
	maxDelay := maxBackoff
	if _, reads := s.readers(msg.Now); reads {
		maxDelay = minBackoff // Other nodes learn from this node that the store is available again.
	}
	s.storeBackoff = s.storeBackoff.next(msg.Now, maxDelay)
}

func (s *SourceSelector) setPeers(peers []Peer) {
	for _, known := range s.ranked {
		// A restarted process or a changed address is worth a new attempt.
		if !slices.Contains(peers, known) {
			delete(s.backoffs, known.ID)
		}
	}
	s.ranked = slices.Clone(peers)
	slices.SortFunc(s.ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(rankOf(a.ID), rankOf(b.ID)), cmp.Compare(a.ID, b.ID))
	})
}

// rankOf hashes the node ID, so that nodes which were added together do not have adjacent ranks.
func rankOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // Writing to a hash never fails.
	return h.Sum64()
}

func (b backoff) next(now time.Time, maxDelay time.Duration) backoff {
	if now.Before(b.until) {
		return b // Calls in flight at the time of the failure provide no new information.
	}
	return backoff{failures: b.failures + 1, until: now.Add(min(maxDelay, minBackoff<<min(b.failures, 8)))}
}
