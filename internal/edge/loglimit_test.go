package edge

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a log that fills with one line per request while an agent is down, and against lines without the
// number of suppressed events.
func TestRepeatedEventsAreRateLimited(t *testing.T) {
	var r logLimiter
	now := time.Unix(1000, 0)
	key := logKey{event: "agent unreachable", address: "10.0.0.5:7402"}
	lines, events := 0, 0
	for i := range 2500 {
		if suppressed, ok := r.allow(now.Add(time.Duration(i)*time.Millisecond), key); ok {
			lines++
			events += 1 + suppressed
		}
	}
	require.Equal(t, 3, lines)
	require.Equal(t, 2001, events, "the line at 2 s must count all events before it")
	_, ok := r.allow(now, logKey{event: "agent unreachable", address: "10.0.0.6:7402"})
	require.True(t, ok, "events at another agent must be logged separately")
	for i := range 2 * maxLogKeys {
		r.allow(now, logKey{address: strconv.Itoa(i)})
		require.LessOrEqual(t, len(r.events), maxLogKeys)
	}
}
