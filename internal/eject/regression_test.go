package eject

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

func (r *harness) classResult(i int, class string, kind Kind, took time.Duration) {
	r.module.Update(ResultMsg{Now: r.now, Target: ref(i), Class: class, Duration: took, Kind: kind, Idempotent: true})
}

// Guards against a target that hides that it fails all other requests by serving light ones, as it would health probes.
func TestLightRequestsDoNotHideFailures(t *testing.T) {
	r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileDetection)
	r.warmUp()
	r.serve(3*time.Second, func(i int) (Kind, time.Duration) {
		r.classResult(i, "light", KindOK, time.Millisecond)
		return failing(3)(i)
	})
	require.False(t, r.module.Snapshot().Verdict(ref(3)).InService())
	for r.state(3) != StateProbation {
		r.tick(50 * time.Millisecond)
	}
	for range 100 {
		r.classResult(3, "light", KindOK, time.Millisecond)
		r.tick(50 * time.Millisecond)
		require.Equal(t, StateProbation, r.state(3), "light requests must not end probation")
	}
	r.result(3, KindTimeout, 0)
	r.tick(50 * time.Millisecond)
	require.Equal(t, StateEjected, r.state(3))
}

// Guards against ejecting a target because of failures long past when its next request arrives much later.
func TestOldFailuresEjectNothing(t *testing.T) {
	r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileCapacity)
	r.warmUp()
	for range 3 { // Too few in a row for an ejection, but a large share of the window.
		for range 6 {
			r.result(3, KindError, 0)
		}
		r.result(3, KindOK, 20*time.Millisecond)
	}
	r.tick(evidenceMaxAge + time.Second)
	r.serve(5*time.Second, func(i int) (Kind, time.Duration) {
		require.True(t, r.module.Snapshot().Verdict(ref(3)).InService())
		if i == 3 {
			return KindNone, 0
		}
		return healthy(i)
	})
}

// Guards against treating one hanging request of a rare class as a stall while the target completes all other requests.
func TestOneHangingRequestOfARareClass(t *testing.T) {
	r := newHarness(ObserverAgent, 1, 3, 1, model.ProfileDetection)
	r.warmUp()
	for i := range 200 {
		age := time.Duration(i) * 50 * time.Millisecond
		r.module.Update(InFlightMsg{Now: r.now, Target: ref(0), Class: "rare", Count: 1, OldestAge: age})
		r.result(0, KindOK, 20*time.Millisecond)
		r.tick(50 * time.Millisecond)
	}
	require.Empty(t, r.module.Claims())
}

// Guards against one noisy, idle target that counts as affected indefinitely and so prevents every ejection.
func TestIdleNoisyTargetPreventsNoEjection(t *testing.T) {
	r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileDetection)
	r.warmUp()
	for range 4 {
		r.result(6, KindOK, 300*time.Millisecond)
		r.result(7, KindError, time.Millisecond)
		r.tick(200 * time.Millisecond)
	}
	r.tick(evidenceMaxAge)
	for begin := r.now; r.state(3) != StateEjected; r.tick(50 * time.Millisecond) {
		r.result(3, KindError, 0)
		require.Less(t, r.now.Sub(begin), claimPropagation+time.Second)
	}
}

// Guards against ejecting targets with few requests because of the failures of a common outage after it ended.
func TestOutageLeavesNoLateEjections(t *testing.T) {
	for _, profile := range []model.Profile{model.ProfileCapacity, model.ProfileDetection} {
		r := newHarness(ObserverEdge, 12, 7, 50, profile)
		r.warmUp()
		r.serve(20*time.Second, func(int) (Kind, time.Duration) { return KindError, time.Millisecond })
		r.tick(0)
		for step := range 1200 { // One request per 600 ms, to each target in turn.
			if step%12 == 0 {
				r.result(step/12%12, KindOK, 20*time.Millisecond)
			}
			r.tick(50 * time.Millisecond)
			for i := range r.targets {
				require.True(t, r.module.Snapshot().Verdict(ref(i)).InService())
			}
		}
	}
}

