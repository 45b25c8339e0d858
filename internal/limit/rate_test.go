package limit

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// newRateSimulation returns a target with enough slots whose rate limit is the only bound.
func newRateSimulation(rate float64) *simulation {
	s := newSimulation(Settings{Slots: 50, Places: 300, MaxWait: time.Minute, DeepQueue: true, FixedLimit: true})
	s.update(RateMsg{Now: s.now, Rate: rate, Limited: true})
	return s
}

// mostIn returns the largest number of times within any window.
func mostIn(window time.Duration, times []time.Time) int {
	most := 0
	for i, first := range times {
		n, _ := slices.BinarySearchFunc(times[i:], first.Add(window), time.Time.Compare)
		most = max(most, n)
	}
	return most
}

// Random arrivals, durations, cancelled sends and repeated statements of the limit. Guards against more requests in any four
// seconds than one and a half times the limit and five, and against a limit that is not used up.
func TestGrantsStayWithinTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.3, 1, 1.6, 4, 25}).Draw(t, "rate")
		s := newRateSimulation(rate)
		sentAt := make(map[uint64]time.Time)
		var running []uint64
		for range 400 {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			switch step := rapid.SampledFrom([]string{"acquire", "acquire", "release", "unsent", "repeat", "tick"}).Draw(t, "step"); step {
			case "acquire":
				s.acquire("", 0)
			case "release", "unsent":
				if len(running) == 0 {
					continue
				}
				id := running[0]
				running = running[1:]
				delete(s.running, id)
				unsent := step == "unsent" && s.now.Sub(sentAt[id]) < time.Second // An admitted request is sent or given up soon.
				s.update(ReleaseMsg{Now: s.now, ID: id, Result: Result{OK: true, Unsent: unsent}})
				if unsent {
					sentAt[id] = time.Time{}
				}
			case "repeat":
				s.update(RateMsg{Now: s.now, Rate: rate, Limited: true})
			case "tick":
				s.update(TickMsg{Now: s.now})
			}
			for id := range s.running {
				if _, known := sentAt[id]; !known {
					sentAt[id] = s.now
					running = append(running, id)
				}
			}
		}
		sent := slices.DeleteFunc(slices.SortedFunc(maps.Values(sentAt), time.Time.Compare), time.Time.IsZero)
		bound := int(1.5*4*rate) + 5
		if most := mostIn(4*time.Second, sent); most > bound {
			t.Fatalf("%d requests in 4 s at %g a second", most, rate)
		}
	})
}

// Guards against a limit that is capacity nobody uses, and against a queue that no tick wakes.
func TestWaitingRequestsUseTheWholeRate(t *testing.T) {
	s := newRateSimulation(2)
	for range 40 {
		s.acquire("", 0)
	}
	granted := len(s.running)
	wakes := 0
	for range 10 * 20 {
		s.now = s.now.Add(50 * time.Millisecond)
		for _, c := range s.module.Update(TickMsg{Now: s.now}) {
			switch c.(type) {
			case GrantCmd:
				granted++
			case WakeCmd:
				wakes++
			}
		}
	}
	require.InDelta(t, 20, granted, 2, "10 s at 2 a second")
	require.Positive(t, wakes)
}

// Guards against a request that waits although its target can't take it in time, and against a refusal that calls the target
// full, after which the edge would stop looking for another target.
func TestRequestsBeyondTheRateAreRefusedAtOnce(t *testing.T) {
	s := newRateSimulation(0.5)
	first := s.acquire("", 0)
	require.Contains(t, s.running, first)
	ask := func(id uint64, r Request) RefuseCmd {
		for _, c := range s.module.Update(AcquireMsg{Now: s.now, ID: id, Request: r}) {
			if refused, ok := c.(RefuseCmd); ok {
				return refused
			}
		}
		return RefuseCmd{}
	}
	refused := ask(100, Request{HasPatience: true})
	require.Equal(t, ReasonRateLimit, refused.Reason)
	require.InDelta(t, 2, refused.RetryAfter.Seconds(), 0.1)
	require.Equal(t, ReasonRateLimit, ask(101, Request{Deadline: s.now.Add(time.Second)}).Reason)
	require.Equal(t, ReasonRateLimit, ask(102, Request{Objective: s.now.Add(time.Second), Deadline: s.now.Add(9 * time.Second)}).Reason)
	require.Zero(t, ask(103, Request{Objective: s.now.Add(3 * time.Second), Deadline: s.now.Add(9 * time.Second)}).Reason)
	require.Equal(t, ReasonRateLimit, ask(104, Request{Objective: s.now.Add(3 * time.Second), Deadline: s.now.Add(9 * time.Second)}).Reason)
}

// A request waits for the rate and is overtaken by more urgent ones until it misses its objective. Guards against holding it
// until its deadline.
func TestOvertakenRequestIsRefused(t *testing.T) {
	s := newRateSimulation(1)
	s.acquire("", 0)
	wait := func(id uint64, rank int) {
		s.update(AcquireMsg{Now: s.now, ID: id, Request: Request{Rank: rank, Objective: s.now.Add(2 * time.Second), Deadline: s.now.Add(9 * time.Second)}})
	}
	wait(100, 1)
	for id := range uint64(4) {
		wait(101+id, 0)
		s.now = s.now.Add(600 * time.Millisecond)
		s.update(TickMsg{Now: s.now})
	}
	require.Equal(t, ReasonRateLimit, s.refused[100].Reason)
}

// Guards against a target that gets nothing forever after it has stated a limit of zero: nothing else would tell that the
// limit has ended.
func TestLimitOfZeroIsTriedNowAndThen(t *testing.T) {
	s := newRateSimulation(0)
	granted := 0
	for range 200 {
		s.now = s.now.Add(100 * time.Millisecond)
		id := s.acquire("", 50*time.Millisecond)
		if _, ok := s.running[id]; ok {
			granted++
			s.release(id)
		}
	}
	require.InDelta(t, 5, granted, 2, "20 s")
}

// Guards against waiting requests that stay in the queue after the limit has ended.
func TestEndOfTheLimitStartsWaitingRequests(t *testing.T) {
	s := newRateSimulation(1)
	for range 10 {
		s.acquire("", 0)
	}
	require.Len(t, s.running, 1)
	s.update(RateMsg{Now: s.now})
	require.Len(t, s.running, 10)
	require.Equal(t, 50, s.module.Load().Limit)
}

// Guards against a token that is lost with a request that was never sent.
func TestUnsentRequestsDoNotCount(t *testing.T) {
	s := newRateSimulation(1)
	id := s.acquire("", 0)
	require.Equal(t, time.Second, s.module.RateWait(s.now))
	delete(s.running, id)
	s.update(ReleaseMsg{Now: s.now, ID: id, Result: Result{Unsent: true}})
	require.Zero(t, s.module.RateWait(s.now))
}

// Guards against requests that wait for the rate while nobody releases a slot or sends another request.
func TestLimiterWakesForTheRate(t *testing.T) {
	l := New(Config{Settings: Settings{Slots: 20, Places: 20, MaxWait: time.Minute, DeepQueue: true, FixedLimit: true}})
	l.SetRate(40, true)
	begin := time.Now()
	var group sync.WaitGroup
	for range 9 {
		group.Go(func() {
			_, err := l.Acquire(context.Background(), Request{})
			if err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	require.Greater(t, time.Since(begin), 150*time.Millisecond, "8 of 9 wait for 1/40 s each")
	require.Less(t, time.Since(begin), 2*time.Second)
}
