package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a node that calls the store again so late after an outage of ten seconds that a configuration changed
// meanwhile is not in force three seconds after the store recovered. Delays of up to 1.8 s caused this fault.
func TestBackoffStaysShortInLongOutage(t *testing.T) {
	const outage, maxDelay = 10 * time.Second, time.Second
	var b backoff
	for at := time.Duration(0); at < outage; {
		delay := b.next()
		require.LessOrEqual(t, delay, maxDelay)
		at += delay
	}
	require.Positive(t, b.reset())
	require.LessOrEqual(t, b.next(), initialBackoff)
}
