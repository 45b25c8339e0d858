package roster

import (
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Pattern: the store comes back from a copy again and again while nodes write their records, and gives out versions again.
// Guards against members that fall back to a state of the copy, or stay at one after the node has written again.
func TestMembersOutliveCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []string{"n0", "n1", "n2"}
		store, copied := map[string]Row{}, map[string]Row{}
		newest := map[string]int{} // The slots in the last record that each node wrote.
		version, copiedVersion, era := uint64(0), uint64(0), uint64(0)
		m, heard := NewMembers(), map[string]int{}
		read := func() {
			page := Page{Whole: true, Version: version, Era: era}
			for _, row := range store {
				row.Era = era
				page.Rows = append(page.Rows, row)
			}
			apply(t, m, page)
			for id, row := range store {
				record, err := DecodeRecord(row)
				require.NoError(t, err)
				heard[id] = max(heard[id], record.Targets[0].Slots)
			}
		}
		slots := 0
		write := func(id string, fresh bool) {
			if fresh {
				slots++
				newest[id] = slots
			}
			record := recordOf(id, newest[id])
			record.Era = era
			version++
			store[id] = Row{Key: id, Value: record.Encode(), Version: version}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				write(rapid.SampledFrom(ids).Draw(t, "node"), true)
			case 2, 3:
				read()
			case 4:
				copied, copiedVersion = maps.Clone(store), version
			case 5:
				store, version, era = maps.Clone(copied), copiedVersion, era+1
				read()
			}
			for _, state := range m.NodeStates() {
				require.Equal(t, heard[state.Node.Ref.ID], state.Targets[0].Slots, "a state that was known before is forgotten")
			}
			require.Len(t, heard, m.Len())
		}
		for id := range newest {
			write(id, false) // Each node writes its record again.
		}
		read()
		require.Equal(t, newest, heard)
	})
}

// Guards against an owner that takes its row for stored although the store came back without it, that writes it at the same
// moment as all others, and that trusts a write or a conflict of an earlier era.
func TestOwnedRowInANewEra(t *testing.T) {
	write := func(t *testing.T, value string) (*OwnedRow, *WriteCmd) {
		t.Helper()
		row := NewOwnedRow("p", "k")
		cmd := row.Update(SetValueMsg{Value: []byte(value)})
		require.NotNil(t, cmd)
		return row, cmd
	}
	stored := func(t *testing.T) *OwnedRow {
		t.Helper()
		row, cmd := write(t, "a")
		require.Nil(t, row.Update(WrittenMsg{Value: cmd.Row.Value, Version: 100, Revision: cmd.Revision, Era: 1}))
		require.True(t, row.Stored())
		return row
	}
	t.Run("lost", func(t *testing.T) {
		row := stored(t)
		require.Nil(t, row.Update(EraMsg{Era: 2, Row: Row{Era: 2}}), "it waits for the moment of this node")
		require.Zero(t, row.StoredRevision())
		require.Nil(t, row.Update(ObservedMsg{Row: Row{Value: []byte("a"), Version: 100, Era: 1}}), "a late page")
		cmd := row.Update(SetValueMsg{Value: []byte("a")})
		require.NotNil(t, cmd)
		require.Zero(t, cmd.Expected)
		require.Nil(t, row.Update(WrittenMsg{Value: cmd.Row.Value, Version: 95, Revision: cmd.Revision, Era: 2}), "a version that was given out before")
		require.EqualValues(t, 1, row.StoredRevision())
	})
	t.Run("went back", func(t *testing.T) {
		row := stored(t)
		require.Nil(t, row.Update(EraMsg{Era: 2, Row: Row{Value: []byte("old"), Version: 90, Era: 2}}))
		cmd := row.Update(SetValueMsg{Value: []byte("b")})
		require.EqualValues(t, 90, cmd.Expected)
	})
	t.Run("kept", func(t *testing.T) {
		row := stored(t)
		require.Nil(t, row.Update(EraMsg{Era: 2, Row: Row{Value: []byte("a"), Version: 100, Era: 2}}))
		require.True(t, row.Stored())
		require.EqualValues(t, 1, row.StoredRevision())
	})
	t.Run("write of an earlier era", func(t *testing.T) {
		row, first := write(t, "a")
		require.Nil(t, row.Update(EraMsg{Era: 2, Row: Row{Era: 2}}))
		require.Nil(t, row.Update(WrittenMsg{Value: first.Row.Value, Version: 100, Revision: first.Revision, Era: 1}))
		require.False(t, row.Stored(), "the copy may lack the write")
		require.NotNil(t, row.Update(SetValueMsg{Value: []byte("a")}))
	})
	t.Run("conflict of an earlier era", func(t *testing.T) {
		row, _ := write(t, "a")
		require.Nil(t, row.Update(EraMsg{Era: 2, Row: Row{Value: []byte("old"), Version: 5, Era: 2}}))
		require.Nil(t, row.Update(ConflictMsg{Current: Row{Value: []byte("x"), Version: 99, Era: 1}}))
		cmd := row.Update(SetValueMsg{Value: []byte("a")})
		require.EqualValues(t, 5, cmd.Expected)
		cmd = row.Update(ConflictMsg{Current: Row{Value: []byte("late"), Version: 6, Era: 2}})
		require.EqualValues(t, 6, cmd.Expected, "the row is read anew before it is written")
	})
}