// The claims of a common outage arrive one after another, and are withdrawn in the same way after it. Guards against
// ejecting targets meanwhile.
func TestSlowlyArrivingClaimsOfCommonOutage(t *testing.T) {
	for _, severity := range []model.Severity{model.SeveritySlow, model.SeverityFailing, model.SeverityStalled} {
		r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileDetection)
		r.warmUp()
		check := func() {
			for i := range r.targets {
				require.True(t, r.module.Snapshot().Verdict(ref(i)).InService(), "severity %s", severity)
			}
		}
		claimed := []int{}
		for i := range 12 {
			claimed = append(claimed, i)
			r.claim(severity, claimed...)
			r.serve(200*time.Millisecond, func(int) (Kind, time.Duration) { return KindError, 400 * time.Millisecond })
			check()
		}
		r.serve(10*time.Second, func(int) (Kind, time.Duration) { return KindError, 400 * time.Millisecond })
		for len(claimed) > 0 {
			claimed = claimed[1:]
			r.claim(severity, claimed...)
			r.serve(200*time.Millisecond, healthy)
			check()
		}
		r.serve(5*time.Second, healthy)
		check()
	}
}

// Guards against a baseline that adapts to a shared slowness, so that all targets look fast again.
func TestBaselineKeepsThePast(t *testing.T) {
	r := newHarness(ObserverAgent, 1, 7, 1, model.ProfileCapacity)
	r.warmUp()
	r.serve(20*time.Second, func(int) (Kind, time.Duration) { return KindOK, 200 * time.Millisecond })
	own, known := r.module.byName[testService].targets[0].ownBaseline("read")
	require.True(t, known)
	require.Less(t, own, 40*time.Millisecond)
	require.Len(t, r.module.Claims(), 1)
}

// Guards against ejecting a busy target because of a pause of some tenths of a second, for example for garbage
// collection.
func TestShortPauseIsNoSlowness(t *testing.T) {
	r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileDetection)
	r.warmUp()
	r.serve(400*time.Millisecond, func(i int) (Kind, time.Duration) {
		if i == 3 {
			return KindOK, 400 * time.Millisecond
		}
		return healthy(i)
	})
	r.serve(5*time.Second, func(i int) (Kind, time.Duration) {
		require.True(t, r.module.Snapshot().Verdict(ref(3)).InService())
		return healthy(i)
	})
}

// Guards against claiming such a short pause as slowness at an agent, which mostly has no other target to compare with.
func TestShortPauseMakesNoClaim(t *testing.T) {
	r := newHarness(ObserverAgent, 1, 7, 1, model.ProfileDetection)
	r.warmUp()
	for step := range 200 {
		took := 20 * time.Millisecond
		if step >= 20 && step < 60 { // A pause of 400 ms at 100 requests/s.
			took = 400 * time.Millisecond
		}
		r.result(0, KindOK, took)
		r.tick(10 * time.Millisecond)
		require.Empty(t, r.module.Claims())
	}
}

// Guards against results that depend on map iteration order: the same messages must give the same verdicts.
func TestSameMessagesSameVerdicts(t *testing.T) {
	run := func() []TargetVerdict {
		r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileDetection)
		r.warmUp()
		for n := range 400 {
			for i := range 12 {
				kind := KindOK
				if (n*7+i*13)%5 == 0 {
					kind = KindError
				}
				r.classResult(i, []string{"a", "b", "c"}[(n+i)%3], kind, time.Duration(20+(n*i)%300)*time.Millisecond)
			}
			if n%50 == 0 {
				r.claim(model.Severity(1+n/50%4), n%12, (n+5)%12)
			}
			r.tick(50 * time.Millisecond)
		}
		return r.module.Snapshot().Verdicts
	}
	require.Equal(t, run(), run())
}

