package hosted

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Pattern: the store refuses a node for nine seconds while all other nodes report a newer configuration with each
// request. Guards against a call to the store every 0.3 s, and against delays that far outlast the outage.
func TestRefreshBacksOff(t *testing.T) {
	const step, outage = 10 * time.Millisecond, 9 * time.Second
	var l refreshBackoff
	begin := time.Unix(1000, 0)
	calls := 0
	for at := time.Duration(0); at < outage; at += step {
		if l.allow(begin.Add(at), 7) {
			calls++
		}
	}
	require.LessOrEqual(t, calls, 6, "a fixed delay would make 30 calls")
	require.GreaterOrEqual(t, calls, 4)
	require.True(t, l.allow(begin.Add(outage+maxRefreshDelay), 7))
	now := begin.Add(time.Minute)
	require.False(t, l.allow(now, 8), "the first refresh is delayed")
	require.False(t, l.allow(now.Add(refreshDelay-step), 8))
	require.True(t, l.allow(now.Add(refreshDelay), 8), "the next change starts with the initial delay")
	require.False(t, l.allow(now.Add(refreshDelay), 7), "an older number does not reset the delay")
}
