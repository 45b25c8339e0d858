package roster

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// cell is the row in the store; writes may be applied late.
type cell struct {
	value   string
	version uint64
}

func (c *cell) apply(cmd WriteCmd) bool {
	if c.version != cmd.Expected {
		return false
	}
	c.value, c.version = string(cmd.Row.Value), c.version+1
	return true
}

// Guards against a write that takes effect late, after its answer was given up, and undoes a newer one; and against a row
// that stays old when the store works again. An earlier run of the node may have writes under way as well.
func TestLateWritesNeverUndoNewerOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store cell
		var late []WriteCmd
		if rapid.Bool().Draw(t, "earlier run") {
			store = cell{value: "earlier", version: 1}
			late = append(late, WriteCmd{Row: Row{Value: []byte("earlier-late")}, Expected: 1})
		}
		own := NewOwn("part", "key")
		var pending *WriteCmd
		newest, values := "", 0
		take := func(cmd *WriteCmd) {
			if cmd != nil {
				require.Nil(t, pending, "two writes under way")
				pending = cmd
			}
		}
		answer := func(cmd *WriteCmd) OwnMsg {
			if store.apply(*cmd) {
				return WrittenMsg{Value: cmd.Row.Value, Version: store.version}
			}
			return ConflictMsg{Current: Row{Value: []byte(store.value), Version: store.version}}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				values++
				newest = fmt.Sprintf("value-%d", values)
				take(own.Update(WantMsg{Value: []byte(newest)}))
			case 1, 2:
				if cmd := pending; cmd != nil {
					pending = nil
					take(own.Update(answer(cmd)))
				}
			case 3:
				if cmd := pending; cmd != nil {
					pending = nil
					late = append(late, *cmd)
					take(own.Update(FailedMsg{}))
				}
			case 4:
				if len(late) > 0 {
					store.apply(late[0])
					late = late[1:]
				}
			case 5:
				take(own.Update(SeenMsg{Row: Row{Value: []byte(store.value), Version: store.version}}))
			}
			require.Equal(t, own.wants && own.Stored(), own.Stored())
		}
		if newest == "" {
			return
		}
		for i := 0; pending != nil || len(late) > 0; i++ {
			require.Less(t, i, 500, "the row never settles")
			if len(late) > 0 {
				store.apply(late[0])
				late = late[1:]
			}
			if cmd := pending; cmd != nil {
				pending = nil
				take(own.Update(answer(cmd)))
			} else {
				take(own.Update(SeenMsg{Row: Row{Value: []byte(store.value), Version: store.version}}))
			}
		}
		take(own.Update(SeenMsg{Row: Row{Value: []byte(store.value), Version: store.version}}))
		for pending != nil {
			cmd := pending
			pending = nil
			take(own.Update(answer(cmd)))
		}
		require.Equal(t, newest, store.value)
		require.True(t, own.Stored())
	})
}
