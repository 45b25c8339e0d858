package member

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/stretchr/testify/require"
)

const (
	simRegions          = 3
	simDomainsPerRegion = 3
	// Headers of IP and UDP plus the authentication of a datagram.
	simDatagramOverhead = 28 + 17
	// Packets that open and close a connection, the handshake, and the frames and segments of one call, in bytes.
	simCallOverhead = 360 + 4*52 + 132 + 4*52 + 4*20 + 40
)

// simNode is one run of a node in the simulated fleet.
type simNode struct {
	module  *Module
	node    model.Node
	up      bool
	paused  bool
	held    []func()
	sent    int
	got     int
	applies bool
	changes simChanges
}

// sim runs modules over a network with delays, losses and cuts; equal seeds give equal runs.
type sim struct {
	t      require.TestingT
	now    time.Time
	start  time.Time
	random *rand.Rand
	events simEvents
	nodes  []*simNode
	byAddr map[string]*simNode
	cut    func(from, to *simNode) bool
	loss   float64
	busy   time.Duration
	// datagrams counts those sent, crossed the bytes sent to another region.
	datagrams int
	crossed   int
	parts     simParts
}

// simParts counts the bytes sent by what they carry.
type simParts map[string]int

func (p simParts) String() string {
	names := slices.Sorted(maps.Keys(p))
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, p[name])
	}
	return strings.Join(names, ", ")
}

// datagram splits the bytes of a datagram into those of its rumours and the rest.
func (p simParts) datagram(d *Datagram, size int) {
	kind := "pings"
	if d.Kind == KindPush {
		kind = "pushes"
	}
	for i := range d.Rumours {
		r := &d.Rumours[i]
		what := r.Status.String()
		if len(r.Record) > 0 {
			what = "records"
		}
		p[kind+" "+what] += r.size()
		size -= r.size()
	}
	for i := range d.Statuses {
		list := len(d.Statuses[i].Entries) + statusListOverhead
		p[kind+" "+d.Statuses[i].Status.String()] += list
		size -= list
	}
	p[kind+" headers"] += size
}

// call splits the bytes of a call by the type of its content.
func (p simParts) call(value any, size int) {
	name := strings.TrimPrefix(fmt.Sprintf("%T", value), "member.")
	if reply, ok := value.(SyncReplyCmd); ok && len(reply.Reply.Rumours) > 0 {
		name = "joins"
	}
	p[name] += size
	p["call headers"] += simCallOverhead / 2
}

// Pauses of the shell between two snapshots after changes of content and of ticket numbers.
const (
	simContentPause = 50 * time.Millisecond
	simNumberPause  = time.Second
)

// simChanges counts the snapshots that the shell would publish.
type simChanges struct {
	content, numbers         int
	lastContent, lastNumbers time.Time
}

func (c *simChanges) note(now time.Time, content bool) {
	switch {
	case content && now.Sub(c.lastContent) >= simContentPause:
		c.content++
		c.lastContent = now
	case !content && now.Sub(c.lastContent) >= simContentPause && now.Sub(c.lastNumbers) >= simNumberPause:
		c.numbers++
		c.lastNumbers = now
	}
}

type simEvent struct {
	at    time.Time
	order uint64
	run   func()
}

type simEvents struct {
	list  []simEvent
	count uint64
}

