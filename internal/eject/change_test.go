package eject

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// randomFleet is a small fleet whose records and tickets change at random, as observed by node n0.
type randomFleet struct {
	clock    *timer.Manual
	services []string
	c        *model.Configuration
	states   []view.NodeState
}

func newRandomFleet(services ...string) *randomFleet {
	f := &randomFleet{clock: timer.NewManual(testStart), services: services, c: &model.Configuration{}}
	for n := range 6 {
		f.states = append(f.states, view.NodeState{Node: model.Node{Ref: model.NodeRef{ID: fmt.Sprint("n", n), Incarnation: 1}}})
	}
	return f
}

func (f *randomFleet) target(t *rapid.T) model.TargetRef {
	n := rapid.IntRange(0, 5).Draw(t, "of node")
	return model.TargetRef{Service: rapid.SampledFrom(f.services).Draw(t, "service"), ID: fmt.Sprint("t", n), Incarnation: 1}
}

// change modifies one record or publishes a ticket.
func (f *randomFleet) change(t *rapid.T) {
	nodeState := &f.states[rapid.IntRange(0, 5).Draw(t, "node")]
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		nodeState.Claims = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) model.Claim {
			return model.Claim{Target: f.target(t), Severity: model.Severity(rapid.IntRange(1, 4).Draw(t, "severity"))}
		}), 0, 3).Draw(t, "claims")
	case 1:
		nodeState.Poison = []model.PoisonEntry{{Service: f.services[0], Fingerprint: rapid.Uint64Range(1, 2).Draw(t, "fingerprint")}}
	case 2:
		f.publishTicket(t)
	default:
		nodeState.Targets = nil
		for _, name := range f.services {
			if rapid.IntRange(0, 4).Draw(t, "leave") == 0 {
				continue
			}
			id := rapid.SampledFrom([]string{"t" + nodeState.Node.Ref.ID[1:], "t" + nodeState.Node.Ref.ID[1:], "t0"}).Draw(t, "id")
			ref := model.TargetRef{Service: name, ID: id, Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation")}
			state := rapid.SampledFrom([]model.TargetState{model.TargetServing, model.TargetServing, model.TargetDraining}).Draw(t, "state")
			nodeState.Targets = append(nodeState.Targets, model.Target{Ref: ref, Node: nodeState.Node.Ref, Slots: rapid.IntRange(1, 2).Draw(t, "slots"), State: state})
		}
	}
}

func (f *randomFleet) publishTicket(t *rapid.T) {
	c := &model.Configuration{Number: f.c.Number + 1}
	for _, name := range f.services {
		if rapid.IntRange(0, 4).Draw(t, "remove") > 0 {
			profile := rapid.SampledFrom([]model.Profile{model.ProfileCapacity, model.ProfileDetection}).Draw(t, "profile")
			c.Services = append(c.Services, model.ServiceSpec{Name: name, FloorSlots: rapid.IntRange(0, 8).Draw(t, "floor"), Profile: profile})
		}
	}
	f.c = c
}

// observedTracker is a tracker without a running goroutine that records its verdict commands.
type observedTracker struct {
	*Tracker
	verdicts []VerdictCmd
	open     []*Handle
}

func newObservedTracker(o Observer, clock timer.Service) *observedTracker {
	w := &observedTracker{}
	w.Tracker = NewTracker(TrackerConfig{
		Config: Config{Observer: o, Seed: 1}, Clock: clock, OnVerdict: func(c VerdictCmd) { w.verdicts = append(w.verdicts, c) },
	})
	w.Close() // The test calls collect itself.
	return w
}

func (w *observedTracker) finish(kind Kind) {
	if len(w.open) > 0 {
		w.open[0].Finish(Result{Kind: kind})
		w.open = w.open[1:]
	}
}

// cellKeys returns the keys of the cells that requests can look up.
func (w *observedTracker) cellKeys() map[cellKey]bool {
	found := make(map[cellKey]bool)
	w.cells.Range(func(key, _ any) bool {
		found[key.(cellKey)] = true
		return true
	})
	return found
}

