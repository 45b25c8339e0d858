package hosted

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
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
// Guards too against a follower that waits on without a confirmation, and against one that calls without pause.
func TestFollowerDoesNotWaitAtTheStore(t *testing.T) {
	store := &countingTable{}
	follows, confirmed := true, func() time.Time { return time.Now() }
	table := &configurationTable{
		Table: store, maxWait: func() time.Duration { return 10 * time.Millisecond }, follows: func() bool { return follows },
		clock: timer.NewReal(), logger: log.NewNopLogger(), confirm: func(time.Time) {},
		confirmedAt: func() time.Time { return confirmed() }, maxAge: func() time.Duration { return time.Minute },
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
	begin := time.Now()
	confirmed = func() time.Time { return begin }
	table.maxWait, table.maxAge = func() time.Duration { return time.Minute }, func() time.Duration { return 30 * time.Millisecond }
	table.asked = begin.Add(-time.Second)
	_, err = table.Watch(t.Context(), 7, time.Minute)
	require.NoError(t, err)
	require.Equal(t, [2]int{0, 3}, [2]int{store.waits, store.looks}, "it looks once the confirmation is too old")
	require.GreaterOrEqual(t, time.Since(begin), 30*time.Millisecond)
	confirmed = func() time.Time { return time.Time{} }
	again := table.asked
	_, err = table.Watch(t.Context(), 7, time.Minute)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(again), 30*time.Millisecond, "it pauses between two looks")
	store.looks, table.maxWait = 2, func() time.Duration { return 10 * time.Millisecond }
	follows = false
	_, err = table.Watch(t.Context(), 7, time.Second)
	require.NoError(t, err)
	require.Equal(t, [2]int{1, 2}, [2]int{store.waits, store.looks}, "a reader waits at the store")
}
