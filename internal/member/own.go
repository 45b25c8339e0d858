package member

import (
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// ownInterval is the least time between two versions of the own record without an urgent change. It bundles the
// announcements of a starting VM into one or two updates.
const ownInterval = time.Second

// ownState holds the local state that is not yet published.
type ownState struct {
	pending   bool
	published time.Time
}

// formerRun is an earlier run of a node ID that has a later run.
type formerRun struct {
	Departed
	until time.Time
}

func (m *Module) setLocal(local LocalState) {
	previous := m.ownRecord()
	m.local = local
	m.raiseOwnTicket(local.Ticket)
	next := m.ownRecord()
	if previous.sameContent(&next) {
		return
	}
	m.contentChanged = true
	m.own.pending = true
	if isUrgent(&previous, &next) && (next.Leaving || m.mayPush(m.self)) {
		m.publishNow(true)
	} else {
		m.publishOwn()
	}
}

// raiseOwnTicket pushes a new number at once; peers that are behind fetch the ticket from here.
func (m *Module) raiseOwnTicket(number uint64) {
	if number <= m.self.record.Ticket {
		return
	}
	m.noteNumber(m.self, number, true)
	m.rumours.pushNumber = true
}

// ownRecord returns the own record with the local state, published or not.
func (m *Module) ownRecord() NodeRecord {
	r := m.self.record
	r.Leaving, r.Successor = m.local.Leaving, model.NodeRef{}
	if r.Leaving {
		r.Successor = m.successor()
	}
	r.Targets = slices.Clone(m.local.Targets)
	for i := range r.Targets {
		r.Targets[i].Node = r.Node.Ref
	}
	r.Ejections, r.Poison = slices.Clone(m.local.Ejections), slices.Clone(m.local.Poison)
	if m.local.RelayAddress != "" {
		r.Node.RelayAddress = m.local.RelayAddress
	}
	if m.local.CallerAddress != "" {
		r.Node.CallerAddress = m.local.CallerAddress
	}
	return r
}

// successor returns the named successor, or chooses one and keeps it, so that it does not change while leaving.
func (m *Module) successor() model.NodeRef {
	if !m.local.Successor.IsZero() {
		return m.local.Successor
	}
	others := &Snapshot{}
	for _, e := range m.table.sorted {
		if e != m.self && e.status == StatusAlive {
			others.Records = append(others.Records, e.record)
		}
	}
	if node, ok := others.ChooseSuccessor(m.self.record.Node); ok {
		m.local.Successor = node.Ref
	}
	return m.local.Successor
}

func (m *Module) publishOwn() {
	if m.own.pending && m.now.Sub(m.own.published) >= ownInterval {
		m.publishNow(false)
	}
}

func (m *Module) publishNow(urgent bool) {
	m.own.pending, m.own.published = false, m.now
	version := m.self.record.Version + 1
	m.self.record = m.ownRecord()
	m.self.record.Version, m.self.record.ContentVersion = version, version
	m.self.encoded = encodeRecord(&m.self.record)
	m.table.refresh(m.self)
	m.spread(m.self, true, urgent)
}

// refute answers a rumour about the own run that is not true.
func (m *Module) refute(r *Rumour) {
	own := &m.self.record
	if m.self.status.gone() || (r.Status == StatusAlive && r.Version <= own.Version) {
		return
	}
	if r.Version < own.Version {
		// The answer was given before but did not reach this node, as when a partition was in the way.
		m.spread(m.self, false, false)
		return
	}
	m.counts.Refuted++
	own.Version = r.Version + 1
	m.table.refresh(m.self)
	m.contentChanged = true
	m.spread(m.self, false, true)
}

// leave declares that the own run ends, so that the others need not detect it.
func (m *Module) leave() {
	m.self.record.Version++
	m.table.setStatus(m.self, StatusLeft, m.now)
	m.table.refresh(m.self)
	m.spread(m.self, false, true)
}

// meetOwnID handles the record of another run under the own ID.
func (m *Module) meetOwnID(r *NodeRecord) {
	other := r.Node.Ref
	if other.Incarnation <= m.self.record.Node.Ref.Incarnation {
		return
	}
	if m.joined {
		m.emit(ReplacedCmd{By: other})
		return
	}
	m.table.remove(m.self)
	m.self.record.Node.Ref.Incarnation = other.Incarnation + 1
	m.self.key = refKey(m.self.record.Node.Ref)
	m.self.encoded = encodeRecord(&m.self.record)
	m.table.insert(m.self)
	m.contentChanged = true
	m.spread(m.self, true, false)
}

// isUrgent reports whether callers could still send requests that the change forbids.
func isUrgent(previous, next *NodeRecord) bool {
	if next.Leaving != previous.Leaving {
		return true
	}
	for _, t := range previous.Targets {
		if t.State == model.TargetServing && !serves(next.Targets, t.Ref) {
			return true
		}
	}
	return hasNew(previous.Ejections, next.Ejections) || hasNew(previous.Poison, next.Poison)
}

func serves(targets []model.Target, ref model.TargetRef) bool {
	return slices.ContainsFunc(targets, func(t model.Target) bool {
		return t.Ref == ref && t.State == model.TargetServing
	})
}

func hasNew[T comparable](previous, next []T) bool {
	return slices.ContainsFunc(next, func(v T) bool { return !slices.Contains(previous, v) })
}

// sameContent reports whether two records of one node differ in no field that raises the version.
func (r *NodeRecord) sameContent(other *NodeRecord) bool {
	return r.Node == other.Node &&
		r.Leaving == other.Leaving &&
		r.Successor == other.Successor &&
		slices.Equal(r.Targets, other.Targets) &&
		slices.Equal(r.Ejections, other.Ejections) &&
		slices.Equal(r.Poison, other.Poison)
}
