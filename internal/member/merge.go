package member

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// deadReportDelay is how long a node must have been suspected locally before a report from another node that it is dead
// is accepted. An isolated node declares all others dead; suspecting them first leaves them time to refute.
const deadReportDelay = 2 * time.Second

// fetchInterval is the least time between two requests for the same missing content.
const fetchInterval = time.Second

// apply merges a rumour into the table. If spread is set, a rumour that changes the table is gossiped on.
func (m *Module) apply(r *Rumour, source string, spread bool) {
	if r.Key == m.self.key {
		m.refute(r)
		return
	}
	e := m.table.byKey[r.Key]
	if e == nil {
		m.addRun(r, source, spread)
		return
	}
	version, status, content := e.record.Version, e.status, e.record.ContentVersion
	newContent := m.mergeContent(e, r, source)
	newStatus := m.mergeStatus(e, r)
	m.raiseTicket(e, r.Ticket, false)
	m.checkMonotonic(e, version, status, content)
	if !newContent && !newStatus {
		return
	}
	m.counts.Records++
	m.table.updateDigests(e)
	m.contentChanged = true
	if spread {
		m.gossip(e, newContent, r.Urgent)
	}
}

// checkMonotonic asserts that a merge did not decrease the version, status or content version of a record.
func (m *Module) checkMonotonic(e *entry, version uint64, status Status, content uint64) {
	r := &e.record
	invar.Check(r.Version > version || (r.Version == version && e.status >= status), "member",
		"%s went back from version %d %s to %d %s", r.Node.Ref, version, status, r.Version, e.status)
	invar.Check(r.ContentVersion >= content, "member", "%s went back from content %d to %d", r.Node.Ref, content, r.ContentVersion)
}

// mergeContent stores newer content and reports whether it did; it fetches content that the rumour lacks.
func (m *Module) mergeContent(e *entry, r *Rumour, source string) bool {
	if r.ContentVersion <= e.record.ContentVersion {
		return false
	}
	if len(r.Record) == 0 {
		if !e.nextFetch.After(m.now) {
			e.nextFetch = m.now.Add(fetchInterval)
			m.fetch(source, r.Key)
		}
		return false
	}
	record, ok := m.decode(r, source)
	if !ok {
		return false
	}
	record.Version, record.ContentVersion = e.record.Version, r.ContentVersion
	record.Ticket = e.record.Ticket
	e.record, e.encoded = record, r.Record
	return true
}

// mergeStatus stores a newer version and status and reports whether it did.
func (m *Module) mergeStatus(e *entry, r *Rumour) bool {
	if r.Version < e.record.Version || (r.Version == e.record.Version && r.Status <= e.status) {
		return false
	}
	status, since := r.Status, m.now
	switch {
	case r.Status.deadOrLeft() && m.acceptsDeath(e, r):
		since = m.now.Add(-time.Duration(r.Age) * time.Second)
	case r.Status.deadOrLeft():
		status = StatusSuspect
	}
	if r.Version == e.record.Version && status <= e.status {
		return false
	}
	if e.status.deadOrLeft() {
		m.insertProbe(e)
	}
	e.record.Version = r.Version
	m.table.setStatus(e, status, since)
	return true
}

func (m *Module) acceptsDeath(e *entry, r *Rumour) bool {
	if r.Status == StatusLeft || e.status.deadOrLeft() || e.record.Leaving {
		return true
	}
	return e.status == StatusSuspect && e.record.Version == r.Version && m.now.Sub(e.since) >= deadReportDelay
}

// addRun adds a run of a node that is not in the table.
func (m *Module) addRun(r *Rumour, source string, spread bool) {
	age := time.Duration(r.Age) * time.Second
	if r.Status.deadOrLeft() && age >= tombstoneTTL {
		return
	}
	if len(r.Record) == 0 {
		if !r.Status.deadOrLeft() {
			m.fetchUnknown(source, r.Key)
		}
		return
	}
	record, ok := m.decode(r, source)
	if !ok {
		return
	}
	if record.Node.Ref.ID == m.self.record.Node.Ref.ID {
		m.handleIDConflict(&record)
		return
	}
	if !m.removeEarlierRun(&record) {
		return
	}
	record.Version, record.ContentVersion, record.Ticket = r.Version, r.ContentVersion, r.Ticket
	e := &entry{key: r.Key, record: record, encoded: r.Record, status: r.Status, since: m.now}
	if r.Status.deadOrLeft() {
		e.since = m.now.Add(-age)
	}
	m.table.insert(e)
	m.insertProbe(e)
	m.counts.Records++
	m.contentChanged = true
	if spread {
		m.gossip(e, true, r.Urgent)
	}
}

// removeEarlierRun removes an earlier run of the node; it returns false when the table holds a later one.
func (m *Module) removeEarlierRun(record *NodeRecord) bool {
	old := m.table.byID(record.Node.Ref.ID)
	if old == nil {
		return true
	}
	if old.record.Node.Ref.Incarnation > record.Node.Ref.Incarnation {
		return false
	}
	m.table.remove(old)
	m.dropRumour(old)
	if !old.record.Successor.IsZero() {
		m.earlierRuns = append(m.earlierRuns, earlierRun{
			Departed: Departed{Ref: old.record.Node.Ref, Successor: old.record.Successor},
			until:    m.now.Add(tombstoneTTL),
		})
	}
	return true
}

// decode parses the record of a rumour and checks that it matches the key.
func (m *Module) decode(r *Rumour, source string) (NodeRecord, bool) {
	record, err := decodeRecord(r.Record)
	if err != nil {
		m.reject(source, err, "decode the record of a rumour")
		return NodeRecord{}, false
	}
	if refKey(record.Node.Ref) != r.Key {
		m.reject(source, ErrMalformed, "record does not match the key of the rumour")
		return NodeRecord{}, false
	}
	return record, true
}

// newRumour builds a rumour from the current state of an entry.
func (m *Module) newRumour(e *entry, withRecord, urgent bool) Rumour {
	r := Rumour{
		Key: e.key, Version: e.record.Version, ContentVersion: e.record.ContentVersion, Status: e.status, Urgent: urgent,
	}
	if e.status.deadOrLeft() {
		r.Age = uint32(max(0, m.now.Sub(e.since)/time.Second))
	}
	if withRecord {
		r.Record, r.Ticket = e.encoded, e.record.Ticket
	}
	return r
}

func (m *Module) nodeByRef(ref model.NodeRef) (model.Node, bool) {
	e := m.table.byID(ref.ID)
	if e == nil || e.record.Node.Ref != ref {
		return model.Node{}, false
	}
	return e.record.Node, true
}
