package member

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/invar"
)

const (
	// sendFactor times log10(n+1) is how often a node passes a rumour on.
	sendFactor = 3
	// pushFanout is the number of nodes to which an urgent rumour goes at once.
	pushFanout = 4
	// pushRate and pushBurst bound the bytes of pushes, so that a burst of urgent updates keeps within the budget of
	// 5 KB/s; what exceeds them spreads as ordinary rumours.
	pushRate  = 800
	pushBurst = 32 << 10
	// urgentBurst and urgentRefill bound the urgent updates of one record, in updates and updates per second. A target
	// that flaps then cannot use up the budget of pushes that other nodes need for a drain. The burst covers a VM that
	// drains its targets one after the other; an exit is always urgent.
	urgentBurst  = 12
	urgentRefill = 1.0 / 120
	// pushOverhead is the size of the headers and the authentication of a datagram, in bytes.
	pushOverhead = 45
	// statusWindow is the least time between two pushes that carry only statuses. The first one goes out at once; when a
	// rack or a region is lost, the others share datagrams. Without it, most bytes of such a burst are headers. It must
	// stay far below hearsayAfter divided by the 5 hops that reach 670 nodes.
	statusWindow = 200 * time.Millisecond
	// maxRumourAge is how long a rumour is passed on. Only after the start of a region does it take longer, and then
	// anti-entropy has already spread the records.
	maxRumourAge = 30 * time.Second
	// maxKeySize is the size of the key of the receiver in a datagram, in bytes.
	maxKeySize = 10
	// maxRumourRecord is the largest record that travels in a datagram, in bytes; larger ones are fetched by RPC.
	maxRumourRecord = 900
)

// rumour is an update that is still to be passed on; its text is taken from the entry when it is sent.
type rumour struct {
	entry      *entry
	withRecord bool
	urgent     bool
	// limit is how often the rumour is passed on, from the size of the fleet when it was heard.
	limit   int
	sends   int
	started time.Time
	// rank is the number of sendings of this and of superseded states; the lowest goes first. A record that changes all
	// the time therefore does not hold up the others.
	rank int
}

// rumourState holds the rumours that are being passed on.
type rumourState struct {
	pending []*rumour
	// urgent are the rumours to push at the end of the current update.
	urgent     []*rumour
	pushNumber bool
	tokens     float64
	refilled   time.Time
	// pushed is the time of the last push.
	pushed time.Time
	// numbers are the entries whose ticket number is being passed on, in the order of their next sending.
	numbers []*entry
}

// spread starts passing on the state of an entry; it takes an urgent update from the budget of the entry.
func (m *Module) spread(e *entry, withRecord, urgent bool) {
	urgent = urgent && m.takePush(e)
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

// mayPush reports whether the budget of an entry allows another urgent update.
func (m *Module) mayPush(e *entry) bool {
	return e.record.Leaving || e.status.gone() || e.urgents.has(m.now, urgentBurst, urgentRefill)
}

func (m *Module) takePush(e *entry) bool {
	if e.record.Leaving || e.status.gone() || e.urgents.take(m.now, urgentBurst, urgentRefill) {
		return true
	}
	m.counts.Deferred++
	return false
}

// dropRumour stops passing on an entry that leaves the table.
func (m *Module) dropRumour(e *entry) {
	if e.rumour == nil {
		return
	}
	is := func(r *rumour) bool { return r.entry == e }
	m.rumours.pending = slices.DeleteFunc(m.rumours.pending, is)
	m.rumours.urgent = slices.DeleteFunc(m.rumours.urgent, is)
	e.rumour = nil
}

// maxSends returns how often a rumour is passed on at the present size of the fleet.
func (m *Module) maxSends() int {
	return int(math.Ceil(sendFactor * math.Log10(float64(m.table.alive+1))))
}

// send completes a datagram with the own state and rumours; the state of a receiver under suspicion goes first.
func (m *Module) send(address string, d *Datagram, receiver *entry) {
	m.fill(d)
	space := MaxDatagram - d.headerSize()
	if receiver != nil && receiver.status != StatusAlive {
		r := m.rumourOf(receiver, false, false)
		d.Rumours = append(d.Rumours, r)
		space -= r.size()
	}
	space = m.pack(d, space)
	m.packNumbers(d, space)
	m.emit(SendCmd{Address: address, Datagram: d})
}

func (m *Module) fill(d *Datagram) {
	d.From, d.Ticket, d.Root = m.self.record.Node.Ref, m.self.record.Ticket, m.table.root()
}

// pack adds urgent rumours first, then those that were sent least often, and returns the space that is left.
func (m *Module) pack(d *Datagram, space int) int {
	slices.SortStableFunc(m.rumours.pending, func(a, b *rumour) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.rank, b.rank)
	})
	for _, r := range m.rumours.pending {
		if space < minRumour {
			break
		}
		space = m.packOne(d, r, space)
	}
	m.finishRumours()
	return space
}

