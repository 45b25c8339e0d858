package member

import (
	"math/rand/v2"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/rotisserie/eris"
)

// TickInterval is the time between two TickMsg.
const TickInterval = 100 * time.Millisecond

// pauseAfter is the gap between ticks from which the process is taken to have been paused. Its timers then ran out
// without a chance to hear from others, so they start again.
const pauseAfter = 2 * time.Second

// Config holds the parts from which New builds a module.
type Config struct {
	Self model.Node
	Seed uint64
	Now  time.Time
}

// Module decides about membership; it is not safe for concurrent use.
type Module struct {
	now    time.Time
	random *rand.Rand
	table  *table
	self   *entry
	local  LocalState
	joined bool

	own      ownState
	takeover takeover
	probes   probeState
	rumours  rumourState
	syncs    syncState
	behind   behindState
	// departed remembers the successors of runs whose node ID now has a later run.
	departed []formerRun

	cmds           []Cmd
	contentChanged bool
	numberChanged  bool
	snapshot       *Snapshot
	generation     uint64
	counts         Counts
}

// Counts are totals since the start, for the operators' dump.
type Counts struct {
	Suspected uint64 `json:"suspected"`
	Died      uint64 `json:"died"`
	Refuted   uint64 `json:"refuted"`
	Syncs     uint64 `json:"syncs"`
	Records   uint64 `json:"records"`
	Pushes    uint64 `json:"pushes"`
	// Deferred counts urgent updates that exceeded the budget of pushes and spread as ordinary rumours.
	Deferred uint64 `json:"deferred"`
}

// New returns a module that knows only its own node.
func New(c Config) *Module {
	m := &Module{
		now:    c.Now,
		random: rand.New(rand.NewPCG(c.Seed, refKey(c.Self.Ref))),
		table:  newTable(),
	}
	m.self = &entry{status: StatusAlive, key: refKey(c.Self.Ref), record: NodeRecord{Node: c.Self, Version: 1, ContentVersion: 1}}
	m.self.encoded = encodeRecord(&m.self.record)
	m.table.insert(m.self)
	m.startTimers()
	m.spread(m.self, true, false)
	return m
}

// Update processes one message and returns the effects to carry out, in order.
func (m *Module) Update(msg Msg) []Cmd {
	m.cmds = nil
	if now := msg.moment(); now.After(m.now) {
		m.now = now
	}
	switch msg := msg.(type) {
	case TickMsg:
		m.tick()
	case LocalMsg:
		m.setLocal(msg.Local)
	case LeaveMsg:
		m.leave()
	case DatagramMsg:
		m.receive(msg)
	case JoinMsg:
		m.join(msg.Address)
	case BootstrapMsg:
		m.joined, m.takeover = true, takeover{}
	case SyncRequestMsg:
		m.answerSync(msg.Request)
	case SyncReplyMsg:
		m.finishSync(msg)
	case FetchRequestMsg:
		m.answerFetch(msg.Request)
	case FetchReplyMsg:
		m.finishFetch(msg)
	default:
		invar.Check(false, "member", "message of unknown type %T", msg)
	}
	_, tick := msg.(TickMsg)
	m.push(tick)
	m.reportChange()
	return m.cmds
}

// Joined reports whether the module took over the records of another node or was told that there is none.
func (m *Module) Joined() bool { return m.joined }

// Self returns the own node; its incarnation can rise until Joined.
func (m *Module) Self() model.Node { return m.self.record.Node }

// Snapshot returns the records that are alive or leaving, sorted by node ID; it does not change afterwards.
func (m *Module) Snapshot() *Snapshot {
	if m.snapshot != nil {
		return m.snapshot
	}
	s := &Snapshot{Self: m.self.record.Node.Ref, Generation: m.generation, Records: make([]NodeRecord, 0, m.table.alive)}
	for _, e := range m.table.sorted {
		switch {
		case e == m.self:
			s.Records = append(s.Records, m.ownRecord())
		case !e.status.gone():
			s.Records = append(s.Records, e.record)
		default:
			s.Departed = append(s.Departed, Departed{Ref: e.record.Node.Ref, Successor: e.record.Successor})
		}
	}
	for _, f := range m.departed {
		s.Departed = append(s.Departed, f.Departed)
	}
	m.snapshot = s
	return s
}

func (m *Module) emit(cmd Cmd) {
	m.cmds = append(m.cmds, cmd)
}

func (m *Module) refuse(source string, err error, detail string) {
	m.emit(RefusedCmd{Source: source, Err: eris.Wrap(err, detail)})
}

func (m *Module) reportChange() {
	if !m.contentChanged && !m.numberChanged {
		return
	}
	if m.contentChanged {
		m.generation++
	}
	m.emit(ChangedCmd{Content: m.contentChanged})
	m.contentChanged, m.numberChanged = false, false
	m.snapshot = nil
}

func (m *Module) startTimers() {
	m.probes.next = m.now.Add(m.jitter(probeInterval))
	m.probes.nextTombstone = m.now.Add(m.jitter(tombstoneProbeInterval))
	m.syncs.next = m.now.Add(m.jitter(syncInterval))
	m.probes.lastTick = m.now
	m.rumours.tokens = pushBurst
	m.rumours.refilled = m.now
}

// tick runs everything that is due.
func (m *Module) tick() {
	if gap := m.now.Sub(m.probes.lastTick); gap > pauseAfter {
		m.restartTimers(gap)
	}
	m.probes.lastTick = m.now
	m.publishOwn()
	if m.isTakingOver() {
		m.askForPart()
		return
	}
	m.expireSuspicions()
	m.expireTombstones()
	m.probe()
	m.probeTombstone()
	m.periodicSync()
}

// restartTimers gives the nodes under suspicion the time that the own process was paused.
func (m *Module) restartTimers(gap time.Duration) {
	m.probes.pending = nil
	m.probes.next = m.now
	for _, e := range m.table.sorted {
		if e.status == StatusSuspect {
			e.since = e.since.Add(gap)
		}
	}
}

// jitter returns a random duration up to d, so that nodes started at once do not act at once.
func (m *Module) jitter(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(d)))
}
