package purse

import (
	"cmp"
	"slices"
	"time"
)

const (
	// connBytes is the memory of a connection without a request: stack, buffers and bookkeeping.
	connBytes = 16 << 10
	// leastRate is the rate in bytes per second below which a client counts as slow.
	leastRate = 4 << 10
	// leastStall protects connections that have only just begun to wait for their client, but for those of service listeners:
	// their requests are over within milliseconds, and a flood must not keep a new one out.
	leastStall = 100 * time.Millisecond
	// longestStall bounds the wait for a client that does not read, also while there is room.
	longestStall = 30 * time.Second
	// batchShare is the fraction of a bound that is freed at once, so that the connections are not searched for each.
	batchShare = 16
	// outboundClass takes the place of the listener of outbound connections.
	outboundClass = "outbound"
)

// Module decides which connections a node keeps; it is not safe for concurrent use.
type Module struct {
	budget Budget
	conns  map[uint64]*conn
	held   int64
	// unfinished is the part of held that is held for unfinished messages of callers and other nodes.
	unfinished int64
	// peers is what the connections of each remote address hold, in bytes.
	peers map[string]int64
	// counts is the number of connections per listener, and that of outbound ones.
	counts map[string]int
}

// conn is one connection.
type conn struct {
	id       uint64
	listener string
	peer     string
	outbound bool
	phase    Phase
	// since is when the phase began; debt is how much longer than leastRate allows the request waited for its client before.
	since time.Time
	debt  time.Duration
	held  int64
}

// NewModule returns a module without connections.
func NewModule(b Budget) *Module {
	return &Module{budget: b, conns: make(map[uint64]*conn), peers: make(map[string]int64), counts: make(map[string]int)}
}

// Held returns the bytes held for all connections.
func (m *Module) Held() int64 { return m.held }

// Open returns the number of connections, outbound ones included.
func (m *Module) Open() int { return len(m.conns) }

// Update applies the message and returns what to do; connections in a CloseCmd are forgotten at once.
func (m *Module) Update(msg Msg) []Cmd {
	switch msg := msg.(type) {
	case OpenedMsg:
		return m.opened(msg)
	case ClosedMsg:
		if c := m.conns[msg.ID]; c != nil {
			m.forget(c)
		}
	case PhaseMsg:
		if c := m.conns[msg.ID]; c != nil {
			m.countUnfinished(c, -c.held)
			c.enter(msg)
			m.countUnfinished(c, c.held)
		}
	case HeldMsg:
		if c := m.conns[msg.ID]; c != nil {
			return m.hold(c, msg)
		}
	case ReleasedMsg:
		if c := m.conns[msg.ID]; c != nil {
			m.add(c, connBytes-c.held)
		}
	case TickMsg:
		return m.closeStalled(msg.Now)
	}
	return nil
}

func (m *Module) opened(msg OpenedMsg) []Cmd {
	c := &conn{id: msg.ID, listener: msg.Listener, peer: msg.Peer, outbound: msg.Outbound, since: msg.Now, phase: PhaseHead}
	if c.outbound {
		c.listener, c.phase = outboundClass, PhaseWork
	}
	cmds, ok := m.makeSocket(c, msg.Now)
	if !ok {
		return append(cmds, RefuseCmd{ID: c.id, Listener: c.listener, Peer: c.peer, Reason: ReasonConnections})
	}
	m.conns[c.id] = c
	m.counts[c.listener]++
	m.add(c, connBytes)
	return append(cmds, m.free(c, msg.Now)...)
}

// makeSocket closes connections until there is one for c, or reports that there is none.
func (m *Module) makeSocket(c *conn, now time.Time) (cmds []Cmd, ok bool) {
	if m.budget.Sockets == 0 {
		return nil, true
	}
	if bound := m.budget.listenerSockets(c.listener); !c.outbound && m.counts[c.listener] >= bound {
		cmds = m.closeConns(1+bound/batchShare, now, func(other *conn) bool { return other.listener == c.listener })
		if len(cmds) == 0 {
			return nil, false
		}
	}
	if isService(c.listener) && !c.outbound {
		return cmds, true
	}
	bound := m.budget.sharedSockets()
	if c.outbound {
		bound += m.budget.serviceSockets() / 2 // A request that was admitted needs it.
	}
	if m.shared() >= bound {
		more := m.closeConns(1+bound/batchShare, now, func(other *conn) bool { return !isService(other.listener) })
		cmds, ok = append(cmds, more...), len(more) > 0
		return cmds, ok
	}
	return cmds, true
}

// shared returns the number of connections that share a bound.
func (m *Module) shared() int {
	return m.counts[Callers] + m.counts[Relay] + m.counts[outboundClass]
}

// hold adds to what the connection holds and makes room for it.
func (m *Module) hold(c *conn, msg HeldMsg) []Cmd {
	if msg.Starts && c.listener == Callers && m.budget.Sockets > 0 && m.shared() >= m.budget.sharedSockets() {
		// A request of a caller goes on over another connection.
		cmds := m.closeConns(1, msg.Now, func(other *conn) bool { return other != c && !isService(other.listener) })
		if len(cmds) == 0 {
			return []Cmd{RefuseCmd{ID: c.id, Listener: c.listener, Peer: c.peer, Reason: ReasonConnections}}
		}
		return append(cmds, m.holdBytes(c, msg)...)
	}
	return m.holdBytes(c, msg)
}

func (m *Module) holdBytes(c *conn, msg HeldMsg) []Cmd {
	m.add(c, msg.Bytes)
	if msg.Bytes <= 0 {
		return nil
	}
	cmds := m.free(c, msg.Now)
	if !m.over(c) || isService(c.listener) || m.conns[c.id] == nil {
		return cmds
	}
	if msg.MayRefuse {
		m.add(c, -msg.Bytes) // What was there before stays.
		return append(cmds, RefuseCmd{ID: c.id, Listener: c.listener, Peer: c.peer, Reason: ReasonMemory})
	}
	return append(cmds, m.close(c, ReasonMemory, msg.Now))
}

