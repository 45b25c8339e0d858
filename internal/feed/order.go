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
}

// OrderMsg is an input of the module.
type OrderMsg interface{ order() }

// PeersMsg gives the nodes of the failure domain that may pass rows on, this node among them.
type PeersMsg struct{ Peers []Peer }

// FailedMsg tells that a source did not answer or knows nothing new itself.
type FailedMsg struct {
	Now    time.Time
	Source Source
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
		if msg.Source.Store {
			o.store = o.store.next(msg.Now)
			return
		}
		o.avoided[msg.Source.Peer.ID] = o.avoided[msg.Source.Peer.ID].next(msg.Now)
	case WorkedMsg:
		if msg.Source.Store {
			o.store = avoidance{}
			return
		}
		delete(o.avoided, msg.Source.Peer.ID)
	}
}

// Sources returns where to ask for rows, the preferred source first. The store is always among them, so that a node whose
// peers fail depends on none.
func (o *Order) Sources(now time.Time) []Source {
	var readers []Source
	for _, p := range o.ranked {
		if len(readers) == readerCount {
			break
		}
		switch {
		case p.ID == o.self && !now.Before(o.store.until):
			return append([]Source{{Store: true}}, o.others(now)...)
		case p.ID != o.self && !now.Before(o.avoided[p.ID].until):
			readers = append(readers, Source{Peer: p})
		}
	}
	// Followers are divided between the readers.
	if rankOf(o.self)%readerCount == 1 {
		slices.Reverse(readers)
	}
	return append(readers, Source{Store: true})
}

// others returns the peers that a reader asks when the store fails it.
func (o *Order) others(now time.Time) []Source {
	var sources []Source
	for _, p := range o.ranked {
		if p.ID != o.self && !now.Before(o.avoided[p.ID].until) && len(sources) < readerCount {
			sources = append(sources, Source{Peer: p})
		}
	}
	return sources
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

func (a avoidance) next(now time.Time) avoidance {
	if now.Before(a.until) {
		return a // Calls that were under way at the failure say nothing new.
	}
	a.until = now.Add(min(avoidMost, avoidFirst<<min(a.failures, 8)))
	a.failures++
	return a
}
