package hosted

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Pattern: the store turns a node away for nine seconds while all others know a newer configuration and tell it with each
// request. Guards against a call to the store every 0.3 s, and against pauses that outlast the outage by much.
func TestLooksAtAStoreThatRefusesGrowRarer(t *testing.T) {
	const step, outage = 10 * time.Millisecond, 9 * time.Second
	var l looks
	begin := time.Unix(1000, 0)
	calls := 0
	for at := time.Duration(0); at < outage; at += step {
		if l.due(begin.Add(at), 7) {
			calls++
		}
	}
	require.LessOrEqual(t, calls, 6, "of 30 calls at a fixed pause")
	require.GreaterOrEqual(t, calls, 4)
	require.True(t, l.due(begin.Add(outage+lookPauseMost), 7))
	now := begin.Add(time.Minute)
	require.False(t, l.due(now, 8), "the usual way takes less than the pause")
	require.False(t, l.due(now.Add(lookPause-step), 8))
	require.True(t, l.due(now.Add(lookPause), 8), "the next change starts with the short pause")
	require.False(t, l.due(now.Add(lookPause), 7), "a number that is older than one heard of starts nothing anew")
}
