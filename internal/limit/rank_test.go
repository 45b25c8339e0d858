package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var rankStart = time.Unix(1000, 0)

// newBusyModule returns a module whose two slots are taken, with requests that take about 100 ms.
func newBusyModule() *Module {
	m := NewModule(Settings{Slots: 2, Places: 12, MaxWait: time.Minute, DeepQueue: true, FixedLimit: true})
	for id := range uint64(2) {
		m.Update(AcquireMsg{Now: rankStart, ID: id})
	}
	return m
}

func granted(cmds []Cmd) []uint64 {
	var ids []uint64
	for _, c := range cmds {
		if g, ok := c.(GrantCmd); ok {
			ids = append(ids, g.ID)
		}
	}
	return ids
}

func acquireWithPatience(id uint64, rank int, patience time.Duration) AcquireMsg {
	return AcquireMsg{Now: rankStart, ID: id, Request: Request{Rank: rank, Patience: patience, HasPatience: true}}
}

// More requests than slots arrive, some of them calls of requests that hold slots elsewhere. Guards against calls that
// start after ordinary requests, and against requests that can meet their objective but start after those that can't.
func TestWaitersStartByObjectiveAndRank(t *testing.T) {
	m := newBusyModule()
	late := acquireWithPatience(10, 0, time.Minute)
	late.Objective = rankStart.Add(50 * time.Millisecond)
	inTime := acquireWithPatience(13, 2, time.Minute)
	inTime.Objective = rankStart.Add(time.Minute)
	for _, msg := range []AcquireMsg{
		late, acquireWithPatience(11, 2, time.Minute), acquireWithPatience(12, 1, time.Minute), inTime,
		acquireWithPatience(14, -1, time.Minute),
	} {
		require.Empty(t, granted(m.Update(msg)))
	}
	var order []uint64
	running := uint64(0)
	for range 5 {
		next := granted(m.Update(ReleaseMsg{Now: rankStart, ID: running, Result: Result{OK: false}}))
		require.Len(t, next, 1)
		running = next[0]
		order = append(order, running)
	}
	require.Equal(t, []uint64{14, 12, 11, 13, 10}, order)
}

// Urgent requests hold most slots. Guards against less urgent requests that wait until their deadline for slots that go
// to others, and against short requests that are refused because other routes take long.
func TestExpectedWaitCountsRanksAndRoutes(t *testing.T) {
	m := NewModule(Settings{Slots: 2, Places: 12, MaxWait: time.Minute, DeepQueue: true, FixedLimit: true})
	now, id := rankStart, uint64(100)
	run := func(route string, rank int, took time.Duration) {
		for range 40 {
			for i := range uint64(2) {
				m.Update(AcquireMsg{Now: now, ID: id + i, Request: Request{Rank: rank, Route: route}})
			}
			now = now.Add(took)
			// Requests that arrive at any time sample the slots in use.
			for i := range uint64(4) {
				m.Update(AcquireMsg{Now: now, ID: id + 2 + i, Request: Request{Rank: 5, HasPatience: true}})
			}
			for i := range uint64(2) {
				m.Update(ReleaseMsg{Now: now, ID: id + i, Result: Result{OK: true}})
			}
			id += 6
		}
	}
	run("short", 1, 100*time.Millisecond)
	run("long", 1, time.Second)
	for i := range uint64(2) {
		m.Update(AcquireMsg{Now: now, ID: i, Request: Request{Rank: 1, Route: "long"}})
	}
	ask := func(route string, rank int, deadline time.Duration) Cmd {
		id++
		cmds := m.Update(AcquireMsg{Now: now, ID: id, Request: Request{
			Rank: rank, Route: route, HasPatience: true, Patience: time.Minute, Deadline: now.Add(deadline),
		}})
		m.Update(CancelMsg{Now: now, ID: id})
		return cmds[0]
	}
	require.IsType(t, WaitCmd{}, ask("short", 1, 900*time.Millisecond), "it needs 0.5 s for a slot and 0.1 s to run")
	require.Equal(t, ReasonDeadline, ask("long", 1, 900*time.Millisecond).(RefuseCmd).Reason)
	require.IsType(t, WaitCmd{}, ask("short", 0, 900*time.Millisecond))
	refused, ok := ask("short", 2, 900*time.Millisecond).(RefuseCmd)
	require.True(t, ok, "slots go to urgent requests first")
	require.Greater(t, refused.RetryAfter, time.Second)
}

