package picker

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/auburnwinch/auburnwinch/internal/eject"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const testService = "vitrine"

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture holds a picker with twelve targets on twelve nodes, two nodes per failure domain and four per region.
type fixture struct {
	*Picker
	module *eject.Module
	now    time.Time
	view   *view.View
}

func (r *fixture) Snapshot() *eject.Snapshot { return r.module.Snapshot() }

func newFixture(seed uint64) *fixture {
	r := &fixture{module: eject.New(eject.Config{Observer: eject.ObserverEdge}), now: testStart}
	r.Picker = New(Config{Health: r, Now: func() time.Time { return r.now }, Seed: seed})
	spec := model.ServiceSpec{Name: testService, FloorSlots: 3, Profile: model.ProfileDetection}
	var candidates []view.Candidate
	for i := range 12 {
		node := model.Node{
			Ref:    model.NodeRef{ID: fmt.Sprintf("n%02d", i), Incarnation: 1},
			Domain: fmt.Sprintf("d%d", i/2), Region: fmt.Sprintf("r%d", i/4),
		}
		target := model.Target{
			Ref: model.TargetRef{Service: testService, ID: fmt.Sprintf("t%02d", i), Incarnation: 1}, Node: node.Ref,
			Slots: 3, State: model.TargetServing,
		}
		candidates = append(candidates, view.Candidate{Target: target, Node: node})
	}
	r.view = view.New(view.Config{
		Self: candidates[0].Node, Candidates: candidates,
		Configuration: &model.Configuration{Services: []model.ServiceSpec{spec}},
	})
	r.SetView(r.view)
	service := eject.Service{Spec: spec}
	for _, c := range candidates {
		service.Targets = append(service.Targets, c.Target)
	}
	r.module.Update(eject.ServicesMsg{Now: r.now, Services: []eject.Service{service}})
	return r
}

func (r *fixture) crash(targets ...int) {
	msg := eject.ClaimMsg{Now: r.now}
	for _, i := range targets {
		ref := r.view.Services[0].Candidates[i].Target.Ref
		msg.Claims = append(msg.Claims, model.Claim{Target: ref, Severity: model.SeverityCrashed})
	}
	r.module.Update(msg)
}

// Guards against crossing a region while a nearer tier has spare slots, and against refusing requests while any tier
// has some.
func TestTiersFillNearestFirst(t *testing.T) {
	r := newFixture(1)
	for n := range 36 {
		c, err := r.Pick(Request{Service: testService})
		require.NoError(t, err)
		want := map[bool]int{true: 0}[n < 3]
		if n >= 3 {
			want = map[bool]int{true: 1, false: 2}[n < 6]
		}
		if n >= 12 {
			want = 3
		}
		require.Equal(t, want, c.entry.tier, "request %d", n)
		require.LessOrEqual(t, c.entry.counters.inFlight.Load(), int64(3))
	}
	_, err := r.Pick(Request{Service: testService})
	require.NoError(t, err, "the agent decides whether to queue the request")
}

// Guards against picking ejected or excluded targets, and against losing count of the requests in flight.
func TestChoicesRespectVerdicts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newFixture(rapid.Uint64().Draw(t, "seed"))
		r.crash(rapid.SliceOfNDistinct(rapid.IntRange(0, 11), 0, 12, rapid.ID[int]).Draw(t, "crashed")...)
		var held []Choice
		for range rapid.IntRange(1, 80).Draw(t, "requests") {
			r.now = r.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			r.module.Update(eject.TickMsg{Now: r.now})
			request := Request{Service: testService, Idempotent: rapid.Bool().Draw(t, "idempotent")}
			if len(held) > 0 && rapid.Bool().Draw(t, "retry") {
				request.Exclude = []model.TargetRef{held[len(held)-1].Candidate.Target.Ref}
			}
			c, err := r.Pick(request)
			if err == nil {
				require.NotContains(t, request.Exclude, c.Candidate.Target.Ref)
				v := r.Snapshot().Verdict(c.Candidate.Target.Ref)
				require.True(t, v.InService() || c.Probation && v.State == eject.StateProbation && request.Idempotent)
				held = append(held, c)
			}
			if len(held) > 0 && rapid.Bool().Draw(t, "done") {
				r.Done(held[0], Load{InFlight: rapid.IntRange(0, 9).Draw(t, "reported"), Limit: rapid.IntRange(0, 3).Draw(t, "limit")})
				held = held[1:]
			}
		}
		for _, c := range held {
			r.Done(c, Load{})
		}
		for _, e := range r.services.Load().services[testService].entries {
			require.Zero(t, e.counters.inFlight.Load())
			require.False(t, e.counters.probing.Load())
		}
	})
}

// Guards against a second concurrent request to a target in probation, and against a non-idempotent one.
func TestProbationTakesOneIdempotentRequest(t *testing.T) {
	r := newFixture(1)
	r.crash(5)
	r.now = r.now.Add(time.Minute)
	r.module.Update(eject.TickMsg{Now: r.now})
	c, err := r.Pick(Request{Service: testService})
	require.NoError(t, err)
	require.False(t, c.Probation)
	first, err := r.Pick(Request{Service: testService, Idempotent: true})
	require.NoError(t, err)
	require.True(t, first.Probation)
	r.now = r.now.Add(time.Second)
	second, err := r.Pick(Request{Service: testService, Idempotent: true})
	require.NoError(t, err)
	require.False(t, second.Probation)
	r.Done(first, Load{})
	r.now = r.now.Add(time.Second)
	third, err := r.Pick(Request{Service: testService, Idempotent: true})
	require.NoError(t, err)
	require.True(t, third.Probation)
}

// Guards against a stale report that keeps a target empty or full forever.
func TestReportedLoadDecays(t *testing.T) {
	var c counters
	c.storeReport(Load{InFlight: 8, Limit: 3}, testStart)
	require.InDelta(t, 8, c.load(testStart), 0.01)
	require.InDelta(t, 1, c.load(testStart.Add(3*reportHalfLife)), 0.01)
	require.Equal(t, 3, c.limit(model.Target{Slots: 7}, testStart))
	require.Equal(t, 7, c.limit(model.Target{Slots: 7}, testStart.Add(2*limitMaxAge)))
}

// Guards against a view change that loses the count of requests in flight while requests run.
func TestViewChangesUnderLoad(t *testing.T) {
	r := newFixture(1)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c, err := r.Pick(Request{Service: testService}); err == nil {
					r.Done(c, Load{InFlight: 1, Limit: 3})
				}
			}
		})
	}
	for range 200 {
		r.SetView(r.view)
	}
	close(stop)
	wg.Wait()
	for _, e := range r.services.Load().services[testService].entries {
		require.Zero(t, e.counters.inFlight.Load())
	}
}

func BenchmarkPick(b *testing.B) {
	r := newFixture(1)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c, _ := r.Pick(Request{Service: testService})
			r.Done(c, Load{})
		}
	})
}
