package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Verdict tells whether a request may run.
type Verdict uint8

const (
	// Clear permits the request.
	Clear Verdict = iota
	// Suspect permits the request only as a trial, alone on its target.
	Suspect
	// Quarantined forbids the request.
	Quarantined
)

const (
	// defaultExpiry is how long a suspicion or a quarantine lasts without another crash.
	defaultExpiry = 10 * time.Minute
	// defaultMaxEntries bounds the fingerprints that are kept; a rack of 40 VMs with 11 targets of 7 slots makes 3,080.
	defaultMaxEntries = 4096
	// quarantineCrashes is the number of crashes after which an idempotent request is quarantined.
	quarantineCrashes = 2
)

// Config configures a module; only Self is required.
type Config struct {
	Self       model.NodeRef
	Expiry     time.Duration
	MaxEntries int
}

// Request is one request in flight on a target.
type Request struct {
	Fingerprint uint64
	Idempotent  bool
}

// Msg is an input of the module.
type Msg interface{ isMsg() }

// Cmd is an effect that the module asks its shell for.
type Cmd interface{ isCmd() }

// CrashMsg reports that a target of this node died with requests in flight.
type CrashMsg struct {
	Now      time.Time
	Target   model.TargetRef
	InFlight []Request
}

// ReportMsg carries the entries in the record of another node.
type ReportMsg struct {
	Now     time.Time
	Node    model.NodeRef
	Entries []model.PoisonEntry
}

// TickMsg moves the time.
type TickMsg struct {
	Now time.Time
}

// PublishCmd asks to put the entries into the own record and to spread it as urgent.
type PublishCmd struct {
	Entries []model.PoisonEntry
}

// Module decides which requests may run; it is not safe for concurrent use except for Snapshot.
type Module struct {
	config   Config
	entries  map[entryID]entry
	snapshot atomic.Pointer[Snapshot]
}

// Snapshot is an immutable state of the module.
type Snapshot struct {
	entries map[entryID]Verdict
}

type entryID struct {
	Service     string
	Fingerprint uint64
}

// entry is what all nodes together know about a fingerprint.
type entry struct {
	// own counts the crashes at this node, others the crashes at each other node.
	own         uint8
	others      map[model.NodeRef]uint8
	quarantined bool
	expires     time.Time
}

// New returns a module without suspicions.
func New(c Config) *Module {
	c.Expiry = cmp.Or(c.Expiry, defaultExpiry)
	c.MaxEntries = cmp.Or(c.MaxEntries, defaultMaxEntries)
	m := &Module{config: c, entries: make(map[entryID]entry)}
	m.publish()
	return m
}

// Update applies the message and returns the effects.
func (m *Module) Update(msg Msg) []Cmd {
	switch msg := msg.(type) {
	case CrashMsg:
		return m.crash(msg)
	case ReportMsg:
		m.report(msg)
	case TickMsg:
		return m.tick(msg)
	}
	return nil
}

// Snapshot returns the current state.
func (m *Module) Snapshot() *Snapshot {
	return m.snapshot.Load()
}

// Verdict returns whether a request with the fingerprint may run.
func (s *Snapshot) Verdict(service string, fingerprint uint64) Verdict {
	if len(s.entries) == 0 {
		return Clear
	}
	return s.entries[entryID{Service: service, Fingerprint: fingerprint}]
}

func (m *Module) crash(msg CrashMsg) []Cmd {
	for _, r := range msg.InFlight {
		id := entryID{Service: msg.Target.Service, Fingerprint: r.Fingerprint}
		e := m.entries[id]
		e.own = min(e.own+1, quarantineCrashes)
		e.quarantined = e.quarantined || !r.Idempotent || e.crashes() >= quarantineCrashes
		e.expires = msg.Now.Add(m.config.Expiry)
		m.entries[id] = e
	}
	m.bound()
	m.publish()
	return m.own()
}

func (m *Module) report(msg ReportMsg) {
	for _, p := range msg.Entries {
		id := entryID{Service: p.Service, Fingerprint: p.Fingerprint}
		e := m.entries[id]
		if e.others[msg.Node] >= p.Crashes && (e.quarantined || !p.Quarantined) {
			continue // known already; a repeated report does not extend the expiry
		}
		others := maps.Clone(e.others)
		if others == nil {
			others = make(map[model.NodeRef]uint8)
		}
		others[msg.Node] = p.Crashes
		e.others = others
		e.quarantined = e.quarantined || p.Quarantined || e.crashes() >= quarantineCrashes
		e.expires = msg.Now.Add(m.config.Expiry)
		m.entries[id] = e
	}
	m.bound()
	m.publish()
}

func (e entry) crashes() int {
	n := int(e.own)
	for _, c := range e.others {
		n += int(c)
	}
	return n
}

func (m *Module) tick(msg TickMsg) []Cmd {
	changed := false
	for id, e := range m.entries {
		if !e.expires.After(msg.Now) {
			delete(m.entries, id)
			changed = true
		}
	}
	if !changed {
		return nil
	}
	m.publish()
	return m.own()
}

// bound drops the entries that expire first.
func (m *Module) bound() {
	for len(m.entries) > m.config.MaxEntries {
		ids := slices.SortedFunc(maps.Keys(m.entries), func(a, b entryID) int {
			return cmp.Or(m.entries[a].expires.Compare(m.entries[b].expires),
				cmp.Compare(a.Service, b.Service), cmp.Compare(a.Fingerprint, b.Fingerprint))
		})
		for _, id := range ids[:len(ids)-m.config.MaxEntries] {
			delete(m.entries, id)
		}
	}
	invar.Check(len(m.entries) <= m.config.MaxEntries, "poison", "%d entries are kept, the bound is %d",
		len(m.entries), m.config.MaxEntries)
}

func (m *Module) publish() {
	s := &Snapshot{entries: make(map[entryID]Verdict, len(m.entries))}
	for id, e := range m.entries {
		s.entries[id] = Suspect
		if e.quarantined {
			s.entries[id] = Quarantined
		}
	}
	m.snapshot.Store(s)
}

func (m *Module) own() []Cmd {
	var entries []model.PoisonEntry
	for id, e := range m.entries {
		if e.own > 0 {
			entries = append(entries, model.PoisonEntry{
				Service: id.Service, Fingerprint: id.Fingerprint, Crashes: e.own, Quarantined: e.quarantined,
			})
		}
	}
	slices.SortFunc(entries, func(a, b model.PoisonEntry) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return []Cmd{PublishCmd{Entries: entries}}
}

func (CrashMsg) isMsg()  {}
func (ReportMsg) isMsg() {}
func (TickMsg) isMsg()   {}

func (PublishCmd) isCmd() {}
