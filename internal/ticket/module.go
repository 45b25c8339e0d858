package ticket

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// SnapshotEvery is the number of tickets between two snapshots. At 750 tickets a day it makes 15 snapshots a day, and a
// starting node reads at most 49 tickets after one.
const SnapshotEvery = 50

const (
	moduleName = "ticket"
	// startPeers is the number of peers that a starting node asks in addition to the platform.
	startPeers = 3
	// startWait bounds how long a starting node waits for sources that do not answer.
	startWait = 5 * time.Second
	// maxPending bounds the tickets buffered behind a missing one; the missing one is fetched in any case.
	maxPending = 256
	// maxLogTickets and maxLogRoutes bound the applied tickets kept for peers; a peer that is further behind gets a
	// snapshot.
	maxLogTickets = 64
	maxLogRoutes  = 10_000
)

// Config configures a Module.
type Config struct {
	// Random spreads the reads of the nodes over time; nil selects a fixed seed.
	Random *rand.Rand
	// Initial is the configuration to start from; nil selects an empty one.
	Initial *model.Configuration
}

// Module decides which configuration is in force; it is not safe for concurrent use.
type Module struct {
	now     time.Time
	current *model.Configuration
	head    uint64
	pending map[uint64]pendingTicket
	applied []digestedTicket
	reads   readSchedule
	catchUp catchUp
	startup startup
}

// digestedTicket is a ticket with its digest.
type digestedTicket struct {
	ticket model.Ticket
	digest string
}

// pendingTicket is a ticket that arrived before one of its predecessors.
type pendingTicket struct {
	digestedTicket
	source Source
}

// New returns a Module that holds the initial configuration.
func New(c Config) *Module {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 1))
	}
	if c.Initial == nil {
		c.Initial = &model.Configuration{}
	}
	return &Module{
		current: c.Initial,
		pending: make(map[uint64]pendingTicket),
		reads:   readSchedule{random: c.Random},
		startup: newStartup(),
	}
}

// Configuration returns the configuration in force; it must not be modified.
func (m *Module) Configuration() *model.Configuration {
	return m.current
}

// Head returns the largest ticket number that the node knows of, whether it is in force here or not.
func (m *Module) Head() uint64 {
	return max(m.head, m.current.Number)
}

// Ready reports whether the platform and enough peers have answered for the node to serve callers.
func (m *Module) Ready() bool {
	return m.startup.done
}

// After returns the tickets that a peer at the given number is missing, or a snapshot if those tickets are no longer
// kept or are larger than the snapshot.
func (m *Module) After(number uint64) BatchMsg {
	batch := m.missingAfter(number)
	batch.Starting = !m.startup.done
	return batch
}

func (m *Module) missingAfter(number uint64) BatchMsg {
	if number >= m.current.Number {
		return BatchMsg{}
	}
	first := slices.IndexFunc(m.applied, func(e digestedTicket) bool { return e.ticket.Number == number+1 })
	if first < 0 {
		return BatchMsg{Snapshot: m.current}
	}
	var batch BatchMsg
	routes := 0
	for _, e := range m.applied[first:] {
		batch.Tickets = append(batch.Tickets, e.ticket)
		routes += countRoutes(e.ticket.Services)
	}
	if routes > countRoutes(m.current.Services) {
		return BatchMsg{Snapshot: m.current}
	}
	return batch
}

// Update handles one message and returns the commands to execute.
func (m *Module) Update(msg Msg) []Cmd {
	before := m.current.Number
	cmds := m.handle(msg)
	invar.Check(m.current.Number >= before, moduleName, "number in force went from %d to %d", before, m.current.Number)
	return cmds
}

func (m *Module) handle(msg Msg) []Cmd {
	switch msg := msg.(type) {
	case TickMsg:
		return m.tick(msg.Now)
	case HeadMsg:
		return m.observeHead(msg)
	case BatchMsg:
		return m.merge(msg)
	case FailedMsg:
		return m.fail(msg.Source)
	case ReaderMsg:
		m.reads.setReader(msg.Reader, m.now)
	case PeersMsg:
		return m.startup.setPeers(msg.Peers, m.current.Number)
	}
	return nil
}

func (m *Module) tick(now time.Time) []Cmd {
	m.now = now
	var cmds []Cmd
	if m.reads.due(now) {
		cmds = append(cmds, ReadHeadCmd{})
	}
	cmds = append(cmds, m.catchUp.next(now, m.current.Number)...)
	m.startup.tick(now)
	return cmds
}