// cloneView returns an equal view that shares no service with any other view.
func cloneView(v *view.View) *view.View {
	copied := *v
	copied.Services = nil
	for _, s := range v.Services {
		fresh := *s
		copied.Services = append(copied.Services, &fresh)
	}
	return &copied
}

// An incremental update visits only the changed services. Guards against skipping a service whose targets, claims or
// spec changed, against a verdict that differs from that of a full rebuild, and against cells that are kept after their
// target was removed.
func TestIncrementalViewMatchesFullRebuild(t *testing.T) {
	for _, observer := range []Observer{ObserverEdge, ObserverAgent} {
		rapid.Check(t, func(t *rapid.T) {
			f := newRandomFleet("kassa", "vitrine", "archief")
			b := view.NewBuilder(f.states[0].Node)
			shared, full := newObservedTracker(observer, f.clock), newObservedTracker(observer, f.clock)
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				switch rapid.IntRange(0, 5).Draw(t, "step") {
				case 0, 1:
					f.change(t)
					v := b.Build(f.c, f.states)
					shared.SetView(v)
					full.SetView(cloneView(v))
					checkModule(t, shared, v)
				case 2:
					r := Request{Target: f.target(t), Class: rapid.SampledFrom([]string{"read", "list"}).Draw(t, "class"), Idempotent: true}
					shared.open, full.open = append(shared.open, shared.Start(r)), append(full.open, full.Start(r))
				case 3:
					kind := Kind(rapid.IntRange(0, 6).Draw(t, "kind"))
					shared.finish(kind)
					full.finish(kind)
				default:
					f.clock.Advance(time.Duration(rapid.SampledFrom([]int{50, 50, 500, 7000, 700_000}).Draw(t, "ms")) * time.Millisecond)
					shared.collect(f.clock.Now())
					full.collect(f.clock.Now())
				}
				requireEqual(t, full, shared)
				require.Equal(t, full.module.histories, shared.module.histories)
				require.Equal(t, full.cellKeys(), shared.cellKeys())
			}
		})
	}
}

func requireEqual(t require.TestingT, want, got *observedTracker) {
	require.Equal(t, want.module.services, got.module.services)
	require.Equal(t, want.module.snapshot, got.module.snapshot)
	require.Equal(t, want.module.rng, got.module.rng)
	require.Equal(t, want.verdicts, got.verdicts)
	require.Equal(t, want.Claims(), got.Claims())
}

// checkModule compares the state of the module with the view.
func checkModule(t require.TestingT, w *observedTracker, v *view.View) {
	require.Len(t, w.module.services, len(v.Services))
	histories := make(map[historyKey]bool)
	for i, s := range v.Services {
		known := w.module.services[i]
		require.Equal(t, s.Spec, known.spec)
		item := w.changeOf(v.Self.Ref, s)
		require.Len(t, known.byRef, len(item.Targets))
		require.Len(t, known.targets, len(item.Targets))
		for j, target := range item.Targets {
			require.Equal(t, target, known.targets[j].Target)
			require.Same(t, known.targets[j], known.byRef[target.Ref])
			require.Same(t, known.targets[j].history, w.module.histories[historyKey{target.Ref.Service, target.Ref.ID}])
			histories[historyKey{target.Ref.Service, target.Ref.ID}] = true
			claim := model.Severity(0)
			for _, c := range s.Claims {
				if w.config.Observer == ObserverEdge && c.Target == target.Ref {
					claim = max(claim, c.Severity)
				}
			}
			require.Equal(t, claim, known.targets[j].claim)
		}
	}
	require.Empty(t, w.Tracker.index.unannounced)
	require.Len(t, w.module.histories, len(histories)+len(w.module.unusedHistories))
	for key := range w.module.unusedHistories {
		require.LessOrEqual(t, w.module.now.Sub(w.module.histories[key].lastEjected), flapWindow)
	}
	for key := range w.cellKeys() {
		require.True(t, w.announced(key.target), "the cells of a removed target must be dropped")
	}
}

