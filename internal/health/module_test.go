package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// target drives a module with sequential requests.
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

// Guards against a target that fails requests while its probes succeed and still gets non-idempotent requests. After
// one failure it must get only idempotent trials; one success and a short delay must make it healthy again.
func TestOneFailureRefusesNonIdempotent(t *testing.T) {
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
	require.Equal(t, Refuse, g.Decide(g.now, true).Kind, "the trial waits for its backoff")

	g.now = g.now.Add(defaultTrialBackoff)
	require.Equal(t, Trial, g.Decide(g.now, true).Kind)
	g.Update(StartMsg{Now: g.now, ID: 1000, Route: "class", Trial: true})
	require.Equal(t, Refuse, g.Decide(g.now, true).Kind, "one trial at a time")
	g.now = g.now.Add(200 * time.Millisecond)
	g.Update(EndMsg{Now: g.now, ID: 1000, Kind: Succeeded})
	g.request(300*time.Millisecond, Succeeded)
	require.Equal(t, Admit, g.Decide(g.now, false).Kind)
}

// Guards against a healthy target that is refused requests because some failed after work, for example because a
// downstream call failed.
func TestFailureAfterWorkIsWeakEvidence(t *testing.T) {
	g := newTarget()
	for range 5 {
		g.request(600*time.Millisecond, Succeeded)
	}
	require.Empty(t, g.request(500*time.Millisecond, Failed))
	require.Equal(t, Admit, g.Decide(g.now, false).Kind)
	g.request(500*time.Millisecond, Failed)
	g.request(500*time.Millisecond, Failed)
	g.request(500*time.Millisecond, Failed)
	require.Equal(t, Refuse, g.Decide(g.now, false).Kind, "consecutive failures are enough evidence")
}

// Guards against trials that cost callers several retries a second while a target is unhealthy for long.
func TestTrialsBackOff(t *testing.T) {
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

// Guards against a target that is refused requests forever because its service has no idempotent requests for trials.
func TestRefusalsEndWithoutTrials(t *testing.T) {
	g := newTarget()
	for range 10 {
		g.request(50*time.Millisecond, Failed)
	}
	v := g.Decide(g.now, false)
	require.Equal(t, Refuse, v.Kind)
	require.Less(t, v.RetryAfter, 4*defaultRecovery)
	require.Equal(t, Admit, g.Decide(g.now.Add(v.RetryAfter+time.Millisecond), false).Kind)
}

// Guards against a target that hangs without failing requests. Requests that stay unanswered for much longer than usual
// must make it unhealthy.
func TestStalledRequestsMakeTargetUnhealthy(t *testing.T) {
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

// Guards against a target that looks stalled because all its slots are taken by healthy requests.
func TestBusyIsNotStalled(t *testing.T) {
	g := newTarget()
	for range 10 {
		g.request(600*time.Millisecond, Succeeded)
	}
	for i := range 7 {
		g.Update(StartMsg{Now: g.now.Add(time.Duration(i) * 100 * time.Millisecond), ID: uint64(i + 5000), Route: "class"})
	}
	require.Negative(t, g.LogOdds(g.now.Add(900*time.Millisecond)))
}

// Most requests of the route take a millisecond and a few time out. Guards against a healthy target that one timeout
// marks as unhealthy, which would refuse all its waiting requests.
func TestOneOverdueRequestKeepsTargetHealthy(t *testing.T) {
	g := newTarget()
	for range 10 {
		g.request(time.Millisecond, Succeeded)
		g.now = g.now.Add(time.Second)
	}
	g.now = g.now.Add(time.Minute) // The evidence has decayed.
	g.Update(StartMsg{Now: g.now, ID: 3000, Route: "class"})
	for range 10 {
		g.now = g.now.Add(100 * time.Millisecond)
		require.Empty(t, g.Update(TickMsg{Now: g.now}))
	}
	require.Empty(t, g.Update(EndMsg{Now: g.now, ID: 3000, Kind: Inconclusive}))
	require.Equal(t, Admit, g.Decide(g.now, false).Kind)
}

// Downstream calls wait in an overloaded service until their requests fail. Guards against calling targets that become
// unhealthy because of the time that their requests spent waiting.
func TestLongNeutralOutcomesAreNoEvidence(t *testing.T) {
	g := newTarget()
	for range 5 {
		g.request(300*time.Millisecond, Succeeded)
	}
	before := g.LogOdds(g.now)
	for range 5 {
		g.request(4*time.Second, Neutral)
	}
	require.InDelta(t, defaultPriorLogOdds, g.LogOdds(g.now), max(0, defaultPriorLogOdds-before))
}

// A target recovers during an overload. Guards against slots that stay unused because trials run to their end one after
// another.
func TestSurvivingTrialsMakeTargetHealthy(t *testing.T) {
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

// A busy target becomes unhealthy while earlier requests fill its slots. Guards against new requests that fail there
// one after another because the earlier ones still run.
func TestFullTargetIsUnhealthyAfterFirstFailure(t *testing.T) {
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

// A target hangs on half of its requests. Guards against trials that make it healthy only because they have not failed
// yet.
func TestHangingTrialsDoNotMakeTargetHealthy(t *testing.T) {
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

// Guards against log-odds beyond their bounds, which evidence could hardly change, and against two trials at once.
func TestLogOddsStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := New(Settings{}), start
		var running []uint64
		trial, trialRunning, since := uint64(0), false, start
		for id := range uint64(rapid.IntRange(1, 200).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if len(running) > 0 && rapid.Bool().Draw(t, "end") {
				ended := running[0]
				running = running[1:]
				m.Update(EndMsg{Now: now, ID: ended, Kind: Kind(rapid.IntRange(0, int(Neutral)).Draw(t, "kind"))})
				trialRunning = trialRunning && ended != trial
			} else if v := m.Decide(now, rapid.Bool().Draw(t, "idempotent")); v.Kind != Refuse {
				if v.Kind == Trial {
					require.False(t, trialRunning && now.Sub(since) < minSurvivalTime, "a trial before the earlier one has survived")
					trial, trialRunning, since = id, true, now
				}
				m.Update(StartMsg{Now: now, ID: id, Route: "class", Trial: v.Kind == Trial})
				running = append(running, id)
			} else {
				require.Positive(t, v.RetryAfter)
			}
			require.LessOrEqual(t, m.logOdds, defaultMaxLogOdds)
			require.GreaterOrEqual(t, m.logOdds, -defaultMaxLogOdds)
		}
	})
}
