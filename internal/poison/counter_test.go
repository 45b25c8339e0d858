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

// sharers are counters of nodes that hear each other's entries when the test says so.
type sharers struct {
	now      time.Time
	counters []*poison.Counter
}

func newSharers(n int, c poison.CounterConfig) *sharers {
	s := &sharers{now: counterStart}
	for range n {
		s.counters = append(s.counters, poison.NewCounter(c))
	}
	return s
}

func (s *sharers) known(node int) model.Crashes {
	return s.counters[node].Counts().Crashes(s.now, request)
}

// die plays the death of a target of one node under the request, which another one sent with what it knew then.
func (s *sharers) die(node int, known model.Crashes) []poison.CounterCmd {
	return s.counters[node].Update(poison.TargetCrashedMsg{Now: s.now, Fingerprint: request, Known: known})
}

func (s *sharers) answer(node int) []poison.CounterCmd {
	return s.counters[node].Update(poison.AnsweredMsg{Now: s.now, Fingerprint: request})
}

func (s *sharers) hear(from, to int) {
	s.counters[to].Update(poison.RemoteCountsMsg{Now: s.now, Entries: s.counters[from].LocalEntries()})
}

func (s *sharers) spread() {
	for from := range s.counters {
		for to := range s.counters {
			s.hear(from, to)
		}
	}
}

// Guards against a request that is refused before the third crash in a row, or runs after it.
func TestThirdCrashInARowQuarantines(t *testing.T) {
	s := newSharers(4, poison.CounterConfig{})
	for node := range 3 {
		require.False(t, s.counters[3].Counts().Quarantined(s.now, request), "before crash %d", node+1)
		cmds := s.die(node, s.known(3))
		require.Contains(t, cmds, poison.PublishCountsCmd{})
		require.Equal(t, node == 2, slices.ContainsFunc(cmds, func(c poison.CounterCmd) bool {
			_, ok := c.(poison.QuarantineCmd)
			return ok
		}))
		s.spread()
	}
	for _, k := range s.counters {
		require.True(t, k.Counts().Quarantined(s.now, request))
		require.False(t, k.Counts().Quarantined(s.now, request+1))
		require.False(t, k.Counts().Quarantined(s.now.Add(poison.CounterExpiry), request), "a quarantine ends")
	}
}

// Pattern: many targets die at the same moment with copies of one request on them. Guards against sound requests that are
// held back because they were there.
func TestDeathsTogetherCountOnce(t *testing.T) {
	s := newSharers(12, poison.CounterConfig{})
	before := s.known(0)
	for node := range s.counters {
		s.die(node, before)
		s.spread() // The records of the first ones may arrive before the last one is seen.
	}
	require.Equal(t, model.Crashes{Count: 1}, s.known(0))
}

// Guards against single crashes that add up over hours although the request is served between them, and against an answer
// that only one node knows of.
func TestAnswerEndsTheStreak(t *testing.T) {
	s := newSharers(3, poison.CounterConfig{})
	for range 5 {
		s.die(0, s.known(1))
		s.spread()
		s.die(1, s.known(2))
		s.spread()
		require.Equal(t, uint32(2), s.known(2).Count)
		require.Equal(t, []poison.CounterCmd{poison.PublishCountsCmd{}}, s.answer(2))
		require.Empty(t, s.answer(2), "the streak has ended")
		s.spread()
		require.Zero(t, s.known(0).Count)
	}
}

// Guards against a crash from before the answer that is heard after it and begins the streak again.
func TestLateCrashDoesNotReviveTheStreak(t *testing.T) {
	s := newSharers(3, poison.CounterConfig{})
	s.die(0, s.known(0))
	s.hear(0, 1)
	s.answer(1)
	s.hear(1, 2)
	s.hear(0, 2)
	require.Zero(t, s.known(2).Count)
	s.die(2, model.Crashes{Count: 1}) // It was sent before the answer was known.
	require.Zero(t, s.known(2).Count)
}

// Guards against a node that forgets over a restart what it alone has seen.
func TestRecalledCountsArePublished(t *testing.T) {
	s := newSharers(1, poison.CounterConfig{})
	s.die(0, s.known(0))
	own := s.counters[0].LocalEntries()
	restarted := poison.NewCounter(poison.CounterConfig{})
	restarted.Update(poison.RemoteCountsMsg{Now: s.now, Entries: own})
	require.Empty(t, restarted.LocalEntries(), "what others have seen is theirs to publish")
	restarted.Update(poison.RestoreCountsMsg{Now: s.now, Entries: own})
	require.Equal(t, own, restarted.LocalEntries())
}

// Guards against records and memory that grow with each request that was in flight at a crash, and against the loss of a
// quarantine among them.
func TestCountsAreBounded(t *testing.T) {
	k := poison.NewCounter(poison.CounterConfig{MaxEntries: 8, MaxOwn: 4})
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

// Guards against a count that depends on the order in which records arrive, and against a streak that goes back.
func TestCountersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSharers(3, poison.CounterConfig{})
		nodes := rapid.IntRange(0, len(s.counters)-1)
		var pages [][]model.CrashEntry
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			node := nodes.Draw(t, "node")
			before := s.known(node)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				s.die(node, s.known(nodes.Draw(t, "sender")))
			case 1:
				s.answer(node)
			default:
				if len(pages) > 0 {
					page := pages[rapid.IntRange(0, len(pages)-1).Draw(t, "page")]
					s.counters[node].Update(poison.RemoteCountsMsg{Now: s.now, Entries: page})
				}
			}
			require.GreaterOrEqual(t, s.known(node).Compare(before), 0)
			pages = append(pages, s.counters[node].LocalEntries())
		}
		s.spread()
		for node := range s.counters {
			require.Equal(t, s.known(0), s.known(node))
		}
	})
}
