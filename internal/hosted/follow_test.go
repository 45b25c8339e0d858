package hosted

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/internal/timer"
)

// countingTable counts the calls that wait at the store and those that only look.
type countingTable struct {
	roster.Table
	waits, looks int
}

func (t *countingTable) Watch(_ context.Context, after uint64, wait time.Duration) (roster.Page, error) {
	if wait > 0 {
		t.waits++
	} else {
		t.looks++
	}
	return roster.Page{Version: after}, nil
}

// Pattern: configurations follow each other quickly while most nodes follow another one. Guards against a call to the store
// for each change and node, against a follower that never looks by itself, and against one that is told and does not look.
func TestFollowerDoesNotWaitAtTheStore(t *testing.T) {
	store := &countingTable{}
	follows := true
	table := &configurationTable{
		Table: store, maxWait: func() time.Duration { return 10 * time.Millisecond }, follows: func() bool { return follows },
		clock: timer.NewReal(), confirm: func(time.Time) {},
	}
	_, err := table.Watch(t.Context(), 7, time.Second)
	require.NoError(t, err)
	require.Equal(t, [2]int{0, 1}, [2]int{store.waits, store.looks}, "it looks at the end of the wait")
	_, err = table.Watch(t.Context(), 7, 0)
	require.NoError(t, err)
	require.Equal(t, [2]int{0, 2}, [2]int{store.waits, store.looks}, "a node that was told looks at once")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = table.Watch(ctx, 7, time.Second)
	require.ErrorIs(t, err, context.Canceled, "a refresh ends the wait")
	follows = false
	_, err = table.Watch(t.Context(), 7, time.Second)
	require.NoError(t, err)
	require.Equal(t, [2]int{1, 2}, [2]int{store.waits, store.looks}, "a reader waits at the store")
}