// minRumour is the least size of a rumour, in bytes.
const minRumour = shortKeySize + 2

func (m *Module) packOne(d *Datagram, r *rumour, space int) int {
	space, added := m.addRumour(d, m.textOf(r), space)
	if added {
		r.sends++
		r.rank++
	}
	return space
}

// textOf leaves out a record that is too large for a datagram; the receivers fetch it.
func (m *Module) textOf(r *rumour) Rumour {
	return m.rumourOf(r.entry, r.withRecord && len(r.entry.encoded) <= maxRumourRecord, r.urgent)
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

// push sends the urgent rumours to random nodes at once, except those that share a later datagram.
func (m *Module) push(tick bool) {
	if len(m.rumours.urgent) == 0 && !m.rumours.pushNumber {
		return
	}
	m.refill()
	if !m.pushIsDue(tick) {
		return
	}
	m.rumours.pushed = m.now
	d := &Datagram{Kind: KindPush}
	m.fill(d)
	space := MaxDatagram - d.headerSize() - maxKeySize
	packed, rest, space := m.packUrgent(d, space)
	m.rumours.urgent, m.rumours.pushNumber = rest, false
	for _, receiver := range m.choose(pushFanout, anyNode) {
		if m.rumours.tokens <= 0 {
			m.counts.Deferred++
			break
		}
		m.pushTo(receiver, d, packed, MaxDatagram-space+pushOverhead)
	}
	m.finishRumours()
}

// pushIsDue reports whether the urgent rumours go out now. Statuses wait for the end of the window after the last push,
// and all wait for the next tick when little of the budget is left.
func (m *Module) pushIsDue(tick bool) bool {
	if !tick && m.rumours.tokens < pushBurst/2 {
		return false
	}
	return m.rumours.pushNumber || m.now.Sub(m.rumours.pushed) >= statusWindow ||
		slices.ContainsFunc(m.rumours.urgent, (*rumour).forbids)
}

// forbids reports whether the rumour tells of a change after which requests must not go to a target any more. The death
// of a node is not among them: each node that knows of the suspicion finds it out by itself.
func (r *rumour) forbids() bool { return r.withRecord || r.entry.status == StatusLeft }

// packUrgent adds the urgent rumours that fit and returns them, the others and the space that is left.
func (m *Module) packUrgent(d *Datagram, space int) (packed, rest []*rumour, left int) {
	for _, r := range m.rumours.urgent {
		var added bool
		if space, added = m.addRumour(d, m.textOf(r), space); added {
			packed = append(packed, r)
		} else {
			rest = append(rest, r)
		}
	}
	return packed, rest, space
}

// pushTo sends a push; size is its number of bytes with headers.
func (m *Module) pushTo(receiver *entry, d *Datagram, packed []*rumour, size int) {
	sent := *d
	sent.To = receiver.key
	for _, r := range packed {
		r.sends++
		r.rank++
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
