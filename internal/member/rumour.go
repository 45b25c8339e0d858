package member

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/invar"
)

const (
	// retransmitFactor times log10(n+1) is the number of times a node sends a rumour.
	retransmitFactor = 3
	// pushFanout is the number of nodes that an urgent rumour is pushed to immediately.
	pushFanout = 4
	// pushRate and pushBurst bound the bytes of pushes, so that a burst of urgent updates stays within the budget of 5
	// KB/s; the excess is gossiped as ordinary rumours.
	pushRate  = 800
	pushBurst = 32 << 10
	// urgentBurst and urgentRefill bound the urgent updates of one record, in updates and updates per second, so that a
	// flapping target cannot use up the push budget that other nodes need for a drain. The burst covers a VM that
	// drains its targets one by one; an exit is always urgent.
	urgentBurst  = 12
	urgentRefill = 1.0 / 120
	// pushOverhead is the size of the headers and the authentication of a datagram, in bytes.
	pushOverhead = 45
	// statusPushInterval is the least time between two pushes that carry only statuses. The first one is sent
	// immediately; when a rack or a region fails, later ones share datagrams, because otherwise headers make up most of
	// the bytes of such a burst. It must stay far below deadReportDelay divided by the 5 hops that reach 670 nodes.
	statusPushInterval = 200 * time.Millisecond
	// maxRumourAge is how long a rumour is gossiped. Only the start of a whole region takes longer, and by then
	// anti-entropy has already distributed the records.
	maxRumourAge = 30 * time.Second
	// maxKeySize is the size of the key of the receiver in a datagram, in bytes.
	maxKeySize = 10
	// maxRumourRecord is the largest record that is sent in a datagram, in bytes; larger ones are fetched by RPC.
	maxRumourRecord = 900
)

// rumour is an update that is being gossiped; its content is read from the entry when it is sent.
type rumour struct {
	entry      *entry
	withRecord bool
	urgent     bool
	// limit is the number of times to send the rumour, from the size of the fleet at the time it was received.
	limit   int
	sends   int
	started time.Time
	// totalSends counts the sends of this and of superseded states of the entry; the lowest count is sent first, so
	// that a record that changes constantly does not delay the others.
	totalSends int
}

// rumourState holds the rumours that are being gossiped.
type rumourState struct {
	pending []*rumour
	// urgent holds the rumours to push at the end of the current Update.
	urgent     []*rumour
	pushTicket bool
	tokens     float64
	refilled   time.Time
	// lastPush is the time of the last push.
	lastPush time.Time
	// tickets holds the entries whose ticket number is being gossiped, in the order of their next send.
	tickets []*entry
}

// gossip starts gossiping the state of an entry; an urgent update takes a token from the budget of the entry.
func (m *Module) gossip(e *entry, withRecord, urgent bool) {
	urgent = urgent && m.takeUrgent(e)
	r := e.rumour
	if r == nil {
		r = &rumour{entry: e}
		e.rumour = r
		m.rumours.pending = append(m.rumours.pending, r)
	}
	r.sends, r.limit, r.started = 0, m.maxSends(), m.now
	r.withRecord = r.withRecord || withRecord
	r.urgent = urgent
	if urgent && !slices.Contains(m.rumours.urgent, r) {
		m.rumours.urgent = append(m.rumours.urgent, r)
	}
}

// allowsUrgent reports whether the budget of an entry allows another urgent update.
func (m *Module) allowsUrgent(e *entry) bool {
	return e.record.Leaving || e.status.deadOrLeft() || e.urgentBudget.has(m.now, urgentBurst, urgentRefill)
}

func (m *Module) takeUrgent(e *entry) bool {
	if e.record.Leaving || e.status.deadOrLeft() || e.urgentBudget.take(m.now, urgentBurst, urgentRefill) {
		return true
	}
	m.counts.Deferred++
	return false
}

// dropRumour stops gossiping an entry that is removed from the table.
func (m *Module) dropRumour(e *entry) {
	if e.rumour == nil {
		return
	}
	is := func(r *rumour) bool { return r.entry == e }
	m.rumours.pending = slices.DeleteFunc(m.rumours.pending, is)
	m.rumours.urgent = slices.DeleteFunc(m.rumours.urgent, is)
	e.rumour = nil
}

// maxSends returns how often a rumour is sent at the current size of the fleet.
func (m *Module) maxSends() int {
	return int(math.Ceil(retransmitFactor * math.Log10(float64(m.table.alive+1))))
}

// send adds header, rumours and ticket lists to a datagram; the status of a suspected or dead receiver is packed first.
func (m *Module) send(address string, d *Datagram, receiver *entry) {
	m.setHeader(d)
	space := MaxDatagram - d.headerSize()
	if receiver != nil && receiver.status != StatusAlive {
		r := m.newRumour(receiver, false, false)
		d.Rumours = append(d.Rumours, r)
		space -= r.size()
	}
	space = m.packRumours(d, space)
	m.packTickets(d, space)
	m.emit(SendCmd{Address: address, Datagram: d})
}