// A small service serves many short calls beside a few long uploads, and calls queue. Guards against refusing calls
// with seconds left because the wait behind short requests was computed as if behind long ones.
func TestWaitBehindShortCallsIsShort(t *testing.T) {
	const call, upload, slots = 160 * time.Millisecond, 780 * time.Millisecond, 8
	m := NewModule(Settings{Slots: slots, Places: 6 * slots, MaxWait: time.Minute, DeepQueue: true, FixedLimit: true})
	now, id := rankStart, uint64(0)
	for range 20 {
		for route, took := range map[string]time.Duration{"call": call, "upload": upload} {
			id++
			m.Update(AcquireMsg{Now: now, ID: id, Request: Request{Route: route}})
			now = now.Add(took)
			m.Update(ReleaseMsg{Now: now, ID: id, Result: Result{OK: true}})
		}
	}
	for i := range slots {
		id++
		route := "call"
		if i%4 == 0 {
			route = "upload"
		}
		m.Update(AcquireMsg{Now: now, ID: id, Request: Request{Route: route}})
	}
	ask := func() Cmd {
		id++
		return m.Update(AcquireMsg{Now: now, ID: id, Request: Request{
			Rank: -1, Route: "call", HasPatience: true, Patience: 2 * time.Second, Deadline: now.Add(2 * time.Second),
		}})[0]
	}
	for waiting := range 40 { // 40 calls are 0.8 s of work for the slots.
		require.IsType(t, WaitCmd{}, ask(), "with %d calls ahead", waiting)
	}
}

// Uploads that may wait for half a minute fill the queue of a small service when calls of running requests arrive.
// Guards against refusing these calls for lack of queue places although the queued requests start after them.
func TestCallsDisplaceLessUrgentRequests(t *testing.T) {
	m := newBusyModule()
	for id := uint64(10); id < 22; id++ {
		require.IsType(t, WaitCmd{}, m.Update(acquireWithPatience(id, 1, time.Minute))[0])
	}
	require.IsType(t, RefuseCmd{}, m.Update(acquireWithPatience(30, 1, time.Minute))[0],
		"the queue is full for requests of the same rank")
	cmds := m.Update(acquireWithPatience(31, -1, time.Minute))
	require.Len(t, cmds, 2)
	require.Equal(t, uint64(21), cmds[0].(RefuseCmd).ID, "the latest one is displaced")
	require.Equal(t, uint64(31), cmds[1].(WaitCmd).ID)
	require.Equal(t, []uint64{31}, granted(m.Update(ReleaseMsg{Now: rankStart, ID: 0, Result: Result{OK: true}})))
}

// A request accepts only a free slot. Guards against queueing it all the same, and against requests that wait beyond
// their patience.
func TestPatienceBoundsTheWait(t *testing.T) {
	m := newBusyModule()
	cmds := m.Update(acquireWithPatience(10, 1, 0))
	require.IsType(t, RefuseCmd{}, cmds[0])
	require.Equal(t, ReasonQueueFull, cmds[0].(RefuseCmd).Reason)
	require.Positive(t, cmds[0].(RefuseCmd).RetryAfter, "the edge is told how long the wait would be")
	require.IsType(t, WaitCmd{}, m.Update(acquireWithPatience(11, 1, 300*time.Millisecond))[0])
	cmds = m.Update(TickMsg{Now: rankStart.Add(301 * time.Millisecond)})
	require.Equal(t, []Cmd{RefuseCmd{ID: 11, Reason: ReasonWaitTimeout, RetryAfter: cmds[0].(RefuseCmd).RetryAfter}}, cmds)
}

