package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/timer"
)

// Pattern: the wall clock jumps ahead and is set back, at once or later. Guards against refusing requests until the clock
// reaches the time of the first jump again.
func TestClockSetBackEndsTheRefusals(t *testing.T) {
	for _, between := range []time.Duration{0, 100 * time.Millisecond, 5 * time.Second} {
		clock := timer.NewManual(time.Unix(1000, 0))
		w := newPauseDetector(clock)
		w.resumed.Store(0)
		w.tick()
		clock.Advance(time.Minute)
		w.tick()
		require.True(t, w.resumedRecently(), "a jump ahead looks like a pause")
		for end := clock.Now().Add(between); clock.Now().Before(end); {
			clock.Advance(pauseCheckInterval)
			w.tick()
		}
		clock.Advance(-time.Minute)
		for range int(pauseGrace/pauseCheckInterval) + 1 { // The first tick notices that the clock was set back.
			clock.Advance(pauseCheckInterval)
			w.tick()
		}
		require.False(t, w.resumedRecently(), "%v after the jump, the clock was set back", between)
	}
}
