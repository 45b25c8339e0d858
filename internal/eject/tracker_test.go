package eject

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Guards against lost results and stale ages when many requests start and end during evaluations.
func TestTrackerUnderConcurrentRequests(t *testing.T) {
	var ejected atomic.Bool
	tracker := NewTracker(TrackerConfig{
		Config: Config{Observer: ObserverEdge}, Clock: timer.NewReal(), Interval: time.Millisecond,
		OnVerdict: func(c VerdictCmd) { ejected.Store(ejected.Load() || c.To == StateEjected && c.Target == ref(0)) },
	})
	defer tracker.Close()
	service := Service{Spec: model.ServiceSpec{Name: testService, FloorSlots: 7, Profile: model.ProfileDetection}}
	for i := range 6 {
		service.Targets = append(service.Targets, model.Target{Ref: ref(i), Slots: 7, State: model.TargetServing})
	}
	tracker.SetServices([]Service{service})
	var wg sync.WaitGroup
	for i := range 6 {
		for range 4 {
			wg.Go(func() { runRequests(tracker, i) })
		}
	}
	wg.Wait()
	require.Eventually(t, ejected.Load, 5*time.Second, time.Millisecond)
	for i := 1; i < 6; i++ {
		require.True(t, tracker.Verdict(ref(i)).InService())
	}
}

func runRequests(tracker *Tracker, i int) {
	for range 400 {
		handle := tracker.Start(Request{Target: ref(i), Class: "read", Idempotent: true})
		handle.Progress()
		time.Sleep(500 * time.Microsecond)
		if i == 0 {
			handle.Finish(Result{Kind: KindError})
		} else {
			handle.Finish(Result{Kind: KindOK})
		}
		handle.Finish(Result{Kind: KindError}) // A second Finish must not count.
	}
}

// Guards against in-flight requests that the chunk list loses, counts twice, or never frees.
func TestStartTimes(t *testing.T) {
	var s startTimes
	var slots []*atomic.Int64
	for i := range 3 * chunkSlots {
		slots = append(slots, s.reserve(int64(i+1)))
	}
	count, start, second := s.oldest(10)
	require.Equal(t, 3*chunkSlots-9, count)
	require.EqualValues(t, 10, start)
	require.EqualValues(t, 11, second)
	for _, slot := range slots {
		slot.Store(0)
	}
	count, _, _ = s.oldest(0)
	require.Zero(t, count)
}

// Guards against missing a stalled target of which no request ever finishes.
func TestTrackerSeesTheAgeInFlight(t *testing.T) {
	clock := timer.NewManual(testStart)
	tracker := NewTracker(TrackerConfig{Config: Config{Observer: ObserverAgent}, Clock: clock})
	defer tracker.Close()
	tracker.SetServices([]Service{{
		Spec:    model.ServiceSpec{Name: testService, Profile: model.ProfileDetection},
		Targets: []model.Target{{Ref: ref(0), Slots: 7, State: model.TargetServing}},
	}})
	handle := tracker.Start(Request{Target: ref(0), Class: "read"})
	require.Eventually(t, func() bool {
		clock.Advance(100 * time.Millisecond)
		return len(tracker.Claims()) == 1
	}, 5*time.Second, time.Millisecond)
	require.Equal(t, model.SeverityStalled, tracker.Claims()[0].Severity)
	handle.Finish(Result{Kind: KindTimeout})
}

func BenchmarkTracker(b *testing.B) {
	tracker := NewTracker(TrackerConfig{Config: Config{Observer: ObserverEdge}, Clock: timer.NewReal()})
	defer tracker.Close()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			tracker.Start(Request{Target: ref(1), Class: "read"}).Finish(Result{Kind: KindOK})
		}
	})
}