// Guards against ejecting many slow targets: the more targets look slow, the likelier is a common cause.
func TestSlownessBudgetShrinks(t *testing.T) {
	for claimed := range 9 {
		r := newHarness(ObserverEdge, 12, 7, 1, model.ProfileDetection)
		r.warmUp()
		var list []int
		for i := range claimed {
			list = append(list, i)
		}
		r.claim(model.SeveritySlow, list...)
		out := 0
		r.serve(claimPropagation+500*time.Millisecond, func(i int) (Kind, time.Duration) {
			now := 0
			for j := range r.targets {
				if !r.module.Snapshot().Verdict(ref(j)).InService() {
					now++
				}
			}
			out = max(out, now)
			return healthy(i)
		})
		require.Equal(t, min(claimed, max(0, 7-claimed)), out, "%d of 12 claimed", claimed)
	}
}

// Guards against ejecting a target because of a claim of slowness that outlasts a common slowness, as an agent with few
// requests withdraws its claim late.
func TestClaimFromCommonSlownessIsDiscarded(t *testing.T) {
	r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileDetection)
	r.warmUp()
	r.claim(model.SeveritySlow, 0, 1, 2, 3, 4, 5, 6)
	r.serve(5*time.Second, healthy)
	r.claim(model.SeveritySlow, 6)
	r.serve(20*time.Second, func(i int) (Kind, time.Duration) {
		require.True(t, r.module.Snapshot().Verdict(ref(6)).InService())
		return healthy(i)
	})
	r.claim(model.SeveritySlow)
	r.claim(model.SeveritySlow, 6)
	r.serve(claimPropagation+500*time.Millisecond, healthy)
	require.Equal(t, StateEjected, r.state(6), "a new claim must count")
}

// Guards against an edge that observes two targets and ejects the busier one when both begin to fail.
func TestOneAffectedOtherDelaysTheEjection(t *testing.T) {
	r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileDetection)
	r.warmUp()
	r.tick(2 * time.Second)
	begin := r.now
	for r.state(3) != StateEjected {
		r.result(3, KindError, 0)
		r.result(4, KindError, 0)
		r.result(4, KindOK, 0)
		r.result(4, KindError, 0)
		r.tick(50 * time.Millisecond)
		require.Less(t, r.now.Sub(begin), claimPropagation+time.Second)
	}
	require.GreaterOrEqual(t, r.now.Sub(begin), claimPropagation)
}

// Guards against an ejection that is not canceled when the other targets turn out to fail as well.
func TestEjectionIsCanceledWhenOthersFailToo(t *testing.T) {
	r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileDetection)
	r.warmUp()
	r.tick(2 * time.Second)
	for r.state(3) != StateEjected {
		r.result(3, KindError, 0)
		r.tick(50 * time.Millisecond)
	}
	r.serve(time.Second, func(int) (Kind, time.Duration) { return KindError, 0 })
	require.Equal(t, StateHealthy, r.state(3))
	require.Zero(t, r.module.byName[testService].targets[3].history.ejections, "the next ejection must not last longer")
}

// Guards against ejecting the few targets whose agents claim a common slowness that is near the threshold.
func TestFewClaimsOfACommonSlowness(t *testing.T) {
	r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileDetection)
	for range 3 {
		r.serve(3*time.Second, func(int) (Kind, time.Duration) { return KindOK, 200 * time.Millisecond })
	}
	r.claim(model.SeveritySlow, 3, 4)
	r.serve(20*time.Second, func(int) (Kind, time.Duration) {
		require.True(t, r.module.Snapshot().Verdict(ref(3)).InService())
		require.True(t, r.module.Snapshot().Verdict(ref(4)).InService())
		return KindOK, 320 * time.Millisecond
	})
}

// Guards against a confirmation delay that restarts with each result that lowers the failure rate below the threshold;
// a target that failed half of its requests stayed in service for up to 23 s.
func TestFailureRateNearThresholdIsDetected(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := newHarness(ObserverAgent, 1, 7, 1, model.ProfileCapacity)
		r.warmUp()
		begin := r.now
		for len(r.module.Claims()) == 0 && r.now.Sub(begin) < 30*time.Second {
			r.result(0, []Kind{KindOK, KindError}[rng.IntN(2)], 20*time.Millisecond)
			r.tick(50 * time.Millisecond)
		}
		require.Less(t, r.now.Sub(begin), 4*time.Second, "seed %d", seed)
	}
}