// Guards against an in-place update of a service that differs from a rebuild through ServicesMsg and ClaimMsg.
func TestUpdatedServiceMatchesRebuiltService(t *testing.T) {
	for _, observer := range []Observer{ObserverEdge, ObserverAgent} {
		rapid.Check(t, func(t *rapid.T) {
			f := newRandomFleet("kassa")
			b := view.NewBuilder(f.states[0].Node)
			altered, rebuilt := newObservedTracker(observer, f.clock), newObservedTracker(observer, f.clock)
			var before []ServiceChange
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				switch rapid.IntRange(0, 3).Draw(t, "step") {
				case 0:
					f.change(t)
					v := b.Build(f.c, f.states)
					altered.SetView(v)
					rebuilt.replace(f.clock.Now(), before, rebuilt.changesOf(v))
					rebuilt.module.expireHistories() // The other tracker does this with each view.
					before = rebuilt.changesOf(v)
				case 1, 2:
					msg := ResultMsg{
						Now: f.clock.Now(), Target: f.target(t), Class: "read", Kind: Kind(rapid.IntRange(1, 6).Draw(t, "kind")), Idempotent: true,
						Duration: time.Duration(rapid.IntRange(1, 3000).Draw(t, "took")) * time.Millisecond,
					}
					for range rapid.SampledFrom([]int{1, 4, 40}).Draw(t, "results") {
						altered.module.Update(msg)
						rebuilt.module.Update(msg)
					}
				default:
					f.clock.Advance(time.Duration(rapid.SampledFrom([]int{50, 50, 500, 7000, 700_000}).Draw(t, "ms")) * time.Millisecond)
					altered.collect(f.clock.Now())
					rebuilt.collect(f.clock.Now())
				}
				requireEqual(t, rebuilt, altered)
			}
		})
	}
}

func (w *observedTracker) changesOf(v *view.View) (list []ServiceChange) {
	for _, s := range v.Services {
		list = append(list, w.changeOf(v.Self.Ref, s))
	}
	return list
}

// replace sends the messages that replace all services and claims, if anything that the module reads has changed.
func (w *observedTracker) replace(now time.Time, before, after []ServiceChange) {
	var services []Service
	var claims []model.Claim
	for _, item := range after {
		services, claims = append(services, item.Service), append(claims, item.Claims...)
	}
	same := slices.EqualFunc(before, after, func(a, b ServiceChange) bool { return fmt.Sprint(a.Service) == fmt.Sprint(b.Service) })
	if !same {
		w.SetServices(services)
	}
	if w.config.Observer == ObserverEdge && (!same || !slices.Equal(severities(before), severities(after))) {
		w.apply(w.module.Update(ClaimMsg{Now: now, Claims: claims}))
	}
}

// severities returns the highest claimed severity of each target.
func severities(list []ServiceChange) (worst []model.Severity) {
	for _, item := range list {
		for _, target := range item.Targets {
			severity := model.Severity(0)
			for _, c := range item.Claims {
				if c.Target == target.Ref {
					severity = max(severity, c.Severity)
				}
			}
			worst = append(worst, severity)
		}
	}
	return worst
}

// Guards against a target that is announced again and later loses its ejection history, so that it could flap without
// its ejection times growing.
func TestHistoryIsKeptForReturningTarget(t *testing.T) {
	m := New(Config{Observer: ObserverEdge, Seed: 1})
	with := []ServiceChange{{Service: Service{
		Spec:    model.ServiceSpec{Name: testService},
		Targets: []model.Target{{Ref: ref(0), Slots: 1, State: model.TargetServing}, {Ref: ref(1), Slots: 1, State: model.TargetServing}},
	}, Claims: []model.Claim{{Target: ref(0), Severity: model.SeverityCrashed}}}}
	without := []ServiceChange{{Service: Service{Spec: with[0].Spec}}}
	for _, changed := range [][]ServiceChange{with, without, with} {
		m.Update(ChangeMsg{Now: testStart, Changed: changed})
	}
	require.NotZero(t, m.byName[testService].targets[0].history.ejections)
	m.Update(ChangeMsg{Now: testStart.Add(2 * flapWindow)})
	require.Same(t, m.byName[testService].targets[0].history, m.histories[historyKey{testService, ref(0).ID}])
}
