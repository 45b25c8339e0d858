package spill

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const objective = 1500 * time.Millisecond

func call(now time.Time, wait time.Duration) Request {
	return Request{Now: now, Tier: Remote, Bytes: 3 << 10, Objective: objective, Queue: true, Wait: wait}
}

func download(now time.Time, wait time.Duration) Request {
	r := call(now, wait)
	r.Bytes = 90 << 10
	return r
}

// send decides about the request as a node does, and returns whether it leaves.
func send(m *Module, r Request) bool {
	reason := m.Decide(r)
	if m.Gains(r) {
		m.Update(ShortMsg{Now: r.Now})
	}
	if reason == Stays {
		return false
	}
	m.Update(LeftMsg{Now: r.Now, Bytes: r.Bytes})
	return true
}

// The own domain is full while others have room. Guards against a request that is held back although it would miss its
// objective, whatever left before it.
func TestNoRequestWithoutRoomIsHeldBack(t *testing.T) {
	m := New(testStart)
	for range 1000 {
		require.Equal(t, NoRoom, m.Decide(download(testStart, objective)))
		none := download(testStart, 0)
		none.Queue = false
		require.Equal(t, NoTarget, m.Decide(none))
		m.Update(LeftMsg{Now: testStart, Bytes: 90 << 10})
	}
}

// Large downloads and small calls find the same wait. Guards against bytes between regions that save a caller little, and
// against a call that waits although a round trip costs less.
func TestSmallCallsLeaveBeforeLargeDownloads(t *testing.T) {
	m := New(testStart)
	require.Equal(t, ShorterWait, m.Decide(call(testStart, 300*time.Millisecond)))
	require.Equal(t, Stays, m.Decide(download(testStart, 300*time.Millisecond)))
	near := download(testStart, 700*time.Millisecond)
	near.Tier = Region
	require.Equal(t, ShorterWait, m.Decide(near), "within the region, bytes cost less")
	require.Equal(t, NoRoom, m.Decide(download(testStart, 800*time.Millisecond)), "callers go before bytes")
}

// The own domain is short of room for two seconds, and then has room again. Guards against nodes that all move their load to
// others at the same moment, and against load that stays away afterwards.
func TestLeavingRisesWithTheShortageAndEnds(t *testing.T) {
	m, now := New(testStart), testStart
	var left [2]int
	for step := range 200 {
		now = now.Add(10 * time.Millisecond)
		for range 20 {
			if send(m, call(now, 400*time.Millisecond)) {
				left[step/100]++
			}
		}
	}
	require.Less(t, left[0], 200, "at first less than a tenth of the requests")
	require.Greater(t, left[1], left[0])
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		m.Update(RoomMsg{Now: now})
	}
	require.InDelta(t, minRate, m.budget.rate, 1)
	require.Equal(t, Stays, m.Decide(call(now, 170*time.Millisecond)), "a small gain does not make requests leave again")
}

// Demand swings so that the wait crosses the cost of leaving all the time. Guards against a node that changes its mind with each
// request.
func TestDecisionDoesNotFlap(t *testing.T) {
	m, now := New(testStart), testStart
	changes, last := 0, false
	for step := range 400 {
		now = now.Add(25 * time.Millisecond)
		wait := 150 * time.Millisecond // The cost is 145 ms.
		if step%2 == 0 {
			wait = 170 * time.Millisecond
		}
		gains := m.Gains(call(now, wait))
		if gains {
			m.Update(ShortMsg{Now: now})
		}
		if gains != last {
			changes++
		}
		last = gains
	}
	require.LessOrEqual(t, changes, 2)
}

// The link between two regions has a queue. Guards against more bytes on a link that is saturated, and against avoiding it once
// it has room again.
func TestSaturatedLinkCostsMore(t *testing.T) {
	m, now := New(testStart), testStart
	reply := func(roundTrip time.Duration) {
		for range 40 {
			m.Update(ReplyMsg{Now: now, Tier: Remote, Admitted: true, RoundTrip: roundTrip})
		}
	}
	reply(25 * time.Millisecond)
	free := m.Cost(Remote, 3<<10, objective)
	reply(100 * time.Millisecond)
	require.Greater(t, m.Cost(Remote, 3<<10, objective), 2*free)
	require.LessOrEqual(t, m.Cost(Remote, 90<<10, objective), objective/4, "a caller does not pay more than that")
	require.Equal(t, Stays, m.Decide(call(now, 400*time.Millisecond)))
	reply(25 * time.Millisecond)
	require.Equal(t, ShorterWait, m.Decide(call(now, 400*time.Millisecond)))
}

// All domains are full. Guards against requests that ask agents of other regions in vain to save a short wait, and against
// a domain that is not asked again.
func TestFullTierCostsTheSearch(t *testing.T) {
	m, now := New(testStart), testStart
	wait := call(now, 250*time.Millisecond)
	require.Equal(t, ShorterWait, m.Decide(wait))
	for range 20 {
		m.Update(ReplyMsg{Now: now, Tier: Remote, RoundTrip: 25 * time.Millisecond})
	}
	require.Equal(t, Stays, m.Decide(wait))
	wait.Now = now.Add(4 * time.Second)
	require.Equal(t, ShorterWait, m.Decide(wait))
}