func (m *Module) setHeader(d *Datagram) {
	d.From, d.Ticket, d.Root = m.self.record.Node.Ref, m.self.record.Ticket, m.table.root()
}

// packRumours adds urgent rumours first, then those sent least often, and returns the remaining space.
func (m *Module) packRumours(d *Datagram, space int) int {
	slices.SortStableFunc(m.rumours.pending, func(a, b *rumour) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.totalSends, b.totalSends)
	})
	for _, r := range m.rumours.pending {
		if space < minRumour {
			break
		}
		space = m.packRumour(d, r, space)
	}
	m.finishRumours()
	return space
}

// minRumour is the smallest encoded size of a rumour, in bytes.
const minRumour = shortKeySize + 2

func (m *Module) packRumour(d *Datagram, r *rumour, space int) int {
	space, added := m.addRumour(d, m.encodeRumour(r), space)
	if added {
		r.sends++
		r.totalSends++
	}
	return space
}

// encodeRumour builds the rumour to send and omits a record that is too large for a datagram; the receivers fetch it.
func (m *Module) encodeRumour(r *rumour) Rumour {
	return m.newRumour(r.entry, r.withRecord && len(r.entry.encoded) <= maxRumourRecord, r.urgent)
}

func (m *Module) finishRumours() {
	m.rumours.pending = slices.DeleteFunc(m.rumours.pending, func(r *rumour) bool {
		invar.Check(r.sends <= r.limit+pushFanout, "member", "rumour passed on %d times, limit %d", r.sends, r.limit)
		if r.sends < r.limit && (r.sends == 0 || m.now.Sub(r.started) < maxRumourAge) {
			return false
		}
		r.entry.rumour = nil
		return true
	})
}

// push sends the urgent rumours to random nodes immediately, except those that can share a later datagram.
func (m *Module) push(tick bool) {
	if len(m.rumours.urgent) == 0 && !m.rumours.pushTicket {
		return
	}
	m.refill()
	if !m.pushIsDue(tick) {
		return
	}
	m.rumours.lastPush = m.now
	d := &Datagram{Kind: KindPush}
	m.setHeader(d)
	space := MaxDatagram - d.headerSize() - maxKeySize
	packed, rest, space := m.packUrgent(d, space)
	m.rumours.urgent, m.rumours.pushTicket = rest, false
	for _, receiver := range m.randomNodes(pushFanout, anyNode) {
		if m.rumours.tokens <= 0 {
			m.counts.Deferred++
			break
		}
		m.pushTo(receiver, d, packed, MaxDatagram-space+pushOverhead)
	}
	m.finishRumours()
}

// pushIsDue reports whether to push the urgent rumours now. Statuses wait until statusPushInterval has passed since the
// last push, and all urgent rumours wait for the next tick when less than half of the budget is available.
func (m *Module) pushIsDue(tick bool) bool {
	if !tick && m.rumours.tokens < pushBurst/2 {
		return false
	}
	return m.rumours.pushTicket || m.now.Sub(m.rumours.lastPush) >= statusPushInterval ||
		slices.ContainsFunc(m.rumours.urgent, (*rumour).stopsRequests)
}

// stopsRequests reports whether requests must no longer be sent to a target because of the rumour. The death of a node
// does not count: each node that knows of the suspicion reaches the same verdict by its own timeout.
func (r *rumour) stopsRequests() bool { return r.withRecord || r.entry.status == StatusLeft }

// packUrgent adds the urgent rumours that fit and returns them, the remaining ones and the remaining space.
func (m *Module) packUrgent(d *Datagram, space int) (packed, rest []*rumour, left int) {
	for _, r := range m.rumours.urgent {
		var added bool
		if space, added = m.addRumour(d, m.encodeRumour(r), space); added {
			packed = append(packed, r)
		} else {
			rest = append(rest, r)
		}
	}
	return packed, rest, space
}

// pushTo sends a push; size is its number of bytes including headers.
func (m *Module) pushTo(receiver *entry, d *Datagram, packed []*rumour, size int) {
	sent := *d
	sent.To = receiver.key
	for _, r := range packed {
		r.sends++
		r.totalSends++
	}
	m.rumours.tokens -= float64(size)
	m.counts.Pushes++
	m.emit(SendCmd{Address: receiver.record.Node.PeerAddress, Datagram: &sent})
}

func (m *Module) refill() {
	elapsed := m.now.Sub(m.rumours.refilled).Seconds()
	m.rumours.refilled = m.now
	m.rumours.tokens = min(pushBurst, m.rumours.tokens+pushRate*elapsed)
}
