package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Pattern: the store is away for ten seconds while the configuration changes. Guards against a node that asks it again so late
// after its return that the change is not in force three seconds after it; found by a hunt with pauses of up to 1.8 s.
func TestPausesStayShortInALongOutage(t *testing.T) {
	const outage, most = 10 * time.Second, time.Second
	var p pauses
	for at := time.Duration(0); at < outage; {
		pause := p.next()
		require.LessOrEqual(t, pause, most)
		at += pause
	}
	require.Positive(t, p.reset())
	require.LessOrEqual(t, p.next(), firstPause)
}
