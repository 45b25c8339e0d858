package member

import (
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/rotisserie/eris"
)

const (
	probeInterval = time.Second
	// ackTimeout is far above the round trip between regions of 24 ms and leaves the rest of the interval for indirect
	// probes.
	ackTimeout     = 400 * time.Millisecond
	indirectProbes = 3
	// suspectFor is the time in which a suspected node can refute.
	suspectFor = 4 * time.Second
	// tombstoneAge is how long a dead node is remembered.
	tombstoneAge = time.Hour
	// tombstoneProbeInterval is the time between probes of dead nodes, which rejoin the two sides of a partition.
	tombstoneProbeInterval = 5 * time.Second
	tombstoneSweepInterval = 10 * time.Second
	// maxRelayed bounds the ping-requests in progress for other nodes.
	maxRelayed = 256
)

// ErrStale reports a datagram for or from an earlier run of a node.
var ErrStale = eris.New("datagram concerns an earlier run of a node; no action is needed")

// probeState is the state of the failure detector.
type probeState struct {
	next          time.Time
	nextTombstone time.Time
	nextSweep     time.Time
	lastTick      time.Time
	sequence      uint64
	order         []*entry
	pending       *pendingProbe
	relayed       []relayedPing
}

type pendingProbe struct {
	target   *entry
	sequence uint64
	sent     time.Time
	indirect bool
}

// relayedPing is a ping on behalf of another node.
type relayedPing struct {
	sequence  uint64
	requester string
	answer    uint64
	until     time.Time
}

// probe pings the next node and asks others to ping a node that does not answer.
func (m *Module) probe() {
	p := m.probes.pending
	if p != nil && !p.indirect && m.now.Sub(p.sent) >= ackTimeout {
		m.probeIndirectly(p)
	}
	if m.now.Before(m.probes.next) {
		return
	}
	m.probes.next = m.now.Add(probeInterval)
	m.dropRelayed()
	if p != nil {
		m.suspect(p.target)
	}
	m.probes.pending = nil
	if e := m.nextProbe(); e != nil {
		m.probes.pending = &pendingProbe{target: e, sequence: m.ping(e, e.key), sent: m.now}
	}
}

// ping sends a ping with the receiver's own state first when it is under suspicion, so that it can refute.
func (m *Module) ping(e *entry, to uint64) uint64 {
	m.probes.sequence++
	d := &Datagram{Kind: KindPing, To: to, Sequence: m.probes.sequence}
	m.send(e.record.Node.PeerAddress, d, e)
	return m.probes.sequence
}

func (m *Module) probeIndirectly(p *pendingProbe) {
	p.indirect = true
	target := &PingTarget{Key: p.target.key, Address: p.target.record.Node.PeerAddress}
	for _, helper := range m.choose(indirectProbes, func(e *entry) bool { return e != p.target }) {
		d := &Datagram{Kind: KindPingRequest, To: helper.key, Sequence: p.sequence, Target: target}
		m.send(helper.record.Node.PeerAddress, d, helper)
	}
}

// nextProbe goes round a shuffled list, so that every node is probed within one round.
func (m *Module) nextProbe() *entry {
	for range 2 {
		for len(m.probes.order) > 0 {
			last := len(m.probes.order) - 1
			e := m.probes.order[last]
			m.probes.order = m.probes.order[:last]
			if !e.status.gone() && m.table.byKey[e.key] == e {
				return e
			}
		}
		for _, e := range m.table.sorted {
			if e != m.self && !e.status.gone() {
				m.probes.order = append(m.probes.order, e)
			}
		}
		order := m.probes.order
		m.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	}
	return nil
}

// insertProbe puts a new node at a random place of the current round. If it waited for the next round, a node that
// fails soon after its start would not be probed for up to n seconds.
func (m *Module) insertProbe(e *entry) {
	m.probes.order = slices.Insert(m.probes.order, m.random.IntN(len(m.probes.order)+1), e)
}

func (m *Module) suspect(e *entry) {
	if e.status != StatusAlive || m.table.byKey[e.key] != e {
		return
	}
	m.counts.Suspected++
	m.table.setStatus(e, StatusSuspect, m.now)
	m.table.refresh(e)
	m.contentChanged = true
	m.spread(e, false, true)
	m.ping(e, e.key)
}

func (m *Module) expireSuspicions() {
	for _, e := range m.table.sorted {
		if e.status == StatusSuspect && m.now.Sub(e.since) >= suspectFor {
			m.counts.Died++
			m.table.setStatus(e, StatusDead, m.now)
			m.table.refresh(e)
			m.contentChanged = true
			m.spread(e, false, true)
		}
	}
}

