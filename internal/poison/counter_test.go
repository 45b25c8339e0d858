package poison_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/auburnwinch/auburnwinch/internal/poison"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const request = 7

var counterStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// cluster holds the counters of several nodes; the test decides which nodes exchange entries.
type cluster struct {
	now      time.Time
	counters []*poison.Counter
}

func newCluster(n int, config poison.CounterConfig) *cluster {
	c := &cluster{now: counterStart}
	for range n {
		c.counters = append(c.counters, poison.NewCounter(config))
	}
	return c
}

// known returns the crash count that a node has for the request.
func (c *cluster) known(node int) model.Crashes {
	return c.counters[node].Counts().Crashes(c.now, request)
}

// crash reports to the counter of a node that one of its targets crashed while running the request; known is the crash
// count that the node which sent the request to this target had for it when it sent it.
func (c *cluster) crash(node int, known model.Crashes) []poison.CounterCmd {
	return c.counters[node].Update(poison.TargetCrashedMsg{Now: c.now, Fingerprint: request, Known: known})
}

// succeed reports to the counter of a node that one of its targets answered the request.
func (c *cluster) succeed(node int) []poison.CounterCmd {
	return c.counters[node].Update(poison.AnsweredMsg{Now: c.now, Fingerprint: request})
}

// deliver sends the entries that one node observed itself to another.
func (c *cluster) deliver(from, to int) {
	c.counters[to].Update(poison.RemoteCountsMsg{Now: c.now, Entries: c.counters[from].LocalEntries()})
}

func (c *cluster) deliverAll() {
	for from := range c.counters {
		for to := range c.counters {
			c.deliver(from, to)
		}
	}
}

// Guards against quarantining a request before the third consecutive crash of a target that ran it, and against not
// quarantining it after that.
func TestThirdConsecutiveCrashQuarantines(t *testing.T) {
	c := newCluster(4, poison.CounterConfig{})
	for node := range 3 {
		require.False(t, c.counters[3].Counts().Quarantined(c.now, request), "before crash %d", node+1)
		cmds := c.crash(node, c.known(3))
		require.Contains(t, cmds, poison.PublishCountsCmd{})
		require.Equal(t, node == 2, slices.ContainsFunc(cmds, func(cmd poison.CounterCmd) bool {
			_, ok := cmd.(poison.QuarantineCmd)
			return ok
		}))
		c.deliverAll()
	}
	for _, counter := range c.counters {
		require.True(t, counter.Counts().Quarantined(c.now, request))
		require.False(t, counter.Counts().Quarantined(c.now, request+1))
		require.False(t, counter.Counts().Quarantined(c.now.Add(poison.CounterExpiry), request), "the quarantine expires")
	}
}

// Guards against quarantining a harmless request because many targets that were running copies of it crashed at the
// same time for another reason.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	c := newCluster(12, poison.CounterConfig{})
	before := c.known(0)
	for node := range c.counters {
		c.crash(node, before)
		c.deliverAll() // Counts of the first crashes may arrive before the last crash is observed.
	}
	require.Equal(t, model.Crashes{Count: 1}, c.known(0))
}

// Guards against adding up crashes between which the request succeeded, and against a success that resets the count
// only at the node that observed it.
func TestSuccessResetsCount(t *testing.T) {
	c := newCluster(3, poison.CounterConfig{})
	for range 5 {
		c.crash(0, c.known(1))
		c.deliverAll()
		c.crash(1, c.known(2))
		c.deliverAll()
		require.Equal(t, uint32(2), c.known(2).Count)
		require.Equal(t, []poison.CounterCmd{poison.PublishCountsCmd{}}, c.succeed(2))
		require.Empty(t, c.succeed(2), "the count is already reset")
		c.deliverAll()
		require.Zero(t, c.known(0).Count)
	}
}

// Guards against raising the count again after a success because of a crash that happened before the success, or whose
// request was sent before it, but that becomes known later.
func TestLateCrashDoesNotRestoreCount(t *testing.T) {
	c := newCluster(3, poison.CounterConfig{})
	c.crash(0, c.known(0))
	c.deliver(0, 1)
	c.succeed(1)
	c.deliver(1, 2)
	c.deliver(0, 2)
	require.Zero(t, c.known(2).Count)
	c.crash(2, model.Crashes{Count: 1}) // The request was sent before its sender knew of the success.
	require.Zero(t, c.known(2).Count)
}

// Guards against a node that no longer publishes, after a restart, the crash counts that it had observed before. A node
// publishes only counts that it observed itself, so restored counts must be marked as its own.
func TestRestoredCountsArePublished(t *testing.T) {
	c := newCluster(1, poison.CounterConfig{})
	c.crash(0, c.known(0))
	own := c.counters[0].LocalEntries()
	restarted := poison.NewCounter(poison.CounterConfig{})
	restarted.Update(poison.RemoteCountsMsg{Now: c.now, Entries: own})
	require.Empty(t, restarted.LocalEntries(), "counts observed by other nodes are not published")
	restarted.Update(poison.RestoreCountsMsg{Now: c.now, Entries: own})
	require.Equal(t, own, restarted.LocalEntries())
}

// Guards against stored and published counts without a bound, as every request in flight at a crash adds one, and
// against evicting the count of a quarantined request to make room for them.
func TestCountsAreBounded(t *testing.T) {
	counter := poison.NewCounter(poison.CounterConfig{MaxEntries: 8, MaxPublished: 4})
	counter.Update(poison.TargetCrashedMsg{Now: counterStart, Fingerprint: request, Known: model.Crashes{Count: 2}})
	for f := range uint64(100) {
		counter.Update(poison.TargetCrashedMsg{Now: counterStart.Add(time.Duration(f) * time.Second), Fingerprint: 1000 + f})
	}
	require.Len(t, counter.Counts().Entries(), 8)
	require.Len(t, counter.LocalEntries(), 4)
	require.True(t, counter.Counts().Quarantined(counterStart.Add(100*time.Second), request))
	require.Contains(t, counter.LocalEntries(), model.CrashEntry{Fingerprint: request, Crashes: model.Crashes{Count: 3}})
	counter.Update(poison.AnsweredMsg{Now: counterStart.Add(poison.CounterExpiry + 100*time.Second), Fingerprint: 1})
	require.Empty(t, counter.Counts().Entries())
}

// Guards against counts that differ between nodes depending on the order in which entries arrive, and against a node
// that replaces a count by one that compares lower.
func TestCountersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3, poison.CounterConfig{})
		nodes := rapid.IntRange(0, len(c.counters)-1)
		var publications [][]model.CrashEntry
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			node := nodes.Draw(t, "node")
			before := c.known(node)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				c.crash(node, c.known(nodes.Draw(t, "sender")))
			case 1:
				c.succeed(node)
			default:
				if len(publications) > 0 {
					published := publications[rapid.IntRange(0, len(publications)-1).Draw(t, "publication")]
					c.counters[node].Update(poison.RemoteCountsMsg{Now: c.now, Entries: published})
				}
			}
			require.GreaterOrEqual(t, c.known(node).Compare(before), 0)
			publications = append(publications, c.counters[node].LocalEntries())
		}
		c.deliverAll()
		for node := range c.counters {
			require.Equal(t, c.known(0), c.known(node))
		}
	})
}
