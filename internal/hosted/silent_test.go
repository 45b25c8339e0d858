package hosted_test

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// configurationBound is the default time within which a configuration must be in force on all nodes.
	configurationBound = 2 * time.Second
	// settledTime is the time after its start by which a node follows the same other node for long.
	settledTime = startupTime + 8*time.Second
	// callTime is the time that one call of a follower waits for changes of the rows.
	callTime = 2 * time.Second
)

// silentConn is a connection on which nothing arrives while the other side is silent, as if it were frozen or cut off.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
	closed atomic.Bool
}

// Read reads what has arrived, once the other side is no longer silent.
func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for c.silent.Load() && !c.closed.Load() {
		time.Sleep(5 * time.Millisecond)
	}
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes the connection and ends a pending read.
func (c *silentConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// readers returns the nodes that read the rows at the store, which all others follow.
func (f *fleet) readers() []*testNode {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *testNode) bool {
		changes := strings.Split(n.log.String(), "membership source changed")
		last, _, _ := strings.Cut(changes[len(changes)-1], "\n")
		return !strings.Contains(last, `"to":"store"`)
	})
}

// Pattern: the nodes that all others follow freeze or are cut off from the store, and a configuration comes while no request
// tells the others of it. Guards against followers that take the silence of a node, or its responses without news, for the
// knowledge that there is none (CONFIG, review case 10).
func TestSilentSourceDoesNotHideAConfiguration(t *testing.T) {
	for name, silence := range map[string]func(*testNode){
		"frozen":                 func(n *testNode) { n.frozen.Store(true) },
		"cut off from the store": func(n *testNode) { n.store.silent.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, "kassa")
			for range 8 {
				f.add("kassa", "a").target.keepAlive()
			}
			f.awaitNumber(1, 5*time.Second)
			time.Sleep(settledTime)
			readers := f.readers()
			require.Len(t, readers, 2)
			calls := f.store.Calls("rows-feed")
			time.Sleep(callTime)
			// Each reader calls every 1.25 s for the configuration, and every 5 s for the rows.
			require.LessOrEqual(t, f.store.Calls("rows-feed")-calls, 2*4, "followers add no calls in calm")

			f.configure(2, "kassa") // The calls of the followers begin anew after it.
			f.awaitNumber(2, configurationBound)
			time.Sleep(callTime + 150*time.Millisecond)
			for _, n := range readers {
				silence(n)
			}
			f.configure(3, "kassa")
			changed, line := time.Now(), fmt.Sprintf(`"number":%d,`, 3)
			for _, n := range f.nodes {
				if slices.Contains(readers, n) {
					continue
				}
				require.Eventually(t, func() bool { return n.log.contains("configuration in force", line) },
					configurationBound-time.Since(changed), 5*time.Millisecond, "%s:\n%s", n.id, n.log.last(20))
			}
			t.Logf("in force after %v", time.Since(changed))
			for _, n := range readers { // They could not leave otherwise.
				n.frozen.Store(false)
				n.store.silent.Store(false)
			}
		})
	}
}
