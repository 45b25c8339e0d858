package edge

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a log that fills with one line per request while an agent is down, and against lines that hide how many
// events they stand for.
func TestRepeatedEventsGetOneLineASecond(t *testing.T) {
	var r repeats
	now := time.Unix(1000, 0)
	key := repeatKey{event: "agent unreachable", address: "10.0.0.5:7402"}
	lines, events := 0, 0
	for i := range 2500 {
		if suppressed, ok := r.next(now.Add(time.Duration(i)*time.Millisecond), key); ok {
			lines++
			events += 1 + suppressed
		}
	}
	require.Equal(t, 3, lines)
	require.Equal(t, 2001, events, "the line at 2 s counts all events before it")
	_, ok := r.next(now, repeatKey{event: "agent unreachable", address: "10.0.0.6:7402"})
	require.True(t, ok, "another agent has lines of its own")
	for i := range 2 * maxRepeats {
		r.next(now, repeatKey{address: strconv.Itoa(i)})
		require.LessOrEqual(t, len(r.events), maxRepeats)
	}
}