// A target becomes unhealthy while requests wait for it. Guards against keeping them until they expire although other
// targets could serve them.
func TestRefuseWaitingRefusesAllWaiters(t *testing.T) {
	m := newBusyModule()
	for id := uint64(10); id < 15; id++ {
		m.Update(acquireWithPatience(id, 1, time.Minute))
	}
	cmds := m.Update(RefuseWaitingMsg{Now: rankStart})
	require.Len(t, cmds, 5)
	for _, c := range cmds {
		require.Equal(t, ReasonUnhealthy, c.(RefuseCmd).Reason)
	}
	require.Zero(t, m.Load().Waiting)
	require.Equal(t, 2, m.Load().InFlight)
}

// More work than slots arrives for seconds. Guards against queues so long that requests are refused only at their
// deadline, against slots that stay idle meanwhile, and against serving requests late that could have been refused at
// once.
func TestOverloadIsRefusedEarly(t *testing.T) {
	const (
		slots     = 7
		work      = 800 * time.Millisecond
		objective = 2500 * time.Millisecond
		deadline  = 4 * time.Second
		arrivals  = 25 * time.Millisecond // 40 a second, where 8.75 can be served.
	)
	m := NewModule(Settings{Slots: slots, Places: 6 * slots, MaxWait: time.Minute, DeepQueue: true, FixedLimit: true})
	now, began := rankStart, map[uint64]time.Time{}
	ends := map[uint64]time.Time{}
	inTime, late, held := 0, 0, 0
	note := func(cmds []Cmd) {
		for _, c := range cmds {
			switch c := c.(type) {
			case GrantCmd:
				ends[c.ID] = now.Add(work)
			case RefuseCmd:
				if now.Sub(began[c.ID]) > objective/2 {
					held++
				}
			}
		}
	}
	total := 1200
	for id := range uint64(total) {
		now = now.Add(arrivals)
		for done, end := range ends {
			if !end.After(now) {
				delete(ends, done)
				if now.Sub(began[done]) <= objective {
					inTime++
				} else {
					late++
				}
				note(m.Update(ReleaseMsg{Now: now, ID: done, Result: Result{OK: true}}))
			}
		}
		began[id] = now
		note(m.Update(AcquireMsg{Now: now, ID: id, Request: Request{
			Rank: 2, Route: "work", HasPatience: true, Patience: deadline, Deadline: now.Add(deadline),
			Objective: now.Add(objective),
		}}))
	}
	capacity := float64(total) * arrivals.Seconds() / work.Seconds() * slots
	require.Greater(t, float64(inTime), 0.9*capacity, "%d late, %d held", late, held)
	require.Less(t, float64(held), 0.05*float64(total))
}

// A target hangs. Guards against queueing behind requests that don't end, which happens when the wait is estimated from
// the short requests before them.
func TestHungTargetHasLongWaits(t *testing.T) {
	m := newBusyModule()
	refused := m.Update(acquireWithPatience(10, 1, 0))[0].(RefuseCmd)
	require.Less(t, refused.RetryAfter, time.Second)
	msg := acquireWithPatience(11, 1, 0)
	msg.Now = rankStart.Add(5 * time.Second)
	refused = m.Update(msg)[0].(RefuseCmd)
	require.GreaterOrEqual(t, refused.RetryAfter, 2500*time.Millisecond)
}

// Pattern: orders wait at a target whose runs take up to twice their usual time. Guards against starting an order whose
// deadline then cuts it, which leaves its caller without knowing whether it ran, and against refusing reads that early.
func TestOrderStartsWithTimeToFinish(t *testing.T) {
	for name, c := range map[string]struct {
		once    bool
		expires time.Duration
	}{"order": {true, 800 * time.Millisecond}, "read": {false, 900 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			m := newBusyModule()
			msg := acquireWithPatience(10, 1, time.Minute)
			msg.Deadline, msg.RunsOnce = rankStart.Add(time.Second), c.once
			cmds := m.Update(msg)
			require.IsType(t, WaitCmd{}, cmds[0])
			require.Equal(t, rankStart.Add(c.expires), cmds[0].(WaitCmd).Until, "requests take 100 ms")
		})
	}
}
