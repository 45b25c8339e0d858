package eject

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const testService = "courtview"

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// harness drives one module in simulated time.
type harness struct {
	module  *Module
	now     time.Time
	spec    model.ServiceSpec
	targets []model.Target
}

func ref(i int) model.TargetRef {
	return model.TargetRef{Service: testService, ID: fmt.Sprintf("t%02d", i), Incarnation: 1}
}

func newHarness(observer Observer, count, slots, floor int, profile model.Profile) *harness {
	r := &harness{
		module: New(Config{Observer: observer, Seed: 1}), now: testStart,
		spec: model.ServiceSpec{Name: testService, FloorSlots: floor, Profile: profile},
	}
	for i := range count {
		r.targets = append(r.targets, model.Target{Ref: ref(i), Slots: slots, State: model.TargetServing})
	}
	r.announce()
	return r
}

func (r *harness) announce() {
	r.module.Update(ServicesMsg{Now: r.now, Services: []Service{{Spec: r.spec, Targets: r.targets}}})
}

func (r *harness) result(i int, kind Kind, took time.Duration) {
	r.module.Update(ResultMsg{Now: r.now, Target: ref(i), Class: "read", Duration: took, Kind: kind, Idempotent: true})
}

func (r *harness) tick(d time.Duration) {
	r.now = r.now.Add(d)
	r.module.Update(TickMsg{Now: r.now})
}

func (r *harness) claim(severity model.Severity, targets ...int) {
	msg := ClaimMsg{Now: r.now}
	for _, i := range targets {
		msg.Claims = append(msg.Claims, model.Claim{Target: ref(i), Severity: severity})
	}
	r.module.Update(msg)
}

func (r *harness) state(i int) State { return r.module.Snapshot().Verdict(ref(i)).State }

// warmUp lets all targets serve requests for a while, so that medians and baselines exist.
func (r *harness) warmUp() {
	for range 60 {
		for i := range r.targets {
			r.result(i, KindOK, 20*time.Millisecond)
		}
		r.tick(50 * time.Millisecond)
	}
}

// serve reports one result per 50 ms for each target that is not ejected, as returned by behave.
func (r *harness) serve(d time.Duration, behave func(i int) (Kind, time.Duration)) {
	for end := r.now.Add(d); r.now.Before(end); r.tick(50 * time.Millisecond) {
		for i := range r.targets {
			if s := r.state(i); s != StateEjected {
				kind, took := behave(i)
				r.result(i, kind, took)
			}
		}
	}
}

func healthy(int) (Kind, time.Duration) { return KindOK, 20 * time.Millisecond }

func failing(bad ...int) func(int) (Kind, time.Duration) {
	return func(i int) (Kind, time.Duration) {
		for _, b := range bad {
			if i == b {
				return KindError, time.Millisecond
			}
		}
		return healthy(i)
	}
}

// Guards against ejecting below the floor, and against ejecting at all when fewer slots than the floor are announced.
func TestFloorHoldsUnderAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.SampledFrom([]int{1, 3, 7}).Draw(t, "slots")
		floor := rapid.IntRange(0, 14*slots).Draw(t, "floor")
		r := newHarness(ObserverEdge, 12, slots, floor, rapid.SampledFrom([]model.Profile{"capacity", "detection"}).Draw(t, "profile"))
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			r.randomStep(t)
			r.checkFloor(t)
		}
	})
}

func (r *harness) randomStep(t *rapid.T) {
	i := rapid.IntRange(0, 11).Draw(t, "target")
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0: // Targets restart, leave, join or change size.
		r.randomAnnouncement(t)
	case 1:
		claims := rapid.SliceOfNDistinct(rapid.IntRange(0, 11), 0, 12, rapid.ID[int]).Draw(t, "claims")
		r.claim(model.Severity(rapid.IntRange(1, 4).Draw(t, "severity")), claims...)
	case 2, 3:
		kind := Kind(rapid.IntRange(0, 6).Draw(t, "kind"))
		for range rapid.IntRange(1, 30).Draw(t, "results") {
			r.result(i, kind, time.Duration(rapid.IntRange(0, 5000).Draw(t, "took"))*time.Millisecond)
		}
	case 4:
		r.module.Update(InFlightMsg{
			Now: r.now, Target: ref(i), Class: "read", Count: rapid.IntRange(0, 3).Draw(t, "count"),
			OldestAge: time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond,
			SecondAge: time.Duration(rapid.IntRange(0, 9000).Draw(t, "second age")) * time.Millisecond,
		})
	case 5: // The clock of a paused VM may go backward.
		r.tick(time.Duration(rapid.IntRange(-5000, 0).Draw(t, "back")) * time.Millisecond)
	default:
		r.tick(time.Duration(rapid.IntRange(1, 60000).Draw(t, "forward")) * time.Millisecond)
	}
}

