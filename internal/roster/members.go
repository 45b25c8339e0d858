package roster

import (
	"slices"
	"strings"

	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Members holds the records of all nodes. It is not safe for concurrent use.
type Members struct {
	records map[memberKey]member
}

// memberKey identifies a row: one in another partition must not replace or remove that of a node.
type memberKey struct{ partition, key string }

type member struct {
	record  *Record
	version uint64
	// era is the one in which the row was read.
	era uint64
	// forgotten is true once the store came back without this state of the row; only a later record of the node replaces it.
	forgotten bool
}

// NewMembers returns an empty set.
func NewMembers() *Members {
	return &Members{records: make(map[memberKey]member)}
}

// Apply adds a page of rows and returns the records that changed, and an error for each row that is not a valid record.
// A row that is not a valid record removes its node; a row older than the known one is ignored. What a store that came back
// from a copy has lost is kept.
func (m *Members) Apply(p Page) (changed []*Record, errs []error) {
	seen := make(map[memberKey]bool, len(p.Rows))
	for _, row := range p.Rows {
		key := memberKey{partition: row.Part, key: row.Key}
		seen[key] = true
		known, ok := m.records[key]
		if ok && !row.Forgotten && (row.Era < known.era || row.Era == known.era && row.Version <= known.version) {
			continue
		}
		if row.Deleted {
			delete(m.records, key)
			continue
		}
		record, err := DecodeRecord(row)
		if err != nil && row.Forgotten {
			continue
		}
		if err != nil {
			errs = append(errs, err)
			delete(m.records, key)
			continue
		}
		read := member{record: record, version: row.Version, era: row.Era, forgotten: row.Forgotten}
		switch {
		case ok && row.Forgotten && !read.writtenAfter(known):
			continue
		case ok && row.Era > known.era && known.writtenAfter(read):
			known.forgotten = true
			m.records[key] = known
			continue
		}
		m.records[key] = read
		changed = append(changed, record)
	}
	if p.Whole {
		m.removeMissing(seen, p.Era)
	}
	return changed, errs
}

// removeMissing removes the nodes that a whole page does not contain, unless their rows were lost with an earlier era.
func (m *Members) removeMissing(seen map[memberKey]bool, era uint64) {
	for key, known := range m.records {
		switch {
		case seen[key] || known.forgotten:
		case known.era < era:
			known.forgotten = true
			m.records[key] = known
		default:
			delete(m.records, key)
		}
	}
}

// writtenAfter reports whether the node wrote the record after the other one, whatever eras they were read in.
func (m member) writtenAfter(other member) bool {
	return m.record.Era > other.record.Era || m.record.Era == other.record.Era && m.version > other.version
}

// Len returns the number of nodes.
func (m *Members) Len() int {
	return len(m.records)
}

// Serving returns the nodes that have targets and have not announced that they shut down. Of several at one address only the
// newest is left: the VMs of the others are gone.
func (m *Members) Serving() []model.Node {
	newest := make(map[string]member)
	for _, key := range m.ownRows() {
		row := m.records[key]
		if address := row.record.Node.RelayAddress; row.version > newest[address].version {
			newest[address] = row
		}
	}
	nodes := make([]model.Node, 0, len(newest))
	for _, row := range newest {
		if row.record.Serving() {
			nodes = append(nodes, row.record.Node)
		}
	}
	return nodes
}

// ownRows returns the row of each node, by node ID.
func (m *Members) ownRows() map[string]memberKey {
	own := make(map[string]memberKey, len(m.records))
	for key := range m.records {
		if other, found := own[key.key]; !found || m.precedes(key, other) {
			own[key.key] = key
		}
	}
	return own
}

// NodeStates returns the states of the nodes for the view, sorted by node ID.
func (m *Members) NodeStates() []view.NodeState {
	own := m.ownRows()
	states := make([]view.NodeState, 0, len(own))
	for _, key := range own {
		states = append(states, m.records[key].record.NodeState())
	}
	slices.SortFunc(states, func(a, b view.NodeState) int { return strings.Compare(a.Node.Ref.ID, b.Node.Ref.ID) })
	return states
}

// precedes reports whether the row at key a rather than the one at b holds the state of their node: a node writes only to
// the partition of its failure domain.
func (m *Members) precedes(a, b memberKey) bool {
	x, y := m.records[a], m.records[b]
	if inOwnX, inOwnY := a.partition == x.record.Node.Domain, b.partition == y.record.Node.Domain; inOwnX != inOwnY {
		return inOwnX
	}
	return x.version > y.version
}