func (m *Module) over(c *conn) bool {
	return m.budget.Bytes > 0 && m.held > m.budget.bytesFor(c.listener)
}

// isCrowded reports whether unfinished messages hold more than their part of the budget.
func (m *Module) isCrowded() bool {
	return m.budget.Bytes > 0 && m.unfinished > m.budget.unfinishedBytes()
}

// free closes connections until the budget holds, but not the one that asks: first those with unfinished messages while these hold
// more than their part of it.
func (m *Module) free(asking *conn, now time.Time) (cmds []Cmd) {
	if !m.over(asking) {
		return nil
	}
	enough := m.budget.bytesFor(asking.listener) - m.budget.Bytes/batchShare
	closeWhile := func(goesOn func() bool, eligible func(*conn) bool) {
		for _, c := range m.victims(now, func(c *conn) bool { return c != asking && eligible(c) }) {
			if m.held <= enough || !goesOn() {
				return
			}
			cmds = append(cmds, m.close(c, reasonOf(c.phase), now))
		}
	}
	closeWhile(m.isCrowded, (*conn).isUnfinished)
	closeWhile(func() bool { return true }, func(*conn) bool { return true })
	return cmds
}

// closeConns closes up to n eligible connections.
func (m *Module) closeConns(n int, now time.Time, eligible func(*conn) bool) (cmds []Cmd) {
	victims := m.victims(now, eligible)
	for _, c := range victims[:min(n, len(victims))] {
		cmds = append(cmds, m.close(c, reasonOf(c.phase), now))
	}
	return cmds
}

func (m *Module) closeStalled(now time.Time) (cmds []Cmd) {
	for _, c := range m.conns {
		if c.phase == PhaseWrite && c.stall(now) > longestStall {
			cmds = append(cmds, m.close(c, ReasonSlowReader, now))
		}
	}
	slices.SortFunc(cmds, func(a, b Cmd) int { return cmp.Compare(a.(CloseCmd).ID, b.(CloseCmd).ID) })
	return cmds
}

// victims returns the connections that wait for their clients, the costliest and slowest first.
func (m *Module) victims(now time.Time, eligible func(*conn) bool) []*conn {
	var found []*conn
	for _, c := range m.conns {
		waits := !c.outbound && c.phase != PhaseWork
		if waits && !m.isProtected(c, now) && eligible(c) {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(a, b *conn) int {
		return cmp.Or(cmp.Compare(m.cost(b, now), m.cost(a, now)), cmp.Compare(a.id, b.id))
	})
	return found
}

// cost weighs what the connection holds by its stall and by the share of its remote address, so that among several
// addresses the greediest pays first while callers that all come from one address are treated alike.
func (m *Module) cost(c *conn, now time.Time) float64 {
	return float64(c.held) * c.stall(now).Seconds() * (1 + float64(m.peers[c.peer])/float64(max(1, m.held)))
}

func (m *Module) close(c *conn, reason Reason, now time.Time) Cmd {
	m.forget(c)
	return CloseCmd{ID: c.id, Listener: c.listener, Peer: c.peer, Reason: reason, Held: c.held, Stall: c.stall(now)}
}

func (m *Module) forget(c *conn) {
	delete(m.conns, c.id)
	m.counts[c.listener]--
	held := c.held
	m.add(c, -held)
	c.held = held
}

// add changes what the connection holds. The memory of outbound connections is part of the requests that use them.
func (m *Module) add(c *conn, bytes int64) {
	if c.outbound {
		return
	}
	c.held += bytes
	m.held += bytes
	m.countUnfinished(c, bytes)
	if m.peers[c.peer] += bytes; m.peers[c.peer] <= 0 {
		delete(m.peers, c.peer)
	}
}

// countUnfinished adds the bytes to those held for unfinished messages if the connection has one.
func (m *Module) countUnfinished(c *conn, bytes int64) {
	if c.isUnfinished() {
		m.unfinished += bytes
	}
}

// isUnfinished reports whether the connection waits for the rest of a message that counts toward their part of the budget.
func (c *conn) isUnfinished() bool {
	return (c.phase == PhaseHead || c.phase == PhaseBody) && !c.outbound && !isService(c.listener)
}

func (c *conn) enter(msg PhaseMsg) {
	switch {
	case msg.Phase == PhaseIdle || c.phase == PhaseIdle:
		c.debt = 0
	case c.phase != PhaseWork:
		allowed := time.Duration(msg.Bytes) * time.Second / leastRate
		c.debt = max(0, c.debt+msg.Now.Sub(c.since)-allowed)
	}
	c.phase, c.since = msg.Phase, msg.Now
}

// isProtected reports whether the connection may not be closed yet, although it waits for its client, since it has only just begun
// to. A crowd that returns as soon as it is closed is always young, so that its age does not protect it.
func (m *Module) isProtected(c *conn, now time.Time) bool {
	if isService(c.listener) || c.isUnfinished() && m.isCrowded() {
		return false
	}
	return c.stall(now) < leastStall
}

// stall returns how much longer than leastRate allows the connection waits for its client.
func (c *conn) stall(now time.Time) time.Duration {
	if c.phase == PhaseWork {
		return c.debt
	}
	return c.debt + now.Sub(c.since)
}

func reasonOf(p Phase) Reason {
	switch p {
	case PhaseHead:
		return ReasonSlowHead
	case PhaseBody:
		return ReasonSlowBody
	case PhaseWrite:
		return ReasonSlowReader
	default:
		return ReasonIdle
	}
}