func (r *harness) randomAnnouncement(t *rapid.T) {
	r.targets = nil
	for i := range 12 {
		if rapid.IntRange(0, 4).Draw(t, "present") == 0 {
			continue
		}
		target := model.Target{Ref: ref(i), Slots: rapid.IntRange(1, 7).Draw(t, "size"), State: model.TargetServing}
		target.Ref.Incarnation = rapid.Uint64Range(1, 2).Draw(t, "incarnation")
		if rapid.IntRange(0, 5).Draw(t, "draining") == 0 {
			target.State = model.TargetDraining
		}
		r.targets = append(r.targets, target)
	}
	r.announce()
}

func (r *harness) checkFloor(t require.TestingT) {
	announced, inService := 0, 0
	for _, target := range r.targets {
		if target.State != model.TargetServing {
			continue
		}
		announced += target.Slots
		if r.module.Snapshot().Verdict(target.Ref).InService() {
			inService += target.Slots
		}
	}
	require.GreaterOrEqual(t, inService, min(announced, max(1, r.spec.FloorSlots)))
}

// Guards against a rolling restart during which the ejections of other targets violate the floor.
func TestFloorHoldsDuringRollingRestart(t *testing.T) {
	r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileDetection)
	r.claim(model.SeverityCrashed, 0, 1, 2, 3, 4, 5)
	r.tick(time.Second)
	all := r.targets
	for gone := range all {
		r.targets = append(append([]model.Target{}, all[:gone]...), all[gone+1:]...)
		r.announce()
		r.checkFloor(t)
		all[gone].Ref.Incarnation++
		r.targets = all
		r.announce()
		r.tick(time.Second)
		r.checkFloor(t)
	}
}

// Guards against edges with slightly different claims ejecting very different sets. Below the common-cause bound, one
// differing claim may replace one other ejection; within its range it may also use up one unit of the budget.
func TestEdgesDifferNoMoreThanTheirInputs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor := rapid.IntRange(0, 84).Draw(t, "floor")
		severities := rapid.SliceOfN(rapid.IntRange(0, 4), 12, 12).Draw(t, "severities")
		changed := rapid.SliceOfNDistinct(rapid.IntRange(0, 11), 0, 3, rapid.ID[int]).Draw(t, "changed")
		other := append([]int{}, severities...)
		for _, i := range changed {
			other[i] = rapid.IntRange(0, 4).Draw(t, "other")
		}
		a, b := ejectedBy(severities, floor), ejectedBy(other, floor)
		require.LessOrEqual(t, max(difference(a, b), difference(b, a)), 2*len(changed))
		if onlyCrashes(severities) && onlyCrashes(other) {
			require.LessOrEqual(t, max(difference(a, b), difference(b, a)), len(changed))
		}
	})
}

func onlyCrashes(severities []int) bool {
	for _, s := range severities {
		if s != 0 && s != int(model.SeverityCrashed) {
			return false
		}
	}
	return true
}

func ejectedBy(severities []int, floor int) map[int]bool {
	r := newHarness(ObserverEdge, 12, 7, floor, model.ProfileCapacity)
	msg := ClaimMsg{Now: r.now}
	for i, s := range severities {
		if s != 0 {
			msg.Claims = append(msg.Claims, model.Claim{Target: ref(i), Severity: model.Severity(s)})
		}
	}
	r.module.Update(msg)
	r.tick(2 * time.Second)
	set := make(map[int]bool)
	for i := range severities {
		if !r.module.Snapshot().Verdict(ref(i)).InService() {
			set[i] = true
		}
	}
	return set
}

func difference(a, b map[int]bool) int {
	n := 0
	for i := range a {
		if !b[i] {
			n++
		}
	}
	return n
}

