package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// target drives a module with requests one after the other.
type target struct {
	*Module
	now time.Time
	id  uint64
}

func newTarget() *target { return &target{Module: New(Settings{}), now: start} }

func (g *target) request(took time.Duration, kind Kind) []Cmd {
	g.id++
	cmds := g.Update(StartMsg{Now: g.now, ID: g.id, Route: "class"})
	g.now = g.now.Add(took)
	return append(cmds, g.Update(EndMsg{Now: g.now, ID: g.id, Kind: kind})...)
}

// Guards against a target with failing work and good probes that goes on taking work that must not run twice: after one
// failure it takes idempotent trials only, and one success and a short rest bring it back.
func TestOneFailureClosesToNonIdempotent(t *testing.T) {
	g := newTarget()
	for range 5 {
		require.Empty(t, g.request(300*time.Millisecond, Succeeded))
		require.Equal(t, Admit, g.Decide(g.now, false).Kind)
		g.now = g.now.Add(6 * time.Second)
	}
	require.IsType(t, UnhealthyCmd{}, g.request(2*time.Millisecond, Failed)[0])
	v := g.Decide(g.now, false)
	require.Equal(t, Refuse, v.Kind)
	require.Positive(t, v.RetryAfter)
	require.Equal(t, Refuse, g.Decide(g.now, true).Kind, "the trial waits for its pause")

	g.now = g.now.Add(defaultTrialPause)
	require.Equal(t, Trial, g.Decide(g.now, true).Kind)
	g.Update(StartMsg{Now: g.now, ID: 1000, Route: "class", Trial: true})
	require.Equal(t, Refuse, g.Decide(g.now, true).Kind, "one trial at a time")
	g.now = g.now.Add(200 * time.Millisecond)
	g.Update(EndMsg{Now: g.now, ID: 1000, Kind: Succeeded})
	g.request(300*time.Millisecond, Succeeded)
	require.Equal(t, Admit, g.Decide(g.now, false).Kind)
}

// Guards against a sound target that rests because requests failed after work, as they do when a call of theirs fails.
func TestFailureAfterWorkSaysLittle(t *testing.T) {
	g := newTarget()
	for range 5 {
		g.request(600*time.Millisecond, Succeeded)
	}
	require.Empty(t, g.request(500*time.Millisecond, Failed))
	require.Equal(t, Admit, g.Decide(g.now, false).Kind)
	g.request(500*time.Millisecond, Failed)
	g.request(500*time.Millisecond, Failed)
	g.request(500*time.Millisecond, Failed)
	require.Equal(t, Refuse, g.Decide(g.now, false).Kind, "a row of them says enough")
}

// Guards against trials that cost callers a repeat several times a second while a target is sick for long.
func TestTrialsBecomeRare(t *testing.T) {
	g := newTarget()
	g.request(time.Millisecond, Failed)
	trials := 0
	for end := g.now.Add(10 * time.Second); g.now.Before(end); g.now = g.now.Add(20 * time.Millisecond) {
		if g.Decide(g.now, true).Kind == Trial {
			trials++
			g.request(time.Millisecond, Failed)
		}
	}
	require.LessOrEqual(t, trials, 12)
	require.GreaterOrEqual(t, trials, 6)
}

// Guards against a target that rests for ever in a service without idempotent requests.
func TestRestEndsByItself(t *testing.T) {
	g := newTarget()
	for range 10 {
		g.request(50*time.Millisecond, Failed)
	}
	v := g.Decide(g.now, false)
	require.Equal(t, Refuse, v.Kind)
	require.Less(t, v.RetryAfter, 4*defaultRecovery)
	require.Equal(t, Admit, g.Decide(g.now.Add(v.RetryAfter+time.Millisecond), false).Kind)
}

// Guards against a target that hangs without failing: requests that stay unanswered for much longer than usual close it,
// and their answers open it again.
func TestStallsClose(t *testing.T) {
	g := newTarget()
	for range 10 {
		g.request(600*time.Millisecond, Succeeded)
	}
	for i := range 3 {
		g.Update(StartMsg{Now: g.now, ID: uint64(2000 + i), Route: "class"})
	}
	require.Empty(t, g.Update(TickMsg{Now: g.now.Add(700 * time.Millisecond)}), "the usual duration is no stall")
	cmds := g.Update(TickMsg{Now: g.now.Add(3 * time.Second)})
	require.Len(t, cmds, 1)
	require.IsType(t, UnhealthyCmd{}, cmds[0])
}

// Guards against a full house of sound requests that looks like a stall.
func TestBusyIsNotStalled(t *testing.T) {
	g := newTarget()
	for range 10 {
		g.request(600*time.Millisecond, Succeeded)
	}
	for i := range 7 {
		g.Update(StartMsg{Now: g.now.Add(time.Duration(i) * 100 * time.Millisecond), ID: uint64(i + 5000), Route: "class"})
	}
	require.Negative(t, g.Odds(g.now.Add(900*time.Millisecond)))
}

