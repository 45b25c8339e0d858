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
	// defaultMaxEntries limits the stored fingerprints. A node has 7,500/670 = 11 targets of 7 slots, so a rack of 40
	// VMs whose targets all crash at once produces 3,080 suspects.
	defaultMaxEntries = 4096
	// quarantineCrashes is the number of crashes after which an idempotent request is quarantined.
	quarantineCrashes = 2
)

// Config configures a Module; only Self is required.
type Config struct {
	Self       model.NodeRef
	Expiry     time.Duration
	MaxEntries int
}

// Module decides which requests may run. It is not safe for concurrent use, except for Snapshot.
type Module struct {
	config   Config
	entries  map[entryID]entry
	snapshot atomic.Pointer[Snapshot]
}

// New returns a module without suspects.
func New(c Config) *Module {
	c.Expiry = cmp.Or(c.Expiry, defaultExpiry)
	c.MaxEntries = cmp.Or(c.MaxEntries, defaultMaxEntries)
	m := &Module{config: c, entries: make(map[entryID]entry)}
	m.publish()
	return m
}

// Update processes msg and returns the resulting commands.
func (m *Module) Update(msg Msg) []Cmd {
	switch msg := msg.(type) {
	case CrashMsg:
		return m.crash(msg)
	case ReportMsg:
		m.report(msg)
	case SuspectMsg:
		return m.suspect(msg)
	case BroadcastDoneMsg:
		return m.broadcastDone(msg)
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

// Snapshot returns the current state; it is safe for concurrent use.
func (m *Module) Snapshot() *Snapshot {
	return m.snapshot.Load()
}

// Authorities returns the nodes, including this one, that reported a crash of the request; they may grant its trial.
func (m *Module) Authorities(service string, fingerprint uint64) []model.NodeRef {
	e := m.entries[entryID{Service: service, Fingerprint: fingerprint}]
	var nodes []model.NodeRef
	if e.localCrashes > 0 {
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
	broadcast := BroadcastCmd{Service: msg.Target.Service}
	for _, r := range msg.InFlight {
		id := entryID{Service: msg.Target.Service, Fingerprint: r.Fingerprint}
		e := m.entries[id]
		e.localCrashes = min(e.localCrashes+1, quarantineCrashes)
		e.quarantined = e.quarantined || !r.Idempotent || e.crashes() >= quarantineCrashes
		e.expires = msg.Now.Add(m.config.Expiry)
		e.broadcast = false
		m.entries[id] = e
		broadcast.Fingerprints = append(broadcast.Fingerprints, r.Fingerprint)
	}
	m.publish()
	if len(broadcast.Fingerprints) == 0 {
		return nil
	}
	return []Cmd{m.publishCmd(), broadcast}
}

// report replaces the node's previous report; entries that the node has withdrawn no longer count.
func (m *Module) report(msg ReportMsg) {
	reported := make(map[entryID]model.PoisonEntry, len(msg.Entries))
	for _, p := range msg.Entries {
		reported[entryID{Service: p.Service, Fingerprint: p.Fingerprint}] = p
	}
	for id, e := range m.entries {
		if _, ok := reported[id]; !ok && e.others[msg.Node].Published {
			e.others = maps.Clone(e.others)
			delete(e.others, msg.Node)
			m.storeOrDelete(id, e)
		}
	}
	for id, p := range reported {
		m.mergeRemote(msg.Now, msg.Node, id, remoteEntry{Crashes: p.Crashes, Published: true}, p.Quarantined)
	}
	m.publish()
}

// clear drops what the node reported about the request. Its record may have contained the entry too briefly to be seen
// here, so that no later record withdraws it.
func (m *Module) clear(msg ClearMsg) {
	id := entryID{Service: msg.Service, Fingerprint: msg.Fingerprint}
	e, ok := m.entries[id]
	if !ok || e.quarantined {
		return
	}
	e.others = maps.Clone(e.others)
	delete(e.others, msg.Node)
	m.storeOrDelete(id, e)
	m.publish()
}

// storeOrDelete keeps the entry as long as any node has reported a crash.
func (m *Module) storeOrDelete(id entryID, e entry) {
	if e.crashes() == 0 {
		delete(m.entries, id)
		return
	}
	m.entries[id] = e
}

// mergeRemote merges what another node reported; a repeated report does not extend the expiry.
func (m *Module) mergeRemote(now time.Time, node model.NodeRef, id entryID, r remoteEntry, quarantined bool) {
	e := m.entries[id]
	known := e.others[node]
	if known.Crashes < r.Crashes || quarantined && !e.quarantined {
		e.expires = now.Add(m.config.Expiry)
	}
	e.others = maps.Clone(e.others)
	if e.others == nil {
		e.others = make(map[model.NodeRef]remoteEntry)
	}
	e.others[node] = remoteEntry{Crashes: max(known.Crashes, r.Crashes), Published: known.Published || r.Published}
	e.quarantined = e.quarantined || quarantined || e.crashes() >= quarantineCrashes
	m.entries[id] = e
}

func (m *Module) suspect(msg SuspectMsg) []Cmd {
	reply := SuspectCmd{}
	for _, f := range msg.Fingerprints {
		id := entryID{Service: msg.Service, Fingerprint: f}
		m.mergeRemote(msg.Now, msg.Node, id, remoteEntry{Crashes: 1}, false)
		if m.entries[id].localCrashes > 0 || m.entries[id].quarantined {
			reply.Crashed = append(reply.Crashed, f)
		}
	}
	m.publish()
	return []Cmd{reply}
}

func (m *Module) broadcastDone(msg BroadcastDoneMsg) []Cmd {
	for _, f := range msg.Fingerprints {
		id := entryID{Service: msg.Service, Fingerprint: f}
		e, ok := m.entries[id]
		if !ok {
			continue
		}
		e.broadcast = msg.Unreachable == 0 && !slices.Contains(msg.Running, f)
		e.quarantined = e.quarantined || slices.Contains(msg.Crashed, f)
		m.entries[id] = e
	}
	m.publish()
	return []Cmd{m.publishCmd()}
}

func (m *Module) trial(msg TrialMsg) []Cmd {
	id := entryID{Service: msg.Service, Fingerprint: msg.Fingerprint}
	e, ok := m.entries[id]
	if !ok || e.localCrashes != 1 || e.quarantined || e.trialGranted || !e.expires.After(msg.Now) {
		return []Cmd{TrialCmd{}}
	}
	if !e.broadcast {
		return []Cmd{TrialCmd{}, BroadcastCmd{Service: msg.Service, Fingerprints: []uint64{msg.Fingerprint}}}
	}
	invar.Check(e.crashes() == 1, "poison", "trial granted after %d crashes", e.crashes())
	e.trialGranted = true
	m.entries[id] = e
	return []Cmd{TrialCmd{Granted: true}}
}

// trialEnd clears a request that survived its trial and quarantines one that crashed its target.
func (m *Module) trialEnd(msg TrialEndMsg) []Cmd {
	id := entryID{Service: msg.Service, Fingerprint: msg.Fingerprint}
	e, ok := m.entries[id]
	if !ok || !e.trialGranted || e.quarantined {
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
	return []Cmd{m.publishCmd()}
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
	return []Cmd{m.publishCmd()}
}

// evictExcess drops the entries above MaxEntries: suspects before quarantined requests, then those that expire first.
func (m *Module) evictExcess() {
	if len(m.entries) > m.config.MaxEntries {
		ids := slices.SortedFunc(maps.Keys(m.entries), func(a, b entryID) int {
			x, y := m.entries[a], m.entries[b]
			return cmp.Or(cmp.Compare(x.verdict(), y.verdict()), x.expires.Compare(y.expires), a.compare(b))
		})
		for _, id := range ids[:len(ids)-m.config.MaxEntries] {
			delete(m.entries, id)
		}
	}
	invar.Check(len(m.entries) <= m.config.MaxEntries, "poison", "%d entries stored, the limit is %d",
		len(m.entries), m.config.MaxEntries)
}

func (m *Module) publish() {
	m.evictExcess()
	s := &Snapshot{entries: make(map[entryID]Verdict, len(m.entries))}
	for id, e := range m.entries {
		s.entries[id] = e.verdict()
	}
	m.snapshot.Store(s)
}

func (m *Module) publishCmd() PublishCmd {
	return PublishCmd{Entries: m.LocalEntries()}
}

// LocalEntries returns the entries for crashes that this node observed, sorted by service and fingerprint.
func (m *Module) LocalEntries() []model.PoisonEntry {
	var entries []model.PoisonEntry
	for id, e := range m.entries {
		if e.localCrashes > 0 {
			entries = append(entries, model.PoisonEntry{
				Service: id.Service, Fingerprint: id.Fingerprint, Crashes: e.localCrashes, Quarantined: e.quarantined,
			})
		}
	}
	slices.SortFunc(entries, func(a, b model.PoisonEntry) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return entries
}