func (m *Module) observeHead(msg HeadMsg) []Cmd {
	m.head = max(m.head, msg.Number)
	if msg.Number <= m.current.Number {
		m.startup.recordAnswer(msg.Source, msg.Source != Platform)
		return nil
	}
	m.catchUp.observe(msg.Source, msg.Number)
	return m.catchUp.next(m.now, m.current.Number)
}

func (m *Module) fail(source Source) []Cmd {
	cmds := m.startup.recordFailure(source, m.current.Number)
	m.catchUp.fail(source)
	return append(cmds, m.catchUp.next(m.now, m.current.Number)...)
}

func (m *Module) merge(msg BatchMsg) []Cmd {
	m.catchUp.finish(msg.Source)
	before := m.current
	var cmds []Cmd
	if msg.Snapshot != nil && msg.Snapshot.Number > m.current.Number {
		m.current = msg.Snapshot
		m.applied = nil
		cmds = append(cmds, m.saveSkipped(before.Number, msg.Source)...)
	}
	for _, t := range msg.Tickets {
		cmds = append(cmds, m.addPending(t, msg.Source)...)
	}
	cmds = append(cmds, m.drainPending()...)
	if m.current.Number > before.Number {
		cmds = append(cmds, ApplyCmd{Configuration: m.current})
	}
	if m.current == before {
		// A source that is behind its own announcement would otherwise be asked again without a pause.
		m.catchUp.fail(msg.Source)
	}
	m.startup.recordAnswer(msg.Source, msg.Starting)
	return append(cmds, m.catchUp.next(m.now, m.current.Number)...)
}

// addPending buffers a ticket until it can be applied; of two tickets with one number the platform's copy wins.
func (m *Module) addPending(t model.Ticket, source Source) []Cmd {
	digest, err := Digest(t)
	if err != nil {
		return []Cmd{RejectCmd{Source: source, Number: t.Number, Reason: "the ticket can't be encoded: " + err.Error()}}
	}
	if t.Number <= m.current.Number {
		return m.compareApplied(t.Number, digest, source)
	}
	if t.Number > m.current.Number+maxPending {
		m.catchUp.observe(source, t.Number)
		return nil
	}
	existing, found := m.pending[t.Number]
	if !found || source == Platform {
		m.pending[t.Number] = pendingTicket{digestedTicket: digestedTicket{ticket: t, digest: digest}, source: source}
	}
	if found && existing.digest != digest {
		return []Cmd{RejectCmd{Source: source, Number: t.Number, Reason: "two tickets of different content carry this number"}}
	}
	return nil
}

func (m *Module) compareApplied(number uint64, digest string, source Source) []Cmd {
	for _, e := range m.applied {
		if e.ticket.Number == number && e.digest != digest {
			return []Cmd{RejectCmd{Source: source, Number: number, Reason: "another ticket with this number is in force"}}
		}
	}
	return nil
}

// drainPending applies the buffered tickets that follow the configuration in force without a gap.
func (m *Module) drainPending() []Cmd {
	var cmds []Cmd
	for {
		next, found := m.pending[m.current.Number+1]
		if !found {
			break
		}
		invar.Check(next.ticket.Number == m.current.Number+1, moduleName, "ticket %d follows %d", next.ticket.Number, m.current.Number)
		m.current = Apply(m.current, next.ticket)
		m.logApplied(next.digestedTicket)
		if m.reads.reader && m.current.Number%SnapshotEvery == 0 {
			cmds = append(cmds, SaveSnapshotCmd{Configuration: m.current})
		}
	}
	for number := range m.pending {
		if number <= m.current.Number {
			delete(m.pending, number)
		}
	}
	return cmds
}

// saveSkipped saves a peer's snapshot that skipped a snapshot boundary, since the reader can't build the configuration
// at the boundary itself. Without it no snapshot is saved if all readers pass the boundary with snapshots of peers.
func (m *Module) saveSkipped(before uint64, source Source) []Cmd {
	if !m.reads.reader || source == Platform || before/SnapshotEvery == m.current.Number/SnapshotEvery {
		return nil
	}
	return []Cmd{SaveSnapshotCmd{Configuration: m.current}}
}

func (m *Module) logApplied(e digestedTicket) {
	m.applied = append(m.applied, e)
	routes := 0
	for i := len(m.applied) - 1; i >= 0; i-- {
		routes += countRoutes(m.applied[i].ticket.Services)
		if len(m.applied)-i > maxLogTickets || routes > maxLogRoutes {
			m.applied = slices.Clone(m.applied[i+1:])
			return
		}
	}
}

func countRoutes(services []model.ServiceSpec) int {
	n := 0
	for _, s := range services {
		n += len(s.Routes)
	}
	return n
}
