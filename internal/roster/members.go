package roster

import (
	"slices"
	"strings"

	"github.com/auburnwinch/auburnwinch/internal/view"
)

// Members holds the records of all nodes. It is not safe for concurrent use.
type Members struct {
	records map[string]member
}

type member struct {
	record  *Record
	version uint64
}

// NewMembers returns an empty set.
func NewMembers() *Members {
	return &Members{records: make(map[string]member)}
}

// Apply adds a page of rows and returns the records that changed, and an error for each row that is not a valid record.
// A row that is not a valid record removes its node; a row older than the known one is ignored.
func (m *Members) Apply(p Page) (changed []*Record, errs []error) {
	seen := make(map[string]bool, len(p.Rows))
	for _, row := range p.Rows {
		seen[row.Key] = true
		if known, ok := m.records[row.Key]; ok && row.Version <= known.version {
			continue
		}
		if row.Deleted {
			delete(m.records, row.Key)
			continue
		}
		record, err := DecodeRecord(row)
		if err != nil {
			errs = append(errs, err)
			delete(m.records, row.Key)
			continue
		}
		m.records[row.Key] = member{record: record, version: row.Version}
		changed = append(changed, record)
	}
	if p.Whole {
		for key := range m.records {
			if !seen[key] {
				delete(m.records, key)
			}
		}
	}
	return changed, errs
}

// Len returns the number of nodes.
func (m *Members) Len() int {
	return len(m.records)
}

// NodeStates returns the states of the nodes for the view, sorted by node ID.
func (m *Members) NodeStates() []view.NodeState {
	states := make([]view.NodeState, 0, len(m.records))
	for _, known := range m.records {
		states = append(states, known.record.NodeState())
	}
	slices.SortFunc(states, func(a, b view.NodeState) int { return strings.Compare(a.Node.Ref.ID, b.Node.Ref.ID) })
	return states
}
