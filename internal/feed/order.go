package feed

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// readerCount is the number of nodes of a failure domain that read the store: one may be cut off, frozen or turned away
	// while the other one goes on.
	readerCount = 2
	// avoidFirst is the time for which a source is avoided after one failure; it doubles with each failure in a row up to
	// avoidMost.
	avoidFirst = time.Second
	avoidMost  = 8 * time.Second
)

// Peer is a node of the same failure domain that may pass rows on.
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

// Order decides from whom a node takes rows. All nodes of a failure domain rank its nodes alike; the first ones that answer
// read the store. It is not safe for concurrent use.
type Order struct {
	self string
	// ranked holds the known peers and this node itself, if it is known.
	ranked  []Peer
	avoided map[string]avoidance
	store   avoidance
}

// avoidance is the consequence of failures in a row.
type avoidance struct {
	failures int
	until    time.Time
	refused  bool
}

// OrderMsg is an input of the module.
type OrderMsg interface{ order() }

// PeersMsg gives the nodes of the failure domain that may pass rows on, this node among them.
type PeersMsg struct{ Peers []Peer }

// FailedMsg tells that a source failed; Refused tells that it answered and does not read the store.
type FailedMsg struct {
	Now     time.Time
	Source  Source
	Refused bool
}

// WorkedMsg tells that a source has answered.
type WorkedMsg struct{ Source Source }

func (PeersMsg) order()  {}
func (FailedMsg) order() {}
func (WorkedMsg) order() {}

// NewOrder returns a module that knows no peers, so that the node reads the store.
func NewOrder(self string) *Order {
	return &Order{self: self, avoided: make(map[string]avoidance)}
}

// Update applies one message.
func (o *Order) Update(msg OrderMsg) {
	switch msg := msg.(type) {
	case PeersMsg:
		o.setPeers(msg.Peers)
	case FailedMsg:
		o.fail(msg)
	case WorkedMsg:
		if msg.Source.Store {
			o.store = avoidance{}
			return
		}
		delete(o.avoided, msg.Source.Peer.ID)
	}
}

// Sources returns where to ask for rows, the preferred source first. It is empty while all that may be asked have just
// failed.
func (o *Order) Sources(now time.Time) []Source {
	peers, reads := o.readers(now)
	storeOpen := !now.Before(o.store.until)
	switch {
	case reads && storeOpen:
		// The peers are for the case that the store fails here.
		return append([]Source{{Store: true}}, peers...)
	case !storeOpen && len(peers) == 0:
		return o.spare(now)
	case !storeOpen:
		return o.divide(peers)
	default:
		return append(o.divide(peers), Source{Store: true})
	}
}

// readers returns the peers that should read the store, and whether this node should. A peer that is dead to this node gives
// its place to the next one; one that answers and does not read keeps it, since the next one does not read either.
func (o *Order) readers(now time.Time) (peers []Source, reads bool) {
	places := 0
	for _, p := range o.ranked {
		avoided := o.avoided[p.ID]
		open := !now.Before(avoided.until)
		switch {
		case p.ID == o.self:
			reads = places < readerCount
		case places == readerCount:
			return peers, reads
		case open:
			peers = append(peers, Source{Peer: p})
			places++
		case avoided.refused:
			places++
		}
	}
	return peers, reads || places == 0
}

// spare returns one more peer for a node that neither the readers nor the store serves: others read the store then, unless it
// is away from all.
func (o *Order) spare(now time.Time) []Source {
	for _, p := range o.ranked {
		if p.ID != o.self && !now.Before(o.avoided[p.ID].until) {
			return []Source{{Peer: p}}
		}
	}
	return nil
}

// divide spreads the followers over the readers.
func (o *Order) divide(peers []Source) []Source {
	if rankOf(o.self)%readerCount == 1 {
		slices.Reverse(peers)
	}
	return peers
}

func (o *Order) fail(msg FailedMsg) {
	if !msg.Source.Store {
		known := o.avoided[msg.Source.Peer.ID]
		if msg.Refused {
			o.avoided[msg.Source.Peer.ID] = avoidance{until: msg.Now.Add(avoidFirst), refused: true}
			return
		}
		o.avoided[msg.Source.Peer.ID] = known.next(msg.Now, avoidMost)
		return
	}
	most := avoidMost
	if _, reads := o.readers(msg.Now); reads {
		most = avoidFirst // Others learn of the store's return from this node.
	}
	o.store = o.store.next(msg.Now, most)
}

func (o *Order) setPeers(peers []Peer) {
	for _, known := range o.ranked {
		// A process that has started anew, or an address that has changed, is worth a call.
		if !slices.Contains(peers, known) {
			delete(o.avoided, known.ID)
		}
	}
	o.ranked = slices.Clone(peers)
	slices.SortFunc(o.ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(rankOf(a.ID), rankOf(b.ID)), cmp.Compare(a.ID, b.ID))
	})
}

// rankOf spreads the ranks over the nodes, so that nodes which were added together do not follow each other in rank.
func rankOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // A hash takes any bytes.
	return h.Sum64()
}

func (a avoidance) next(now time.Time, most time.Duration) avoidance {
	if now.Before(a.until) {
		return a // Calls that were under way at the failure say nothing new.
	}
	return avoidance{failures: a.failures + 1, until: now.Add(min(most, avoidFirst<<min(a.failures, 8)))}
}
