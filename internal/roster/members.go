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

// Apply takes a page of rows and returns the records that are new, and the errors of the rows that are no records; these
// rows are passed over. Rows older than the known ones change nothing.
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

// NodeStates returns what the nodes contribute to the view, sorted by node.
func (m *Members) NodeStates() []view.NodeState {
	parts := make([]view.NodeState, 0, len(m.records))
	for _, known := range m.records {
		parts = append(parts, known.record.NodeState())
	}
	slices.SortFunc(parts, func(a, b view.NodeState) int { return strings.Compare(a.Node.Ref.ID, b.Node.Ref.ID) })
	return parts
}
