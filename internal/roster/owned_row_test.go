package roster

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// storedRow is the row in a simulated store; writes may be applied late.
type storedRow struct {
	value   string
	version uint64
}

func (r *storedRow) apply(cmd WriteCmd) bool {
	if r.version != cmd.Expected {
		return false
	}
	r.value, r.version = string(cmd.Row.Value), r.version+1
	return true
}

// valueNumber returns the number in a value of TestLateWritesNeverUndoNewerOnes.
func valueNumber(t *rapid.T, value string) (number uint64) {
	_, err := fmt.Sscanf(value, "value-%d", &number)
	require.NoError(t, err, value)
	return number
}

// Guards against a write that takes effect after its call timed out and overwrites a newer one, and against a row that
// stays outdated after the store has recovered, or that is reported as stored before it is. An earlier process of the node may have writes in progress as well.
func TestLateWritesNeverUndoNewerOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store storedRow
		var late []WriteCmd
		if rapid.Bool().Draw(t, "earlier process") {
			store = storedRow{value: "earlier", version: 1}
			late = append(late, WriteCmd{Row: Row{Value: []byte("earlier-late")}, Expected: 1})
		}
		row := NewOwnedRow("part", "key")
		var pending *WriteCmd
		newest, values := "", 0
		start := func(cmd *WriteCmd) {
			if cmd != nil {
				require.Nil(t, pending, "two writes in progress")
				pending = cmd
			}
		}
		execute := func(cmd *WriteCmd) OwnedRowMsg {
			if store.apply(*cmd) {
				return WrittenMsg{Value: cmd.Row.Value, Version: store.version, Revision: cmd.Revision}
			}
			return ConflictMsg{Current: Row{Value: []byte(store.value), Version: store.version}}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				values++
				newest = fmt.Sprintf("value-%d", values)
				start(row.Update(SetValueMsg{Value: []byte(newest)}))
			case 1, 2:
				if cmd := pending; cmd != nil {
					pending = nil
					start(row.Update(execute(cmd)))
				}
			case 3:
				if cmd := pending; cmd != nil {
					pending = nil
					late = append(late, *cmd)
					start(row.Update(WriteFailedMsg{}))
				}
			case 4:
				if len(late) > 0 {
					store.apply(late[0])
					late = late[1:]
				}
			case 5:
				start(row.Update(ObservedMsg{Row: Row{Value: []byte(store.value), Version: store.version}}))
			}
			require.Equal(t, row.Revision() > 0 && row.Stored(), row.Stored())
			require.EqualValues(t, values, row.Revision())
			if row.StoredRevision() > 0 {
				require.GreaterOrEqual(t, valueNumber(t, store.value), row.StoredRevision(), "the row reports a value as stored that the store does not hold")
			}
		}
		if newest == "" {
			return
		}
		for i := 0; pending != nil || len(late) > 0; i++ {
			require.Less(t, i, 500, "the row never reaches its last value")
			if len(late) > 0 {
				store.apply(late[0])
				late = late[1:]
			}
			if cmd := pending; cmd != nil {
				pending = nil
				start(row.Update(execute(cmd)))
			} else {
				start(row.Update(ObservedMsg{Row: Row{Value: []byte(store.value), Version: store.version}}))
			}
		}
		start(row.Update(ObservedMsg{Row: Row{Value: []byte(store.value), Version: store.version}}))
		for pending != nil {
			cmd := pending
			pending = nil
			start(row.Update(execute(cmd)))
		}
		require.Equal(t, newest, store.value)
		require.True(t, row.Stored())
	})
}
