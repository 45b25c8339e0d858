package hosted

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Pattern: the store refuses a node for nine seconds while all other nodes report a newer configuration with each
// request. Guards against a call to the store every 0.15 s, and against delays that far outlast the outage.
func TestRefreshBacksOff(t *testing.T) {
	const step, outage = 10 * time.Millisecond, 9 * time.Second
	var l refreshBackoff
	begin := time.Unix(1000, 0)
	calls := 0
	for at := time.Duration(0); at < outage; at += step {
		if _, due := l.schedule(begin.Add(at), 7); due {
			calls++
		}
	}
	require.LessOrEqual(t, calls, 6, "a fixed delay would make 60 calls")
	require.GreaterOrEqual(t, calls, 4)
	delay, due := l.schedule(begin.Add(outage+maxRefreshDelay), 7)
	require.True(t, due)
	require.Zero(t, delay)
	now := begin.Add(time.Minute)
	delay, due = l.schedule(now, 8)
	require.True(t, due)
	require.Equal(t, refreshDelay, delay, "the first refresh is delayed")
	_, due = l.schedule(now.Add(2*refreshDelay-step), 8)
	require.False(t, due)
	delay, due = l.schedule(now.Add(2*refreshDelay), 8)
	require.True(t, due, "the next change starts with the initial delay")
	require.Zero(t, delay)
	_, due = l.schedule(now.Add(2*refreshDelay), 7)
	require.False(t, due, "an older number does not reset the delay")
}