// Guards against a tick that visits every pair of target and class that was ever used, which took half a core on an
// edge with 100,000 pairs, and against losing a pair whose request is still in flight.
func TestCollectVisitsOnlyPairsInUse(t *testing.T) {
	clock := timer.NewManual(testStart)
	tracker := NewTracker(TrackerConfig{Config: Config{Observer: ObserverEdge}, Clock: clock})
	tracker.Close() // The test calls collect itself.
	tracker.SetServices([]Service{{
		Spec:    model.ServiceSpec{Name: testService},
		Targets: []model.Target{{Ref: ref(0), Slots: 7, State: model.TargetServing}, {Ref: ref(1), Slots: 7, State: model.TargetServing}},
	}})
	listed := func() (count int) {
		for c := tracker.touched.Load(); c != nil; c = c.next {
			count++
		}
		return count
	}
	for _, class := range []string{"read", "write", "list"} {
		tracker.Start(Request{Target: ref(0), Class: class}).Finish(Result{Kind: KindOK})
	}
	handle := tracker.Start(Request{Target: ref(1), Class: "read"})
	require.Equal(t, 4, listed())
	for range 3 {
		clock.Advance(defaultInterval)
		tracker.collect(clock.Now())
		require.Equal(t, 1, listed())
	}
	handle.Finish(Result{Kind: KindOK})
	tracker.collect(clock.Now())
	tracker.collect(clock.Now())
	require.Zero(t, listed())
	require.Equal(t, 1, tracker.module.byName[testService].byRef[ref(1)].evidence.classes["read"].sampleCount, "the result must not be lost")
}

// Guards against in-flight requests of a target that left and came back, whose ages would overwrite those of new
// requests.
func TestDroppedPairsAreNotReported(t *testing.T) {
	clock := timer.NewManual(testStart)
	tracker := NewTracker(TrackerConfig{Config: Config{Observer: ObserverEdge}, Clock: clock})
	tracker.Close() // The test calls collect itself.
	service := Service{Spec: model.ServiceSpec{Name: testService}, Targets: []model.Target{{Ref: ref(0), Slots: 7, State: model.TargetServing}}}
	tracker.SetServices([]Service{service})
	tracker.Start(Request{Target: ref(0), Class: "read"})
	tracker.collect(clock.Now())
	tracker.SetServices(nil)
	tracker.SetServices([]Service{service})
	tracker.collect(clock.Now())
	require.Nil(t, tracker.touched.Load())
}

// Guards against keeping unused pairs of target and class as long as their target exists, which used 70 MB on an edge
// that had sent requests to every target, and against losing an in-flight request or the baseline of an idle pair.
func TestIdlePairsAreDropped(t *testing.T) {
	clock := timer.NewManual(testStart)
	tracker := NewTracker(TrackerConfig{Config: Config{Observer: ObserverEdge}, Clock: clock})
	tracker.Close() // The test calls collect itself.
	tracker.SetServices([]Service{{
		Spec:    model.ServiceSpec{Name: testService},
		Targets: []model.Target{{Ref: ref(0), Slots: 7, State: model.TargetServing}, {Ref: ref(1), Slots: 7, State: model.TargetServing}},
	}})
	tracker.Start(Request{Target: ref(0), Class: "read"}).Finish(Result{Kind: KindOK})
	handle := tracker.Start(Request{Target: ref(1), Class: "read"})
	late, _ := tracker.cells.Load(cellKey{ref(0), "read"})
	for range 4 {
		tracker.collect(clock.Now())
		clock.Advance(idleSweep)
	}
	_, found := tracker.cells.Load(cellKey{ref(0), "read"})
	require.False(t, found)
	_, found = tracker.cells.Load(cellKey{ref(1), "read"})
	require.True(t, found, "a request is in flight")
	require.Len(t, tracker.index.byTarget, 1)
	classes := tracker.module.byName[testService].byRef[ref(0)].evidence.classes
	require.Empty(t, classes["read"].samples)
	require.Equal(t, 1, classes["read"].baselineCount)
	handle.Finish(Result{Kind: KindOK})
	(&Handle{tracker: tracker, cell: late.(*cell), slot: late.(*cell).starts.reserve(1), start: 1}).Finish(Result{Kind: KindOK})
	tracker.collect(clock.Now())
	require.Equal(t, 1, classes["read"].sampleCount, "a request that looked up its cell before must be counted")
	tracker.SetServices(nil)
	require.Empty(t, tracker.index.byTarget)
}
