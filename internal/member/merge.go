package member

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// hearsayAfter is how long a node must have been suspect here before the word of another node that it is dead counts.
// A node that was cut off holds everyone dead; the others then suspect first, which leaves time to refute.
const hearsayAfter = 2 * time.Second

// fetchInterval is the least time between two requests for the same missing content.
const fetchInterval = time.Second

// apply joins a rumour into the table. Spread passes it on when it is news.
func (m *Module) apply(r *Rumour, source string, spread bool) {
	if r.Key == m.self.key {
		m.refute(r)
		return
	}
	e := m.table.byKey[r.Key]
	if e == nil {
		m.adopt(r, source, spread)
		return
	}
	version, status, content := e.record.Version, e.status, e.record.ContentVersion
	newContent := m.joinContent(e, r, source)
	newStatus := m.joinStatus(e, r)
	m.noteNumber(e, r.Ticket, false)
	m.checkForward(e, version, status, content)
	if !newContent && !newStatus {
		return
	}
	m.counts.Records++
	m.table.refresh(e)
	m.contentChanged = true
	if spread {
		m.spread(e, newContent, r.Urgent)
	}
}

// checkForward asserts that the record did not go back.
func (m *Module) checkForward(e *entry, version uint64, status Status, content uint64) {
	r := &e.record
	invar.Check(r.Version > version || (r.Version == version && e.status >= status), "member",
		"%s went back from version %d %s to %d %s", r.Node.Ref, version, status, r.Version, e.status)
	invar.Check(r.ContentVersion >= content, "member", "%s went back from content %d to %d", r.Node.Ref, content, r.ContentVersion)
}

// joinContent takes over newer content and reports whether it did; content that is missing is fetched.
func (m *Module) joinContent(e *entry, r *Rumour, source string) bool {
	if r.ContentVersion <= e.record.ContentVersion {
		return false
	}
	if len(r.Record) == 0 {
		if !e.fetchAgain.After(m.now) {
			e.fetchAgain = m.now.Add(fetchInterval)
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

// joinStatus takes over a newer version and status and reports whether it did.
func (m *Module) joinStatus(e *entry, r *Rumour) bool {
	if r.Version < e.record.Version || (r.Version == e.record.Version && r.Status <= e.status) {
		return false
	}
	status, since := r.Status, m.now
	switch {
	case r.Status.gone() && m.believesDeath(e, r):
		since = m.now.Add(-time.Duration(r.Age) * time.Second)
	case r.Status.gone():
		status = StatusSuspect
	}
	if r.Version == e.record.Version && status <= e.status {
		return false
	}
	if e.status.gone() {
		m.insertProbe(e)
	}
	e.record.Version = r.Version
	m.table.setStatus(e, status, since)
	return true
}

func (m *Module) believesDeath(e *entry, r *Rumour) bool {
	if r.Status == StatusLeft || e.status.gone() || e.record.Leaving {
		return true
	}
	return e.status == StatusSuspect && e.record.Version == r.Version && m.now.Sub(e.since) >= hearsayAfter
}

// adopt adds the run of a node that is not in the table.
func (m *Module) adopt(r *Rumour, source string, spread bool) {
	age := time.Duration(r.Age) * time.Second
	if r.Status.gone() && age >= tombstoneAge {
		return
	}
	if len(r.Record) == 0 {
		if !r.Status.gone() {
			m.fetchUnknown(source, r.Key)
		}
		return
	}
	record, ok := m.decode(r, source)
	if !ok {
		return
	}
	if record.Node.Ref.ID == m.self.record.Node.Ref.ID {
		m.meetOwnID(&record)
		return
	}
	if !m.supersede(&record) {
		return
	}
	record.Version, record.ContentVersion, record.Ticket = r.Version, r.ContentVersion, r.Ticket
	e := &entry{key: r.Key, record: record, encoded: r.Record, status: r.Status, since: m.now}
	if r.Status.gone() {
		e.since = m.now.Add(-age)
	}
	m.table.insert(e)
	m.insertProbe(e)
	m.counts.Records++
	m.contentChanged = true
	if spread {
		m.spread(e, true, r.Urgent)
	}
}

// supersede removes an earlier run of the node; it returns false when the table holds a later one.
func (m *Module) supersede(record *NodeRecord) bool {
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
		m.departed = append(m.departed, formerRun{
			Departed: Departed{Ref: old.record.Node.Ref, Successor: old.record.Successor},
			until:    m.now.Add(tombstoneAge),
		})
	}
	return true
}

// decode parses the record of a rumour and checks that it is the one that the key names.
func (m *Module) decode(r *Rumour, source string) (NodeRecord, bool) {
	record, err := decodeRecord(r.Record)
	if err != nil {
		m.refuse(source, err, "record of a rumour")
		return NodeRecord{}, false
	}
	if refKey(record.Node.Ref) != r.Key {
		m.refuse(source, ErrMalformed, "record of another node under the key")
		return NodeRecord{}, false
	}
	return record, true
}

// rumourOf states what is believed about an entry.
func (m *Module) rumourOf(e *entry, withRecord, urgent bool) Rumour {
	r := Rumour{
		Key: e.key, Version: e.record.Version, ContentVersion: e.record.ContentVersion, Status: e.status, Urgent: urgent,
	}
	if e.status.gone() {
		r.Age = uint32(max(0, m.now.Sub(e.since)/time.Second))
	}
	if withRecord {
		r.Record, r.Ticket = e.encoded, e.record.Ticket
	}
	return r
}

func (m *Module) nodeOf(ref model.NodeRef) (model.Node, bool) {
	e := m.table.byID(ref.ID)
	if e == nil || e.record.Node.Ref != ref {
		return model.Node{}, false
	}
	return e.record.Node, true
}
