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

const (
	// defaultExpiry is how long a suspicion or a quarantine lasts without another crash.
	defaultExpiry = 10 * time.Minute
	// defaultMaxEntries bounds the fingerprints that are kept. A node has 7,500/670 = 11 targets of 7 slots, so a rack
	// of 40 VMs whose targets all crash at once makes 3,080 suspects.
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

// Module decides which requests may run; it is not safe for concurrent use except for Snapshot.
type Module struct {
	config   Config
	entries  map[entryID]entry
	snapshot atomic.Pointer[Snapshot]
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
	case SuspectMsg:
		return m.suspect(msg)
	case BroadcastDoneMsg:
		return m.spread(msg)
	case TrialMsg:
		return m.trial(msg)
	case TrialEndMsg:
		return m.trialEnd(msg)
	case ClearMsg:
		m.clear(msg)
	case TickMsg:
		return m.tick(msg)
	}
	return nil
}

// Snapshot returns the current state.
func (m *Module) Snapshot() *Snapshot {
	return m.snapshot.Load()
}

// Authorities returns the nodes that reported a crash of the request, this one included; they may grant its trial.
func (m *Module) Authorities(service string, fingerprint uint64) []model.NodeRef {
	e := m.entries[entryID{Service: service, Fingerprint: fingerprint}]
	var nodes []model.NodeRef
	if e.own > 0 {
		nodes = append(nodes, m.config.Self)
	}
	for node, r := range e.others {
		if r.Crashes > 0 {
			nodes = append(nodes, node)
		}
	}
	slices.SortFunc(nodes, func(a, b model.NodeRef) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return nodes
}

func (m *Module) crash(msg CrashMsg) []Cmd {
	spread := BroadcastCmd{Service: msg.Target.Service}
	for _, r := range msg.InFlight {
		id := entryID{Service: msg.Target.Service, Fingerprint: r.Fingerprint}
		e := m.entries[id]
		e.own = min(e.own+1, quarantineCrashes)
		e.quarantined = e.quarantined || !r.Idempotent || e.crashes() >= quarantineCrashes
		e.expires = msg.Now.Add(m.config.Expiry)
		e.spread = false
		m.entries[id] = e
		spread.Fingerprints = append(spread.Fingerprints, r.Fingerprint)
	}
	m.publish()
	if len(spread.Fingerprints) == 0 {
		return nil
	}
	return []Cmd{m.own(), spread}
}

// report replaces what the node reported before; an entry that it withdrew counts no longer.
func (m *Module) report(msg ReportMsg) {
	reported := make(map[entryID]model.PoisonEntry, len(msg.Entries))
	for _, p := range msg.Entries {
		reported[entryID{Service: p.Service, Fingerprint: p.Fingerprint}] = p
	}
	for id, e := range m.entries {
		if _, ok := reported[id]; !ok && e.others[msg.Node].Published {
			e.others = maps.Clone(e.others)
			delete(e.others, msg.Node)
			m.store(id, e)
		}
	}
	for id, p := range reported {
		m.learn(msg.Now, msg.Node, id, remote{Crashes: p.Crashes, Published: true}, p.Quarantined)
	}
	m.publish()
}

// clear forgets what the node told. Its record may have held the entry for too short a time to be seen here, so that
// no record withdraws it.
func (m *Module) clear(msg ClearMsg) {
	id := entryID{Service: msg.Service, Fingerprint: msg.Fingerprint}
	e, ok := m.entries[id]
	if !ok || e.quarantined {
		return
	}
	e.others = maps.Clone(e.others)
	delete(e.others, msg.Node)
	m.store(id, e)
	m.publish()
}

// store keeps the entry while any node knows a crash.
func (m *Module) store(id entryID, e entry) {
	if e.crashes() == 0 {
		delete(m.entries, id)
		return
	}
	m.entries[id] = e
}

// learn merges what another node knows; a repeated report does not extend the expiry.
func (m *Module) learn(now time.Time, node model.NodeRef, id entryID, r remote, quarantined bool) {
	e := m.entries[id]
	known := e.others[node]
	if known.Crashes < r.Crashes || quarantined && !e.quarantined {
		e.expires = now.Add(m.config.Expiry)
	}
	e.others = maps.Clone(e.others)
	if e.others == nil {
		e.others = make(map[model.NodeRef]remote)
	}
	e.others[node] = remote{Crashes: max(known.Crashes, r.Crashes), Published: known.Published || r.Published}
	e.quarantined = e.quarantined || quarantined || e.crashes() >= quarantineCrashes
	m.entries[id] = e
}

func (m *Module) suspect(msg SuspectMsg) []Cmd {
	reply := SuspectCmd{}
	for _, f := range msg.Fingerprints {
		id := entryID{Service: msg.Service, Fingerprint: f}
		m.learn(msg.Now, msg.Node, id, remote{Crashes: 1}, false)
		if m.entries[id].own > 0 || m.entries[id].quarantined {
			reply.Crashed = append(reply.Crashed, f)
		}
	}
	m.publish()
	return []Cmd{reply}
}

func (m *Module) spread(msg BroadcastDoneMsg) []Cmd {
	for _, f := range msg.Fingerprints {
		id := entryID{Service: msg.Service, Fingerprint: f}
		e, ok := m.entries[id]
		if !ok {
			continue
		}
		e.spread = msg.Unreachable == 0 && !slices.Contains(msg.Running, f)
		e.quarantined = e.quarantined || slices.Contains(msg.Crashed, f)
		m.entries[id] = e
	}
	m.publish()
	return []Cmd{m.own()}
}

func (m *Module) trial(msg TrialMsg) []Cmd {
	id := entryID{Service: msg.Service, Fingerprint: msg.Fingerprint}
	e, ok := m.entries[id]
	if !ok || e.own != 1 || e.quarantined || e.tried || !e.expires.After(msg.Now) {
		return []Cmd{TrialCmd{}}
	}
	if !e.spread {
		return []Cmd{TrialCmd{}, BroadcastCmd{Service: msg.Service, Fingerprints: []uint64{msg.Fingerprint}}}
	}
	invar.Check(e.crashes() == 1, "poison", "a trial is granted after %d crashes", e.crashes())
	e.tried = true
	m.entries[id] = e
	return []Cmd{TrialCmd{Granted: true}}
}

// trialEnd clears a request that survived its trial, and quarantines one that did not.
func (m *Module) trialEnd(msg TrialEndMsg) []Cmd {
	id := entryID{Service: msg.Service, Fingerprint: msg.Fingerprint}
	e, ok := m.entries[id]
	if !ok || !e.tried || e.quarantined {
		return nil
	}
	if msg.Survived {
		delete(m.entries, id)
	} else {
		e.quarantined = true
		e.expires = msg.Now.Add(m.config.Expiry)
		m.entries[id] = e
	}
	m.publish()
	return []Cmd{m.own()}
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
	return []Cmd{m.own()}
}

// bound drops the entries beyond the bound: suspects before quarantined ones, then those that expire first.
func (m *Module) bound() {
	if len(m.entries) > m.config.MaxEntries {
		ids := slices.SortedFunc(maps.Keys(m.entries), func(a, b entryID) int {
			x, y := m.entries[a], m.entries[b]
			return cmp.Or(cmp.Compare(x.verdict(), y.verdict()), x.expires.Compare(y.expires), a.compare(b))
		})
		for _, id := range ids[:len(ids)-m.config.MaxEntries] {
			delete(m.entries, id)
		}
	}
	invar.Check(len(m.entries) <= m.config.MaxEntries, "poison", "%d entries are kept, the bound is %d",
		len(m.entries), m.config.MaxEntries)
}

func (m *Module) publish() {
	m.bound()
	s := &Snapshot{entries: make(map[entryID]Verdict, len(m.entries))}
	for id, e := range m.entries {
		s.entries[id] = e.verdict()
	}
	m.snapshot.Store(s)
}

func (m *Module) own() PublishCmd {
	return PublishCmd{Entries: m.LocalEntries()}
}

// LocalEntries returns what this node saw, sorted by service and fingerprint.
func (m *Module) LocalEntries() []model.PoisonEntry {
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
	return entries
}