func (e *simEvents) Len() int { return len(e.list) }
func (e *simEvents) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return a.at.Before(b.at) || (a.at.Equal(b.at) && a.order < b.order)
}
func (e *simEvents) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *simEvents) Push(x any)    { e.list = append(e.list, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := len(e.list) - 1
	x := e.list[last]
	e.list = e.list[:last]
	return x
}

func newSim(t require.TestingT, seed uint64) *sim {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &sim{
		t: t, now: start, start: start, random: rand.New(rand.NewPCG(seed, 1)),
		byAddr: make(map[string]*simNode), parts: simParts{}, cut: func(_, _ *simNode) bool { return false },
	}
}

func simModel(i int, incarnation uint64) model.Node {
	region := i % simRegions
	domain := region*simDomainsPerRegion + i/simRegions%simDomainsPerRegion
	address := fmt.Sprintf("10.%d.%d.%d:7400", domain, i/250, i%250)
	return model.Node{
		Ref:    model.NodeRef{ID: fmt.Sprintf("vm-%04d", i), Incarnation: incarnation},
		Domain: fmt.Sprintf("domain-%d", domain), Region: fmt.Sprintf("region-%d", region),
		PeerAddress: address, RelayAddress: address[:len(address)-1] + "1", CallerAddress: address[:len(address)-1] + "2",
	}
}

// simIncarnation spreads the starts of targets over a day, in microseconds, so that records do not compress better than
// real ones.
func simIncarnation(i, j int) uint64 {
	return 1<<50 + digest(uint64(i), uint64(j))%uint64((24*time.Hour).Microseconds())
}

func simTargets(i, n int) []model.Target {
	targets := make([]model.Target, n)
	for j := range targets {
		targets[j] = model.Target{
			Ref:   model.TargetRef{Service: fmt.Sprintf("service-%03d", (i*n+j)%170), ID: fmt.Sprintf("t%04d-%02d", i, j), Incarnation: simIncarnation(i, j)},
			Slots: 7, State: model.TargetServing,
		}
	}
	return targets
}

// add starts a run of node i; an earlier run at the same address ends.
func (s *sim) add(i int) *simNode {
	return s.addRun(i, uint64(s.now.UnixMicro()))
}

func (s *sim) addRun(i int, incarnation uint64) *simNode {
	n := &simNode{node: simModel(i, incarnation), up: true, applies: true}
	if old := s.byAddr[n.node.PeerAddress]; old != nil {
		old.up = false
	}
	n.module = New(Config{Self: n.node, Seed: s.random.Uint64(), Now: s.now})
	s.nodes = append(s.nodes, n)
	s.byAddr[n.node.PeerAddress] = n
	s.after(time.Duration(s.random.Int64N(int64(TickInterval))), func() { s.tick(n) })
	return n
}

func (s *sim) tick(n *simNode) {
	if !n.up {
		return
	}
	if !n.paused {
		s.update(n, TickMsg{Now: s.now})
	}
	s.after(TickInterval, func() { s.tick(n) })
}

func (s *sim) after(d time.Duration, run func()) {
	s.events.count++
	heap.Push(&s.events, simEvent{at: s.now.Add(d), order: s.events.count, run: run})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for s.events.Len() > 0 && !s.events.list[0].at.After(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// runUntil returns how long the condition took, checked every 100 ms, and fails after the limit.
func (s *sim) runUntil(limit time.Duration, what string, holds func() bool) time.Duration {
	start := s.now
	for !holds() {
		if s.now.Sub(start) >= limit {
			require.Fail(s.t, what+" does not hold in time", s.dump())
		}
		s.run(100 * time.Millisecond)
	}
	return s.now.Sub(start)
}

func (s *sim) update(n *simNode, msg Msg) (reply Cmd) {
	start := time.Now()
	cmds := n.module.Update(msg)
	s.busy += time.Since(start)
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case SendCmd:
			s.send(n, cmd)
		case SyncCmd:
			s.call(n, cmd.Address, cmd.Request, func(to *simNode) Msg { return SyncRequestMsg{Now: s.now, Request: cmd.Request} },
				func(c Cmd) Msg { return SyncReplyMsg{Now: s.now, Address: cmd.Address, Reply: c.(SyncReplyCmd).Reply} })
		case FetchCmd:
			s.call(n, cmd.Address, cmd.Request, func(to *simNode) Msg { return FetchRequestMsg{Now: s.now, Request: cmd.Request} },
				func(c Cmd) Msg { return FetchReplyMsg{Now: s.now, Gossip: cmd.Gossip, Reply: c.(FetchReplyCmd).Reply} })
		case SyncReplyCmd, FetchReplyCmd:
			reply = cmd
		case TicketBehindCmd:
			s.fetchTicket(n, cmd)
		case ChangedCmd:
			n.changes.note(s.now, cmd.Content)
		case RefusedCmd:
			require.ErrorIs(s.t, cmd.Err, ErrStale)
		}
	}
	return reply
}

// fetchTicket applies a larger number after the time of a call, as the ticket module does.
func (s *sim) fetchTicket(n *simNode, cmd TicketBehindCmd) {
	if !n.applies {
		return
	}
	s.after(100*time.Millisecond, func() {
		if n.up && !n.paused {
			local := n.module.local
			local.Ticket = max(local.Ticket, cmd.Number)
			s.update(n, LocalMsg{Now: s.now, Local: local})
		}
	})
}

func (s *sim) delay(a, b *simNode) time.Duration {
	switch {
	case a.node.Region != b.node.Region:
		return 12 * time.Millisecond
	case a.node.Domain != b.node.Domain:
		return time.Millisecond
	default:
		return 200 * time.Microsecond
	}
}

func (s *sim) send(n *simNode, cmd SendCmd) {
	start := time.Now()
	data, err := EncodeDatagram(cmd.Datagram)
	s.busy += time.Since(start)
	require.NoError(s.t, err)
	require.LessOrEqual(s.t, len(data), MaxDatagram)
	n.sent += len(data) + simDatagramOverhead
	to := s.byAddr[cmd.Address]
	s.datagrams++
	s.parts.datagram(cmd.Datagram, len(data)+simDatagramOverhead)
	s.cross(n, to, len(data)+simDatagramOverhead)
	if to == nil || s.cut(n, to) || s.random.Float64() < s.loss {
		return
	}
	s.after(s.delay(n, to), func() {
		s.deliver(to, func() {
			to.got += len(data) + simDatagramOverhead
			start := time.Now()
			d, err := DecodeDatagram(data)
			s.busy += time.Since(start)
			require.NoError(s.t, err)
			s.update(to, DatagramMsg{Now: s.now, Source: n.node.PeerAddress, Datagram: d})
		})
	})
}

// deliver holds what reaches a paused node, as its socket buffer does.
func (s *sim) deliver(to *simNode, run func()) {
	switch {
	case !to.up:
	case to.paused:
		to.held = append(to.held, run)
	default:
		run()
	}
}

func (s *sim) resume(n *simNode) {
	n.paused = false
	for _, run := range n.held[:min(len(n.held), 100)] {
		run()
	}
	n.held = nil
}

// call carries a remote procedure call; it needs both directions of the path.
func (s *sim) call(n *simNode, address string, request any, ask func(*simNode) Msg, answer func(Cmd) Msg) {
	to := s.byAddr[address]
	if to == nil || !to.up || to.paused || s.cut(n, to) || s.cut(to, n) {
		return
	}
	s.after(5*s.delay(n, to), func() {
		if !to.up || to.paused {
			return
		}
		size := s.encodedSize(request)
		n.sent, to.got = n.sent+size+simCallOverhead/2, to.got+size+simCallOverhead/2
		s.cross(n, to, size+simCallOverhead/2)
		s.parts.call(request, size)
		reply := s.update(to, ask(to))
		if reply == nil {
			return
		}
		size = s.encodedSize(reply)
		s.after(s.delay(n, to), func() {
			to.sent, n.got = to.sent+size+simCallOverhead/2, n.got+size+simCallOverhead/2
			s.cross(to, n, size+simCallOverhead/2)
			s.parts.call(reply, size)
			if n.up && !n.paused {
				s.update(n, answer(reply))
			}
		})
	})
}

func (s *sim) cross(from, to *simNode, size int) {
	if to != nil && from.node.Region != to.node.Region {
		s.crossed += size
	}
}

func (s *sim) encodedSize(value any) int {
	start := time.Now()
	size := len(must(encoding.Marshal(value)))
	s.busy += time.Since(start)
	return size
}

// join lets a node take over the records of another one.
func (s *sim) join(n, seed *simNode) {
	s.update(n, JoinMsg{Now: s.now, Address: seed.node.PeerAddress})
}

// fleet starts n nodes that know each other already, with the targets of the design size in proportion.
func (s *sim) fleet(n, targets int) {
	for i := range n {
		node := s.add(i)
		s.update(node, BootstrapMsg{Now: s.now})
		s.update(node, LocalMsg{Now: s.now, Local: LocalState{Ticket: 1, Targets: simTargets(i, targets)}})
	}
	s.run(2 * time.Second)
	var all FetchReply
	for _, node := range s.nodes {
		all.Rumours = append(all.Rumours, node.module.rumourOf(node.module.self, true, false))
	}
	for _, node := range s.nodes {
		s.update(node, FetchReplyMsg{Now: s.now, Reply: all})
	}
}

func (s *sim) running() []*simNode {
	var nodes []*simNode
	for _, n := range s.nodes {
		if n.up && !n.paused {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// agree reports whether all running nodes hold the same records and see exactly the running nodes alive.
func (s *sim) agree() bool {
	running := s.running()
	for _, n := range running {
		if n.module.table.root() != running[0].module.table.root() || n.module.table.alive != len(running) {
			return false
		}
	}
	return true
}

// settled also requires that no rumour is under way, so that traffic is that of the steady state.
func (s *sim) settled() bool {
	for _, n := range s.running() {
		if len(n.module.rumours.pending) > 0 || len(n.module.rumours.numbers) > 0 {
			return false
		}
	}
	return s.agree()
}

func (s *sim) resetCounters() {
	s.busy, s.datagrams, s.crossed = 0, 0, 0
	clear(s.parts)
	for _, n := range s.nodes {
		n.sent, n.got, n.changes = 0, 0, simChanges{}
	}
}

// dump lists what each running node believes, for the message of a failed test.
func (s *sim) dump() string {
	var out strings.Builder
	for _, n := range s.running() {
		fmt.Fprintf(&out, "%s joined=%v:", n.module.Self().Ref, n.module.joined)
		for _, e := range n.module.table.sorted {
			fmt.Fprintf(&out, " %s/%d/%d/%s", e.record.Node.Ref.ID, e.record.Version, e.record.ContentVersion, e.status)
		}
		out.WriteString("\n")
	}
	return out.String()
}
