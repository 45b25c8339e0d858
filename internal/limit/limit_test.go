package limit

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation tracks which requests run, wait or were refused.
type simulation struct {
	module           *Module
	now              time.Time
	nextID           uint64
	running, waiting map[uint64]string
	refused          map[uint64]RefuseCmd
}

func newSimulation(s Settings) *simulation {
	return &simulation{
		module: NewModule(s), now: testStart, running: make(map[uint64]string), waiting: make(map[uint64]string),
		refused: make(map[uint64]RefuseCmd),
	}
}

func (s *simulation) update(msg Msg) {
	for _, c := range s.module.Update(msg) {
		switch c := c.(type) {
		case GrantCmd:
			s.running[c.ID] = s.waiting[c.ID]
			delete(s.waiting, c.ID)
		case RefuseCmd:
			delete(s.waiting, c.ID)
			s.refused[c.ID] = c
		}
	}
}

func (s *simulation) acquire(account string, deadline time.Duration) uint64 {
	s.nextID++
	s.waiting[s.nextID] = account
	r := Request{Account: account}
	if deadline > 0 {
		r.Deadline = s.now.Add(deadline)
	}
	s.update(AcquireMsg{Now: s.now, ID: s.nextID, Request: r})
	return s.nextID
}

func (s *simulation) release(id uint64) {
	delete(s.running, id)
	s.update(ReleaseMsg{Now: s.now, ID: id, Result: Result{OK: true}})
}

func first(m map[uint64]string) uint64 {
	lowest := uint64(math.MaxUint64)
	for id := range m {
		lowest = min(lowest, id)
	}
	return lowest
}

// Guards against more running requests than slots, a queue beyond its capacity, lost requests and refusals without a
// retry time, under any order of arrivals, completions, cancellations and settings changes.
func TestAdmissionUnderAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{
			Slots: rapid.IntRange(1, 7).Draw(t, "slots"), Places: rapid.IntRange(0, 9).Draw(t, "places"),
			MaxWait: 100 * time.Millisecond, AccountShare: rapid.Float64Range(0, 1).Draw(t, "share"),
		}
		s := newSimulation(settings)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(-10, 60).Draw(t, "pause")) * time.Millisecond)
			before := len(s.running)
			s.randomStep(t, &settings)
			load := s.module.Load()
			require.Equal(t, len(s.running), load.InFlight)
			require.Equal(t, len(s.waiting), load.Waiting)
			require.LessOrEqual(t, len(s.running), max(before, settings.Slots))
			for _, r := range s.refused {
				require.GreaterOrEqual(t, r.RetryAfter, minRetryAfter)
			}
		}
		for len(s.running) > 0 {
			s.release(first(s.running))
			s.now = s.now.Add(time.Second)
			s.update(TickMsg{Now: s.now})
		}
		require.Empty(t, s.waiting)
		require.Empty(t, s.module.accounts)
	})
}

func (s *simulation) randomStep(t *rapid.T, settings *Settings) {
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0:
		settings.Slots = rapid.IntRange(1, 7).Draw(t, "new slots")
		s.update(SettingsMsg{Now: s.now, Settings: *settings})
	case 1:
		if len(s.waiting) > 0 {
			id := first(s.waiting)
			delete(s.waiting, id)
			s.update(CancelMsg{Now: s.now, ID: id})
		}
	case 2, 3:
		if len(s.running) > 0 {
			s.release(first(s.running))
		}
	case 4:
		s.update(TickMsg{Now: s.now})
	default:
		account := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "account"))
		s.acquire(account, time.Duration(rapid.IntRange(0, 500).Draw(t, "deadline"))*time.Millisecond)
	}
}

// Guards against queueing a request whose deadline would pass before it could finish.
func TestRefusesAtOnceWhenTheDeadlineWouldPass(t *testing.T) {
	s := newSimulation(Settings{Slots: 1, Places: 1, MaxWait: time.Second})
	s.acquire("a", 0)
	id := s.acquire("b", 150*time.Millisecond)
	require.Equal(t, ReasonDeadline, s.refused[id].Reason)
	require.Contains(t, s.waiting, s.acquire("c", time.Second))
}

