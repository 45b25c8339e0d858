package roster

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

func recordOf(id string, slots int) *Record {
	return &Record{
		Node:    model.Node{Ref: model.NodeRef{ID: id, Incarnation: 1}, Domain: "d", RelayAddress: "10.0.0.1:1"},
		Targets: []model.Target{{Ref: model.TargetRef{Service: "s", ID: "t-" + id, Incarnation: 7}, Slots: slots, State: model.TargetDraining}},
	}
}

// Guards against fields of a record that are lost when it is encoded and decoded.
func TestRecordRoundTrip(t *testing.T) {
	r := recordOf("n", 3)
	r.Leaving, r.Crashes = true, []model.CrashEntry{{Fingerprint: 1, Crashes: model.Crashes{Round: 3, Count: 2}}}
	r.Withdrawn, r.KnownDraining = []model.TargetRef{{Service: "s", ID: "g", Incarnation: 1}}, []model.TargetRef{{Service: "s", ID: "d", Incarnation: 2}}
	decoded, err := DecodeRecord(Row{Key: "n", Value: r.Encode()})
	require.NoError(t, err)
	require.Equal(t, r, decoded)
	require.Empty(t, decoded.NodeState().Targets, "targets of a leaving node are not candidates")
}

// changed returns the encoded record of a node with a change.
func changed(id string, change func(*Record)) []byte {
	r := recordOf(id, 1)
	change(r)
	return r.Encode()
}

// Guards against a row that is not a valid record of its node and adds a member, or makes valid rows of the page fail.
func TestInvalidRowsAreIgnored(t *testing.T) {
	m := NewMembers()
	good := recordOf("good", 1)
	records, errs := m.Apply(Page{Whole: true, Rows: []Row{
		{Key: "good", Value: good.Encode(), Version: 1},
		{Key: "text", Value: []byte("hello"), Version: 2},
		{Key: "empty", Version: 3},
		{Key: "borrowed", Value: good.Encode(), Version: 4},
		{Key: "bytes", Value: []byte{0xff, 0, 1}, Version: 5},
		{Key: "port", Value: changed("port", func(r *Record) { r.Node.RelayAddress = "10.0.0.1:65536" }), Version: 6},
		{Key: "slots", Value: changed("slots", func(r *Record) { r.Targets[0].Slots = 1 << 40 }), Version: 7},
		{Key: "state", Value: changed("state", func(r *Record) { r.Targets[0].State = 9 }), Version: 8},
		{Key: "nested", Value: append(bytes.Repeat([]byte{0x81}, 5000), 0), Version: 9},
	}})
	require.Len(t, errs, 8)
	require.Equal(t, []*Record{good}, records)
	require.Len(t, m.NodeStates(), 1)
	require.Equal(t, "good", m.NodeStates()[0].Node.Ref.ID)
}

// Guards against a node that replaces the record of another node by an older one, in any order of pages.
func TestMembersNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMembers()
		newest := map[string]Row{}
		var history []Row
		for version := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			id := fmt.Sprintf("n%d", rapid.IntRange(0, 3).Draw(t, "node"))
			row := Row{Key: id, Value: recordOf(id, int(version)).Encode(), Version: version + 1}
			history = append(history, row)
			newest[id] = row
			apply(t, m, Page{Rows: []Row{row}})
			old := history[rapid.IntRange(0, len(history)-1).Draw(t, "old")]
			apply(t, m, Page{Rows: []Row{old}})
			require.Equal(t, len(newest), m.Len())
			for _, state := range m.NodeStates() {
				require.Equal(t, int(newest[state.Node.Ref.ID].Version)-1, state.Targets[0].Slots)
			}
		}
		apply(t, m, Page{Whole: true}) // The table is empty.
		require.Zero(t, m.Len())
	})
}

// apply applies a page whose rows are all valid records.
func apply(t require.TestingT, m *Members, p Page) {
	_, errs := m.Apply(p)
	require.Empty(t, errs)
}

// Pattern: another writer puts a row under the name of a node into another partition. Guards against a sound node that
// disappears, also when the row looks like its record or is deleted later.
func TestRowOfAnotherPartitionDoesNotHideANode(t *testing.T) {
	own := recordOf("n", 1)
	for name, value := range map[string][]byte{"text": []byte("hello"), "record": recordOf("n", 9).Encode()} {
		t.Run(name, func(t *testing.T) {
			m := NewMembers()
			m.Apply(Page{Whole: true, Version: 1, Rows: []Row{{Part: "d", Key: "n", Value: own.Encode(), Version: 1}}})
			check := func(when string) {
				states := m.NodeStates()
				require.Len(t, states, 1, when)
				require.Equal(t, own.Targets, states[0].Targets, when)
			}
			m.Apply(Page{Version: 2, Rows: []Row{{Part: "other", Key: "n", Value: value, Version: 2}}})
			check("after the row was written")
			m.Apply(Page{Version: 3, Rows: []Row{{Part: "other", Key: "n", Version: 3, Deleted: true}}})
			check("after the row was deleted")
			m.Apply(Page{Whole: true, Version: 4, Rows: []Row{
				{Part: "d", Key: "n", Value: own.Encode(), Version: 1}, {Part: "other", Key: "n", Value: value, Version: 4},
			}})
			check("after all rows were read again")
		})
	}
}
