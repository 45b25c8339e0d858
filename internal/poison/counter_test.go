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

func newCluster(n int, c poison.CounterConfig) *cluster {
	s := &cluster{now: counterStart}
	for range n {
		s.counters = append(s.counters, poison.NewCounter(c))
	}
	return s
}

func (s *cluster) known(node int) model.Crashes {
	return s.counters[node].Counts().Crashes(s.now, request)
}

// crash simulates a target of one node crashing while it runs the request; known is what the sender of the request knew
// when it sent it.
func (s *cluster) crash(node int, known model.Crashes) []poison.CounterCmd {
	return s.counters[node].Update(poison.TargetCrashedMsg{Now: s.now, Fingerprint: request, Known: known})
}

func (s *cluster) succeed(node int) []poison.CounterCmd {
	return s.counters[node].Update(poison.AnsweredMsg{Now: s.now, Fingerprint: request})
}

func (s *cluster) deliver(from, to int) {
	s.counters[to].Update(poison.RemoteCountsMsg{Now: s.now, Entries: s.counters[from].LocalEntries()})
}

func (s *cluster) deliverAll() {
	for from := range s.counters {
		for to := range s.counters {
			s.deliver(from, to)
		}
	}
}

// Guards against refusing a request before its third consecutive crash, and against running it afterwards.
func TestThirdConsecutiveCrashQuarantines(t *testing.T) {
	s := newCluster(4, poison.CounterConfig{})
	for node := range 3 {
		require.False(t, s.counters[3].Counts().Quarantined(s.now, request), "before crash %d", node+1)
		cmds := s.crash(node, s.known(3))
		require.Contains(t, cmds, poison.PublishCountsCmd{})
		require.Equal(t, node == 2, slices.ContainsFunc(cmds, func(c poison.CounterCmd) bool {
			_, ok := c.(poison.QuarantineCmd)
			return ok
		}))
		s.deliverAll()
	}
	for _, k := range s.counters {
		require.True(t, k.Counts().Quarantined(s.now, request))
		require.False(t, k.Counts().Quarantined(s.now, request+1))
		require.False(t, k.Counts().Quarantined(s.now.Add(poison.CounterExpiry), request), "the quarantine expires")
	}
}

// Many targets crash at the same moment, each with a copy of one request in flight. Guards against quarantining
// harmless requests that were in flight by coincidence.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	s := newCluster(12, poison.CounterConfig{})
	before := s.known(0)
	for node := range s.counters {
		s.crash(node, before)
		s.deliverAll() // The first records may arrive before the last crash is observed.
	}
	require.Equal(t, model.Crashes{Count: 1}, s.known(0))
}

// Guards against single crashes that add up over hours although the request succeeds in between, and against a success
// that only one node knows of.
func TestSuccessResetsCount(t *testing.T) {
	s := newCluster(3, poison.CounterConfig{})
	for range 5 {
		s.crash(0, s.known(1))
		s.deliverAll()
		s.crash(1, s.known(2))
		s.deliverAll()
		require.Equal(t, uint32(2), s.known(2).Count)
		require.Equal(t, []poison.CounterCmd{poison.PublishCountsCmd{}}, s.succeed(2))
		require.Empty(t, s.succeed(2), "the count is already reset")
		s.deliverAll()
		require.Zero(t, s.known(0).Count)
	}
}

// Guards against a count that restarts because a crash from before a success is reported after it.
func TestLateCrashDoesNotRestoreCount(t *testing.T) {
	s := newCluster(3, poison.CounterConfig{})
	s.crash(0, s.known(0))
	s.deliver(0, 1)
	s.succeed(1)
	s.deliver(1, 2)
	s.deliver(0, 2)
	require.Zero(t, s.known(2).Count)
	s.crash(2, model.Crashes{Count: 1}) // It was sent before the success was known.
	require.Zero(t, s.known(2).Count)
}

// Guards against a node that loses, over a restart, the crashes that only it observed.
func TestRestoredCountsArePublished(t *testing.T) {
	s := newCluster(1, poison.CounterConfig{})
	s.crash(0, s.known(0))
	own := s.counters[0].LocalEntries()
	restarted := poison.NewCounter(poison.CounterConfig{})
	restarted.Update(poison.RemoteCountsMsg{Now: s.now, Entries: own})
	require.Empty(t, restarted.LocalEntries(), "counts observed by other nodes are not published")
	restarted.Update(poison.RestoreCountsMsg{Now: s.now, Entries: own})
	require.Equal(t, own, restarted.LocalEntries())
}

// Guards against records and memory that grow with each request in flight at a crash, and against evicting a quarantine
// to make room for such requests.
func TestCountsAreBounded(t *testing.T) {
	k := poison.NewCounter(poison.CounterConfig{MaxEntries: 8, MaxPublished: 4})
	k.Update(poison.TargetCrashedMsg{Now: counterStart, Fingerprint: request, Known: model.Crashes{Count: 2}})
	for f := range uint64(100) {
		k.Update(poison.TargetCrashedMsg{Now: counterStart.Add(time.Duration(f) * time.Second), Fingerprint: 1000 + f})
	}
	require.Len(t, k.Counts().Entries(), 8)
	require.Len(t, k.LocalEntries(), 4)
	require.True(t, k.Counts().Quarantined(counterStart.Add(100*time.Second), request))
	require.Contains(t, k.LocalEntries(), model.CrashEntry{Fingerprint: request, Crashes: model.Crashes{Count: 3}})
	k.Update(poison.AnsweredMsg{Now: counterStart.Add(poison.CounterExpiry + 100*time.Second), Fingerprint: 1})
	require.Empty(t, k.Counts().Entries())
}

// Guards against a count that depends on the order in which records arrive, and against a count that moves backwards.
func TestCountersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newCluster(3, poison.CounterConfig{})
		nodes := rapid.IntRange(0, len(s.counters)-1)
		var pages [][]model.CrashEntry
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			node := nodes.Draw(t, "node")
			before := s.known(node)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				s.crash(node, s.known(nodes.Draw(t, "sender")))
			case 1:
				s.succeed(node)
			default:
				if len(pages) > 0 {
					page := pages[rapid.IntRange(0, len(pages)-1).Draw(t, "page")]
					s.counters[node].Update(poison.RemoteCountsMsg{Now: s.now, Entries: page})
				}
			}
			require.GreaterOrEqual(t, s.known(node).Compare(before), 0)
			pages = append(pages, s.counters[node].LocalEntries())
		}
		s.deliverAll()
		for node := range s.counters {
			require.Equal(t, s.known(0), s.known(node))
		}
	})
}
