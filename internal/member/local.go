package member

import (
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// publishInterval is the least time between two versions of the local record without an urgent change. It combines the
// announcements of the targets of a starting VM into one or two updates.
const publishInterval = time.Second

// publishState tracks local changes that are not published yet.
type publishState struct {
	pending   bool
	published time.Time
}

// earlierRun is an earlier run of a node whose ID is used by a later run.
type earlierRun struct {
	Departed
	until time.Time
}

func (m *Module) setLocal(local LocalState) {
	previous := m.localRecord()
	m.local = local
	m.raiseLocalTicket(local.Ticket)
	next := m.localRecord()
	if previous.sameContent(&next) {
		return
	}
	m.contentChanged = true
	m.publishing.pending = true
	if isUrgent(&previous, &next) && (next.Leaving || m.allowsUrgent(m.self)) {
		m.publishNow(true)
	} else {
		m.publishPending()
	}
}

// raiseLocalTicket raises the ticket number in force at this node and pushes it immediately, so that peers with a
// smaller number fetch the ticket from here.
func (m *Module) raiseLocalTicket(number uint64) {
	if number <= m.self.record.Ticket {
		return
	}
	m.raiseTicket(m.self, number, true)
	m.rumours.pushTicket = true
}

// localRecord returns the record of this node with the current local state, including unpublished changes.
func (m *Module) localRecord() NodeRecord {
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

// successor returns the configured successor, or chooses one and keeps it, so that it does not change while the node is
// leaving.
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

func (m *Module) publishPending() {
	if m.publishing.pending && m.now.Sub(m.publishing.published) >= publishInterval {
		m.publishNow(false)
	}
}

func (m *Module) publishNow(urgent bool) {
	m.publishing.pending, m.publishing.published = false, m.now
	version := m.self.record.Version + 1
	m.self.record = m.localRecord()
	m.self.record.Version, m.self.record.ContentVersion = version, version
	m.self.encoded = encodeRecord(&m.self.record)
	m.table.updateDigests(m.self)
	m.gossip(m.self, true, urgent)
}

// refute answers a false rumour about this run by raising the version above the one in the rumour.
func (m *Module) refute(r *Rumour) {
	own := &m.self.record
	if m.self.status.deadOrLeft() || (r.Status == StatusAlive && r.Version <= own.Version) {
		return
	}
	if r.Version < own.Version {
		// This version already refutes the rumour, but the sender did not receive it, for example because of a
		// partition.
		m.gossip(m.self, false, false)
		return
	}
	m.counts.Refuted++
	own.Version = r.Version + 1
	m.table.updateDigests(m.self)
	m.contentChanged = true
	m.gossip(m.self, false, true)
}

// leave announces the exit of this node, so that others need not detect it.
func (m *Module) leave() {
	m.self.record.Version++
	m.table.setStatus(m.self, StatusLeft, m.now)
	m.table.updateDigests(m.self)
	m.gossip(m.self, false, true)
}

// handleIDConflict handles the record of another run with the ID of this node. If that run has a larger incarnation, a
// node that is still joining exceeds it, and a joined node reports that it was replaced.
func (m *Module) handleIDConflict(r *NodeRecord) {
	other := r.Node.Ref
	if other.Incarnation <= m.self.record.Node.Ref.Incarnation {
		return
	}
	if m.joined {
		m.emit(ProcessReplacedCmd{By: other})
		return
	}
	m.table.remove(m.self)
	m.self.record.Node.Ref.Incarnation = other.Incarnation + 1
	m.self.key = refKey(m.self.record.Node.Ref)
	m.self.encoded = encodeRecord(&m.self.record)
	m.table.insert(m.self)
	m.contentChanged = true
	m.gossip(m.self, true, false)
}

// isUrgent reports whether the change forbids requests that callers could still send.
func isUrgent(previous, next *NodeRecord) bool {
	if next.Leaving != previous.Leaving {
		return true
	}
	for _, t := range previous.Targets {
		if t.State == model.TargetServing && !isServing(next.Targets, t.Ref) {
			return true
		}
	}
	return hasNew(previous.Ejections, next.Ejections) || hasNew(previous.Poison, next.Poison)
}

func isServing(targets []model.Target, ref model.TargetRef) bool {
	return slices.ContainsFunc(targets, func(t model.Target) bool {
		return t.Ref == ref && t.State == model.TargetServing
	})
}

func hasNew[T comparable](previous, next []T) bool {
	return slices.ContainsFunc(next, func(v T) bool { return !slices.Contains(previous, v) })
}

// sameContent reports whether two records of one node are equal in all fields that raise the version.
func (r *NodeRecord) sameContent(other *NodeRecord) bool {
	return r.Node == other.Node &&
		r.Leaving == other.Leaving &&
		r.Successor == other.Successor &&
		slices.Equal(r.Targets, other.Targets) &&
		slices.Equal(r.Ejections, other.Ejections) &&
		slices.Equal(r.Poison, other.Poison)
}