// Pattern: a route whose requests mostly take a millisecond and sometimes run out of their time. Guards against a sound
// target that closes for a single one of these and sends away all that wait for it.
func TestOneOverdueRequestDoesNotClose(t *testing.T) {
	g := newTarget()
	for range 10 {
		g.request(time.Millisecond, Succeeded)
		g.now = g.now.Add(time.Second)
	}
	g.now = g.now.Add(time.Minute) // No evidence is left.
	g.Update(StartMsg{Now: g.now, ID: 3000, Route: "class"})
	for range 10 {
		g.now = g.now.Add(100 * time.Millisecond)
		require.Empty(t, g.Update(TickMsg{Now: g.now}))
	}
	require.Empty(t, g.Update(EndMsg{Now: g.now, ID: 3000, Kind: Inconclusive}))
	require.Equal(t, Admit, g.Decide(g.now, false).Kind)
}

// Pattern: calls wait in an overloaded service until their requests fail. Guards against callers' targets that close for the
// time that their requests spent waiting.
func TestLongNeutralEndsSayNothing(t *testing.T) {
	g := newTarget()
	for range 5 {
		g.request(300*time.Millisecond, Succeeded)
	}
	before := g.Odds(g.now)
	for range 5 {
		g.request(4*time.Second, Neutral)
	}
	require.InDelta(t, defaultUsual, g.Odds(g.now), max(0, defaultUsual-before))
}

// Pattern: a target recovers in the middle of an overload. Guards against slots that stay unused for as long as trials take
// one after the other to their end.
func TestSurvivingTrialsOpen(t *testing.T) {
	g := newTarget()
	for range 5 {
		g.request(700*time.Millisecond, Succeeded)
	}
	for range 3 {
		g.request(time.Millisecond, Failed)
	}
	g.now = g.now.Add(2 * time.Second)
	recovered := g.now
	for id := uint64(4000); g.Decide(g.now, false).Kind != Admit; g.now = g.now.Add(20 * time.Millisecond) {
		require.Less(t, g.now.Sub(recovered), 700*time.Millisecond, "less than one request takes")
		if g.Decide(g.now, true).Kind == Trial {
			id++
			g.Update(StartMsg{Now: g.now, ID: id, Route: "class", Trial: true})
		}
	}
}

// Pattern: a busy target turns sick while its slots are full of requests that began before. Guards against orders that fail
// there one after the other because the earlier requests still run.
func TestFullTargetClosesAtTheFirstFailure(t *testing.T) {
	g := newTarget()
	for range 5 {
		g.request(700*time.Millisecond, Succeeded)
	}
	g.now = g.now.Add(10 * time.Second)
	for id := range uint64(6) {
		g.Update(StartMsg{Now: g.now, ID: 6000 + id, Route: "class"})
	}
	g.now = g.now.Add(300 * time.Millisecond)
	require.NotEmpty(t, g.request(time.Millisecond, Failed))
	require.Equal(t, Refuse, g.Decide(g.now.Add(150*time.Millisecond), false).Kind)
}

// Pattern: a target hangs with half of its requests. Guards against trials that open it because they have not failed yet.
func TestHangingTrialsDoNotOpen(t *testing.T) {
	g := newTarget()
	for range 5 {
		g.request(300*time.Millisecond, Succeeded)
	}
	for range 3 {
		g.request(4*time.Second, Inconclusive)
	}
	require.Equal(t, Refuse, g.Decide(g.now, false).Kind)
	for id := uint64(5000); id < 5003; id++ {
		if g.Decide(g.now, true).Kind == Trial {
			g.Update(StartMsg{Now: g.now, ID: id, Route: "class", Trial: true})
		}
		g.now = g.now.Add(150 * time.Millisecond)
		require.NotEqual(t, Admit, g.Decide(g.now, false).Kind)
	}
}

// Guards against beliefs that leave their bounds, so that nothing could change them any more, and against two trials.
func TestBeliefStaysBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := New(Settings{}), start
		var running []uint64
		trial, trying, since := uint64(0), false, start
		for id := range uint64(rapid.IntRange(1, 200).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if len(running) > 0 && rapid.Bool().Draw(t, "end") {
				ended := running[0]
				running = running[1:]
				m.Update(EndMsg{Now: now, ID: ended, Kind: Kind(rapid.IntRange(0, int(Neutral)).Draw(t, "kind"))})
				trying = trying && ended != trial
			} else if v := m.Decide(now, rapid.Bool().Draw(t, "idempotent")); v.Kind != Refuse {
				if v.Kind == Trial {
					require.False(t, trying && now.Sub(since) < surviveLeast, "a trial before the earlier one has survived")
					trial, trying, since = id, true, now
				}
				m.Update(StartMsg{Now: now, ID: id, Route: "class", Trial: v.Kind == Trial})
				running = append(running, id)
			} else {
				require.Positive(t, v.RetryAfter)
			}
			require.LessOrEqual(t, m.odds, defaultBound)
			require.GreaterOrEqual(t, m.odds, -defaultBound)
		}
	})
}