// Guards against one account that holds more than its share of the slots and queue places while another account has
// requests waiting.
func TestShareUnderContention(t *testing.T) {
	s := newSimulation(Settings{Slots: 6, Places: 6, MaxWait: time.Second, AccountShare: 0.5})
	for range 6 {
		s.acquire("above-share", 0)
	}
	require.Len(t, s.running, 6, "an account may use all slots while no other account sends requests")
	for range 3 {
		s.acquire("below-share", 0)
	}
	for range 6 {
		s.acquire("above-share", 0)
	}
	held := 0
	for _, account := range s.waiting {
		if account == "above-share" {
			held++
		}
	}
	require.Equal(t, 3, held)
	for range 6 {
		s.release(first(s.running))
	}
	held = 0
	for _, account := range s.running {
		if account == "above-share" {
			held++
		}
	}
	require.Equal(t, 3, held)
	require.Len(t, s.running, 6)
}

// Guards against slots that stay free while only requests of an account above its share wait.
func TestNoSlotIsIdleWhileRequestsWait(t *testing.T) {
	s := newSimulation(Settings{Slots: 4, Places: 4, MaxWait: time.Second, AccountShare: 0.5})
	for range 6 {
		s.acquire("above-share", 0)
	}
	belowShare := s.acquire("below-share", 0)
	for range 3 {
		s.release(first(s.running))
		require.Len(t, s.running, 4, "%d requests wait", len(s.waiting))
	}
	require.Contains(t, s.running, belowShare)
}

// Guards against an account that blocks others by filling all queue places.
func TestFullQueueAdmitsAccountBelowItsShare(t *testing.T) {
	s := newSimulation(Settings{Slots: 4, Places: 4, MaxWait: time.Second, AccountShare: 0.5})
	for range 8 {
		s.acquire("above-share", 0)
	}
	belowShare := s.acquire("below-share", 0)
	require.Contains(t, s.waiting, belowShare)
	require.Equal(t, ReasonAccountShare, s.refused[8].Reason, "the latest request of the account above its share is displaced")
	s.release(first(s.running))
	require.Contains(t, s.running, belowShare)
}

// Guards against refusing an account below its share because other accounts below their shares hold the last queue
// places, although an account above its share holds all slots and another place. Also guards against refusing the
// second request of an account whose share is a single queue place.
func TestMixedQueueAdmitsAccountBelowItsShare(t *testing.T) {
	s := newSimulation(Settings{Slots: 3, Places: 3, MaxWait: time.Second, AccountShare: 0.5})
	for range 4 {
		s.acquire("above-share", 0)
	}
	s.acquire("below-share-1", 0)
	s.acquire("below-share-2", 0)
	require.Contains(t, s.waiting, s.acquire("below-share-3", 0))
	require.Contains(t, s.refused, uint64(4), "a request of the account above its share is displaced")
	s = newSimulation(Settings{Slots: 3, Places: 3, MaxWait: time.Second, AccountShare: 0.5})
	s.acquire("below-share", 0)
	for range 5 {
		s.acquire("above-share", 0)
	}
	require.Contains(t, s.waiting, s.acquire("below-share", 0), "the second request of an account with a share of one is queued")
}

// Guards against keeping half of the slots free for an account that was refused while below its share, while requests
// of other accounts wait until they time out. One free slot is enough.
func TestAccountAboveItsShareLeavesOneSlotFree(t *testing.T) {
	s := newSimulation(Settings{Slots: 6, Places: 2, MaxWait: time.Second, AccountShare: 0.5})
	for range 7 {
		s.acquire("above-share", 0)
	}
	s.acquire("below-share", 0)
	s.acquire("below-share", 0)
	id := s.acquire("below-share", 0)
	require.Equal(t, ReasonQueueFull, s.refused[id].Reason)
	for range 6 {
		s.release(first(s.running))
	}
	for range 6 {
		s.acquire("above-share", 0)
	}
	require.Len(t, s.running, 5)
	require.Contains(t, s.running, s.acquire("below-share", 0))
}

