package hosted_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/platform/fake"
)

const (
	// lostAnswerBound is the time after the store is sound again in which every node must have the latest configuration.
	lostAnswerBound = 3 * time.Second
	// startupTime is the time after which a node polls as it does from then on.
	startupTime = 5 * time.Second
)

// Pattern: the store loses responses, on calls that it never ends either, while the configuration changes. Guards against
// nodes without traffic that keep an older configuration because their own call was lost (CONFIG).
func TestLostResponseDoesNotHideAConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		share float64
		size  int
	}{
		"some responses": {0.35, 12}, "all responses": {1, 12}, "readers only": {0.35, 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, "kassa")
			for i := range c.size {
				f.add("kassa", string(rune('a'+i%2))).target.keepAlive()
			}
			f.awaitNumber(1, 5*time.Second)
			time.Sleep(startupTime) // The nodes have chosen whom to follow.
			rounds := 1
			if !testing.Short() {
				rounds = 10
			}
			for round := range rounds {
				f.store.SetLost(func(fake.Call) bool { return rand.Float64() < c.share })
				time.Sleep(time.Second + rand.N(5*time.Second))
				f.configure(2+round, "kassa")
				time.Sleep(rand.N(time.Second))
				f.store.SetLost(nil)
				f.awaitNumber(2+round, lostAnswerBound)
			}
		})
	}
}

// awaitNumber waits until all nodes have the configuration in force.
func (f *fleet) awaitNumber(number int, most time.Duration) {
	f.t.Helper()
	begin, line := time.Now(), fmt.Sprintf(`"number":%d,`, number)
	for _, n := range f.nodes {
		require.Eventually(f.t, func() bool { return n.log.contains("configuration in force", line) }, most-time.Since(begin), 5*time.Millisecond,
			"%s has not got configuration %d:\n%s", n.id, number, n.log.last(20))
	}
	f.t.Logf("configuration %d in force after %v", number, time.Since(begin))
}

// last returns the last lines.
func (l *logBuffer) last(lines int) string {
	all := strings.Split(l.String(), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