// Guards against a target that passes health probes but stays in service although real requests fail or stall.
func TestEachFaultIsEjected(t *testing.T) {
	faults := map[string]func(int) (Kind, time.Duration){
		"failing": failing(3),
		"half failing": func() func(int) (Kind, time.Duration) {
			n := 0
			return func(i int) (Kind, time.Duration) {
				if i == 3 {
					if n++; n%2 == 0 {
						return KindError, time.Millisecond
					}
				}
				return healthy(i)
			}
		}(),
		"reset": func(i int) (Kind, time.Duration) {
			if i == 3 {
				return KindReset, 0
			}
			return healthy(i)
		},
		"slow": func(i int) (Kind, time.Duration) {
			if i == 3 {
				return KindOK, 400 * time.Millisecond
			}
			return healthy(i)
		},
		"path": func(i int) (Kind, time.Duration) {
			if i == 3 {
				return KindPathFailure, 0
			}
			return healthy(i)
		},
	}
	for _, profile := range []model.Profile{model.ProfileCapacity, model.ProfileDetection} {
		for name, fault := range faults {
			t.Run(string(profile)+" "+name, func(t *testing.T) {
				r := newHarness(ObserverEdge, 12, 7, 50, profile)
				r.warmUp()
				r.serve(4*time.Second, fault)
				require.Contains(t, []State{StateEjected, StateProbation}, r.state(3))
				require.Equal(t, StateHealthy, r.state(4))
			})
		}
	}
}

// Guards against missing a target that accepts requests and never responds, also when no other target gets requests.
func TestStalledTargetIsEjected(t *testing.T) {
	for _, others := range []bool{true, false} {
		r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileDetection)
		r.warmUp()
		r.tick(time.Second)
		begin := r.now
		for r.state(3) != StateEjected {
			age := r.now.Sub(begin)
			r.module.Update(InFlightMsg{Now: r.now, Target: ref(3), Class: "read", Count: 2, OldestAge: age, SecondAge: age})
			if others {
				r.result(4, KindOK, 20*time.Millisecond)
				r.result(5, KindOK, 20*time.Millisecond)
			}
			r.tick(50 * time.Millisecond)
			require.Less(t, age, map[bool]time.Duration{true: 1300, false: 2200}[others]*time.Millisecond)
		}
		detectionTime := r.module.Snapshot().Verdict(ref(3)).DetectionTime
		require.Positive(t, detectionTime, "the detection time must be reported")
		require.Less(t, detectionTime, r.now.Sub(begin))
	}
}

// Guards against treating a long request as a stall at a target that completes other requests.
func TestOneLongRequestIsNoStall(t *testing.T) {
	r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileDetection)
	r.warmUp()
	for i := range 200 {
		age := time.Duration(i) * 50 * time.Millisecond
		r.module.Update(InFlightMsg{Now: r.now, Target: ref(3), Class: "read", Count: 2, OldestAge: age, SecondAge: age})
		r.result(3, KindOK, 20*time.Millisecond)
		r.tick(50 * time.Millisecond)
	}
	require.Equal(t, StateHealthy, r.state(3))
}

// Guards against ejecting targets when a shared dependency makes all of them slow, fail or stall.
func TestCommonCauseEjectsNothing(t *testing.T) {
	common := map[string]func(int) (Kind, time.Duration){
		"slow":    func(int) (Kind, time.Duration) { return KindOK, 400 * time.Millisecond },
		"failing": func(int) (Kind, time.Duration) { return KindError, time.Millisecond },
		"timeout": func(int) (Kind, time.Duration) { return KindTimeout, 2 * time.Second },
	}
	for name, behave := range common {
		t.Run(name, func(t *testing.T) {
			r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileDetection)
			r.warmUp()
			r.serve(20*time.Second, func(i int) (Kind, time.Duration) {
				for j := range r.targets {
					require.True(t, r.module.Snapshot().Verdict(ref(j)).InService())
				}
				return behave(i)
			})
			r.serve(20*time.Second, healthy)
			for i := range r.targets {
				require.Equal(t, StateHealthy, r.state(i))
			}
		})
	}
}