// Guards against refusing a request because its expected wait exceeds its deadline or the maximum wait, when the
// estimate counts earlier requests of another account that will be dispatched later, because free slots go to accounts
// below their share first.
func TestExpectedWaitFollowsDispatchOrder(t *testing.T) {
	s := newSimulation(Settings{Slots: 2, Places: 2, MaxWait: 120 * time.Millisecond, AccountShare: 0.5})
	for range 4 {
		s.acquire("above-share", 0)
	}
	require.Contains(t, s.waiting, s.acquire("below-share", 250*time.Millisecond))
	s = newSimulation(Settings{Slots: 3, Places: 3, MaxWait: 110 * time.Millisecond, AccountShare: 0.5})
	for range 4 {
		s.acquire("above-share", 0)
	}
	s.acquire("below-share-1", 0)
	s.acquire("below-share-2", 0)
	require.Contains(t, s.waiting, s.acquire("below-share-3", 0))
}

// Guards against limiting accounts to their shares after another account was refused only because its deadline is
// shorter than the duration of any request.
func TestRefusalForShortDeadlineDoesNotEnforceShares(t *testing.T) {
	s := newSimulation(Settings{Slots: 4, Places: 4, MaxWait: time.Second, AccountShare: 0.5})
	for range 5 {
		s.acquire("above-share", 0)
	}
	id := s.acquire("short-deadline", time.Millisecond)
	require.Equal(t, ReasonDeadline, s.refused[id].Reason)
	s.release(first(s.running))
	require.Len(t, s.running, 4)
}

// Guards against an account above its share that, without a queue, takes again each slot that its own requests free,
// while an account below its share is refused because no slot is free.
func TestShareWithoutQueue(t *testing.T) {
	s := newSimulation(Settings{Slots: 4, AccountShare: 0.5})
	for range 4 {
		s.acquire("above-share", 0)
	}
	id := s.acquire("below-share", 0)
	require.Equal(t, ReasonQueueFull, s.refused[id].Reason)
	s.release(first(s.running))
	id = s.acquire("above-share", 0)
	require.Equal(t, ReasonAccountShare, s.refused[id].Reason)
	require.Contains(t, s.running, s.acquire("below-share", 0))
	s.now = s.now.Add(2 * contentionWindow)
	s.release(first(s.running))
	require.Contains(t, s.running, s.acquire("above-share", 0), "an account may exceed its share when no other account was refused recently")
}

// Guards against a limit that stays at the announced slots although the target can run fewer requests at once, and a
// limit that never rises again.
func TestLimitAdaptsToLatency(t *testing.T) {
	var l adaptiveLimit
	l.resize(8)
	serve := func(workers int) {
		for i := range 400 {
			n := 1 + i%l.value()
			l.observe(time.Duration(max(1, float64(n)/float64(workers))*float64(50*time.Millisecond)), n)
		}
	}
	serve(8)
	require.Equal(t, 8, l.value())
	serve(2)
	require.Less(t, l.value(), 7)
	require.GreaterOrEqual(t, l.value(), 1)
	serve(8)
	require.Equal(t, 8, l.value())
}

// Guards against losing slots, or admitting too many requests, when callers acquire, cancel and release concurrently.
func TestLimiterUnderConcurrentCallers(t *testing.T) {
	l := New(Config{Settings: Settings{Slots: 3, Places: 3, MaxWait: 5 * time.Millisecond, AccountShare: 0.5}})
	var inFlight, admitted atomic.Int64
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for n := range 200 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(n%7)*time.Millisecond)
				permit, err := l.Acquire(ctx, Request{Account: fmt.Sprint(i % 4)})
				cancel()
				if err != nil {
					var refused *RefusedError
					if !errors.As(err, &refused) && !errors.Is(err, context.DeadlineExceeded) {
						t.Errorf("unexpected error: %v", err)
					}
					continue
				}
				if inFlight.Add(1) > 3 {
					t.Error("more requests than slots")
				}
				admitted.Add(1)
				time.Sleep(200 * time.Microsecond)
				inFlight.Add(-1)
				permit.Release(Result{OK: true})
				permit.Release(Result{OK: true})
			}
		})
	}
	wg.Wait()
	require.Positive(t, admitted.Load())
	require.Equal(t, 0, l.Load().InFlight)
	require.Equal(t, 0, l.Load().Waiting)
	require.Empty(t, l.waiting)
}

func BenchmarkRefusal(b *testing.B) {
	l := New(Config{Settings: Settings{Slots: 7, Places: 7, MaxWait: 0}})
	for range 7 {
		_, _ = l.Acquire(b.Context(), Request{Account: "holder"})
	}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, _ = l.Acquire(context.Background(), Request{Account: "refused"})
		}
	})
}