// Guards against delaying every claim of slowness by the time needed after the end of a common slowness.
func TestSlownessClaimCountsWhenPeersKeptLatency(t *testing.T) {
	r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileDetection)
	r.serve(6*time.Second, healthy)
	r.claim(model.SeveritySlow, 3)
	r.serve(time.Second, healthy)
	require.Equal(t, StateEjected, r.state(3))
}

// Guards against applying a claim that stems from a common slowness and arrives at its end, when the other targets are
// fast again, at an edge that knows the usual latency of its nearest target only.
func TestClaimFromTheEndOfACommonSlowness(t *testing.T) {
	r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileDetection)
	serve := func(d, took time.Duration) {
		begin := r.now
		for end := r.now.Add(d); r.now.Before(end); r.tick(50 * time.Millisecond) {
			r.result(0, KindOK, took)
			for i := 1; i < 12 && r.now.Sub(begin)%time.Second == 0; i++ {
				r.result(i, KindOK, took)
			}
			require.True(t, r.module.Snapshot().Verdict(ref(3)).InService())
		}
	}
	serve(9*time.Second, 200*time.Millisecond)
	serve(8*time.Second, 500*time.Millisecond)
	r.claim(model.SeveritySlow, 3)
	serve(3500*time.Millisecond, 200*time.Millisecond)
}

// Guards against an agent that withdraws its claim after a few successes in a row, which are frequent at a target that
// fails half of its requests.
func TestClaimPersistsWhileHalfTheRequestsFail(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := newHarness(ObserverAgent, 1, 7, 1, model.ProfileCapacity)
		r.warmUp()
		missing, claimed := 0, false
		for range 200 {
			r.result(0, []Kind{KindOK, KindError}[rng.IntN(2)], 20*time.Millisecond)
			r.tick(50 * time.Millisecond)
			if claimed = claimed || len(r.module.Claims()) > 0; claimed && len(r.module.Claims()) == 0 {
				missing++
			}
		}
		require.Less(t, missing, 60, "seed %d", seed)
	}
}

// Guards against ejecting a target because of the failures of a common outage that have not yet expired when the common
// cause is no longer assumed.
func TestOutageFailuresDoNotEjectAfterCommonCause(t *testing.T) {
	r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileCapacity)
	r.warmUp()
	r.serve(3*time.Second, failing(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11))
	for range 4 {
		r.serve(time.Second, func(i int) (Kind, time.Duration) {
			if i == 3 {
				return KindNone, 0
			}
			return healthy(i)
		})
		require.Equal(t, StateHealthy, r.state(3))
	}
	r.serve(time.Second, func(i int) (Kind, time.Duration) {
		require.Equal(t, StateHealthy, r.state(3))
		if i == 3 {
			return KindNone, 0
		}
		return healthy(i)
	})
}

// Guards against a cached median that differs from the one computed from all targets.
func TestCachedMediansMatchFullComputation(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	r := newHarness(ObserverEdge, 6, 7, 20, model.ProfileDetection)
	s := r.module.byName[testService]
	for range 2000 {
		r.classResult(rng.IntN(6), []string{"read", "light"}[rng.IntN(2)], []Kind{KindOK, KindOK, KindOK, KindError}[rng.IntN(4)],
			time.Duration(1+rng.IntN(100))*time.Millisecond)
		r.tick(time.Duration(rng.IntN(400)) * time.Millisecond)
		s.referencesAt = time.Time{}
		s.refreshReferences(r.now)
		for _, c := range []string{"read", "light"} {
			kept := make(map[*target]time.Duration)
			if ref := s.references[c]; ref != nil {
				for _, m := range ref.medians {
					kept[m.target] = m.value
				}
			}
			fresh := make(map[*target]time.Duration)
			for _, o := range s.targets {
				if value, ok := o.evidence.class(c).median(s.thresholds.MinSamples); ok {
					fresh[o] = value
				}
			}
			require.Equal(t, fresh, kept, "seed 7")
		}
	}
}