func (m *Module) expireTombstones() {
	if m.now.Before(m.probes.nextSweep) {
		return
	}
	m.probes.nextSweep = m.now.Add(tombstoneSweepInterval)
	var expired []*entry
	for _, e := range m.table.sorted {
		if e.status.gone() && e != m.self && m.now.Sub(e.since) >= tombstoneAge {
			expired = append(expired, e)
		}
	}
	for _, e := range expired {
		m.dropRumour(e)
		m.table.remove(e)
		m.contentChanged = true
	}
	for len(m.departed) > 0 && !m.departed[0].until.After(m.now) {
		m.departed = m.departed[1:]
		m.contentChanged = true
	}
}

// probeTombstone pings a dead node, which refutes if it runs after all.
func (m *Module) probeTombstone() {
	if m.now.Before(m.probes.nextTombstone) {
		return
	}
	m.probes.nextTombstone = m.now.Add(tombstoneProbeInterval)
	var dead []*entry
	for _, e := range m.table.sorted {
		if e.status == StatusDead && e != m.self {
			dead = append(dead, e)
		}
	}
	if len(dead) > 0 {
		// The address may have a new owner, so the ping is open to any node.
		m.ping(dead[m.random.IntN(len(dead))], 0)
	}
}

// receive processes a datagram.
func (m *Module) receive(msg DatagramMsg) {
	d := msg.Datagram
	sender := m.table.byID(d.From.ID)
	if !m.isCurrent(d, sender) {
		m.refuse(msg.Source, ErrStale, "from "+d.From.String())
		return
	}
	for i := range d.Rumours {
		m.apply(&d.Rumours[i], msg.Source, true)
	}
	m.applyStatuses(d.Statuses, msg.Source)
	m.applyNumbers(d.TicketLists)
	sender = m.table.byKey[refKey(d.From)]
	if sender == nil {
		m.fetchUnknown(msg.Source, refKey(d.From))
	} else {
		m.noteNumber(sender, d.Ticket, false)
		m.noteBehind(sender.record.Node, d.Ticket)
		m.compareRoot(d.Root, sender.record.Node.PeerAddress)
	}
	m.react(d, msg.Source, sender)
}

func (m *Module) isCurrent(d *Datagram, sender *entry) bool {
	if d.To != 0 && d.To != m.self.key {
		return false
	}
	if sender == m.self {
		if d.From.Incarnation > m.self.record.Node.Ref.Incarnation {
			m.meetOwnID(&NodeRecord{Node: model.Node{Ref: d.From}})
		}
		return false
	}
	return sender == nil || d.From.Incarnation >= sender.record.Node.Ref.Incarnation
}

func (m *Module) react(d *Datagram, source string, sender *entry) {
	switch d.Kind {
	case KindPing:
		m.send(source, &Datagram{Kind: KindAck, Sequence: d.Sequence, To: refKey(d.From)}, sender)
	case KindAck:
		m.acknowledge(d.Sequence)
	case KindPingRequest:
		m.relayPing(d, source)
	case KindPush:
		if sender != nil && sender.status.gone() {
			m.ping(sender, sender.key)
		}
	}
}

func (m *Module) acknowledge(sequence uint64) {
	if p := m.probes.pending; p != nil && p.sequence == sequence {
		m.probes.pending = nil
		return
	}
	for i, r := range m.probes.relayed {
		if r.sequence == sequence {
			m.probes.relayed = append(m.probes.relayed[:i], m.probes.relayed[i+1:]...)
			m.send(r.requester, &Datagram{Kind: KindAck, Sequence: r.answer}, nil)
			return
		}
	}
}

func (m *Module) relayPing(d *Datagram, requester string) {
	if len(m.probes.relayed) >= maxRelayed {
		return
	}
	m.probes.sequence++
	m.probes.relayed = append(m.probes.relayed, relayedPing{
		sequence: m.probes.sequence, requester: requester, answer: d.Sequence, until: m.now.Add(probeInterval),
	})
	ping := &Datagram{Kind: KindPing, To: d.Target.Key, Sequence: m.probes.sequence}
	m.send(d.Target.Address, ping, m.table.byKey[d.Target.Key])
}

func (m *Module) dropRelayed() {
	kept := m.probes.relayed[:0]
	for _, r := range m.probes.relayed {
		if r.until.After(m.now) {
			kept = append(kept, r)
		}
	}
	m.probes.relayed = kept
}

// choose returns up to n distinct random nodes that are alive and pass the filter.
func (m *Module) choose(n int, keep func(*entry) bool) []*entry {
	var candidates []*entry
	for _, e := range m.table.sorted {
		if e != m.self && e.status == StatusAlive && keep(e) {
			candidates = append(candidates, e)
		}
	}
	n = min(n, len(candidates))
	for i := range n {
		j := i + m.random.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:n]
}

func anyNode(*entry) bool { return true }