// Guards against a recovered target that is not readmitted, with many requests, with one request in ten seconds, and
// with none.
func TestRecoveredTargetIsReadmitted(t *testing.T) {
	for name, interval := range map[string]time.Duration{"busy": 50 * time.Millisecond, "quiet": 10 * time.Second, "none": 0} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileCapacity)
			r.warmUp()
			r.serve(4*time.Second, failing(3))
			require.NotEqual(t, StateHealthy, r.state(3))
			next := r.now
			for end := r.now.Add(3 * time.Minute); r.now.Before(end); r.tick(50 * time.Millisecond) {
				if interval > 0 && !r.now.Before(next) && r.state(3) != StateEjected {
					r.result(3, KindOK, 20*time.Millisecond)
					next = r.now.Add(interval)
				}
			}
			require.Equal(t, StateHealthy, r.state(3))
		})
	}
}

// Guards against a flapping target that is readmitted at the same rate indefinitely.
func TestFlappingLengthensEjection(t *testing.T) {
	r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileDetection)
	r.warmUp()
	var waits []time.Duration
	var ejectedAt time.Time
	for len(waits) < 8 {
		before := r.state(3)
		r.serve(50*time.Millisecond, failing(3))
		switch after := r.state(3); {
		case before != StateEjected && after == StateEjected:
			ejectedAt = r.now
		case before == StateEjected && after != StateEjected:
			waits = append(waits, r.now.Sub(ejectedAt))
		}
	}
	for i := 1; i < 6; i++ {
		require.Greater(t, waits[i], waits[i-1]*3/2)
	}
	require.LessOrEqual(t, waits[7], maxEjectionTime+maxEjectionTime/8)
}

// Guards against a restart that clears the ejection history of a target that crashes repeatedly.
func TestRestartKeepsEjectionHistory(t *testing.T) {
	r := newHarness(ObserverEdge, 12, 7, 50, model.ProfileDetection)
	for range 3 {
		r.claim(model.SeverityCrashed, 3)
		r.claim(model.SeverityCrashed)
		r.targets[3].Ref.Incarnation++
		r.announce()
	}
	require.Equal(t, 1, r.module.byName[testService].targets[3].history.ejections, "claims on an old incarnation must not count")
	r.module.Update(ClaimMsg{Now: r.now, Claims: []model.Claim{{Target: r.targets[3].Ref, Severity: model.SeverityCrashed}}})
	require.Equal(t, 2, r.module.byName[testService].targets[3].history.ejections)
}

// Guards against an agent whose claim outlasts the fault, or is never published.
func TestAgentClaims(t *testing.T) {
	r := newHarness(ObserverAgent, 1, 7, 50, model.ProfileDetection)
	r.warmUp()
	r.serve(2*time.Second, failing(0))
	require.Equal(t, []model.Claim{{Target: ref(0), Severity: model.SeverityFailing}}, r.module.Claims())
	r.tick(50 * time.Millisecond)
	for range 3 {
		r.result(0, KindOK, 20*time.Millisecond)
	}
	r.tick(50 * time.Millisecond)
	require.Empty(t, r.module.Claims())
}

// Guards against violating the floor when all nodes decide at once on differing views of the targets and claims.
func TestFloorHoldsForAllEdgesOnDifferingViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor := rapid.IntRange(0, 84).Draw(t, "floor")
		for range 8 {
			r := newHarness(ObserverEdge, 12, 7, floor, model.ProfileDetection)
			for i := range r.targets {
				if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
					r.targets[i].State = model.TargetDraining
				}
			}
			r.announce()
			for range 3 {
				claims := rapid.SliceOfNDistinct(rapid.IntRange(0, 11), 0, 12, rapid.ID[int]).Draw(t, "claims")
				r.claim(model.SeverityCrashed, claims...)
				r.checkFloor(t)
				r.tick(time.Duration(rapid.IntRange(0, 20000).Draw(t, "pause")) * time.Millisecond)
				r.checkFloor(t)
			}
		}
	})
}

// BenchmarkTick measures one evaluation of an edge at the design size: 7,500 targets of 170 services, 270 requests/s.
func BenchmarkTick(b *testing.B) {
	benchmarkTick(b, 1, 0)
}

// BenchmarkTickAllPairs measures an evaluation after every target was used with 14 routes, 105,000 pairs in all.
func BenchmarkTickAllPairs(b *testing.B) {
	benchmarkTick(b, 14, 20)
}

// benchmarkTick reports uses results for every pair of target and class before it measures.
func benchmarkTick(b *testing.B, classes, uses int) {
	m := New(Config{Observer: ObserverEdge})
	var services []Service
	var refs []model.TargetRef
	for s := range 170 {
		service := Service{Spec: model.ServiceSpec{Name: fmt.Sprintf("s%03d", s), FloorSlots: 100}}
		for i := range 44 {
			target := model.TargetRef{Service: service.Spec.Name, ID: fmt.Sprintf("t%02d", i), Incarnation: 1}
			refs = append(refs, target)
			service.Targets = append(service.Targets, model.Target{Ref: target, Slots: 4, State: model.TargetServing})
		}
		services = append(services, service)
	}
	names := []string{"read"}
	for i := 1; i < classes; i++ {
		names = append(names, fmt.Sprintf("read-%d", i))
	}
	now := testStart
	m.Update(ServicesMsg{Now: now, Services: services})
	for range uses {
		now = now.Add(sampleSpacing)
		for _, ref := range refs {
			for _, name := range names {
				m.Update(ResultMsg{Now: now, Target: ref, Class: name, Duration: 20 * time.Millisecond, Kind: KindOK})
			}
		}
	}
	n := 0
	for b.Loop() {
		for range 14 { // The requests of 50 ms.
			n++
			target, class := refs[n*7919%len(refs)], names[n%len(names)]
			m.Update(ResultMsg{Now: now, Target: target, Class: class, Duration: 20 * time.Millisecond, Kind: KindOK})
		}
		now = now.Add(50 * time.Millisecond)
		m.Update(TickMsg{Now: now})
	}
}

// Guards against publishing cached verdicts of a service after an evaluation changed them.
func TestCachedVerdictsMatchFullPublication(t *testing.T) {
	for _, observer := range []Observer{ObserverEdge, ObserverAgent} {
		rapid.Check(t, func(t *rapid.T) {
			now := testStart
			m := New(Config{Observer: observer, Seed: 1})
			announce := func() {
				var services []Service
				for s := range 3 {
					item := Service{Spec: model.ServiceSpec{Name: fmt.Sprint("s", s), FloorSlots: 10, Profile: model.ProfileDetection}}
					for i := range 6 {
						state := rapid.SampledFrom([]model.TargetState{model.TargetServing, model.TargetServing, model.TargetDraining}).Draw(t, "state")
						target := model.TargetRef{Service: item.Spec.Name, ID: fmt.Sprint("t", i), Incarnation: 1}
						item.Targets = append(item.Targets, model.Target{Ref: target, Slots: 4, State: state})
					}
					services = append(services, item)
				}
				m.Update(ServicesMsg{Now: now, Services: services})
			}
			announce()
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				target := model.TargetRef{
					Service: fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "service")), ID: fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "target")),
					Incarnation: 1,
				}
				switch rapid.IntRange(0, 9).Draw(t, "message") {
				case 0:
					announce()
				case 1, 2:
					severity := rapid.SampledFrom([]model.Severity{0, model.SeveritySlow, model.SeverityCrashed}).Draw(t, "severity")
					m.Update(ClaimMsg{Now: now, Claims: []model.Claim{{Target: target, Severity: severity}}})
				case 3, 4, 5:
					kind := rapid.SampledFrom([]Kind{KindOK, KindError, KindReset}).Draw(t, "kind")
					for range 8 {
						m.Update(ResultMsg{Now: now, Target: target, Class: "read", Duration: 20 * time.Millisecond, Kind: kind, Idempotent: true})
					}
				default:
					now = now.Add(time.Duration(rapid.IntRange(50, 6000).Draw(t, "pause")) * time.Millisecond)
					m.Update(TickMsg{Now: now})
				}
				kept, claims := m.Snapshot().Verdicts, m.Claims()
				for _, s := range m.services {
					s.verdictsStale = true
				}
				m.changed = true
				require.Empty(t, m.publish())
				require.Equal(t, kept, m.Snapshot().Verdicts)
				require.Equal(t, claims, m.Claims())
			}
		})
	}
}
