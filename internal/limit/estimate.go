package limit

import "time"

const (
	// initialDuration is the assumed duration of requests until the first one has ended.
	initialDuration = 100 * time.Millisecond
	// durationGain is the weight of a new sample in the mean duration.
	durationGain = 1.0 / 32
	// maxRoutes bounds the routes whose durations are tracked.
	maxRoutes = 256
	// shareGain is the weight of a new observation in the share of the slots that each rank holds.
	shareGain = 1.0 / 32
	// minShare is the share of the slots that every rank is assumed to get, so that estimates stay finite.
	minShare = 0.1
)

// durationMean is a moving average of durations.
type durationMean struct {
	value   time.Duration
	samples int
}

func (m *durationMean) add(took time.Duration) {
	m.samples++
	m.value += time.Duration(max(durationGain, 1/float64(m.samples)) * float64(took-m.value))
}

// RateWait returns how long one more request would wait for the rate limit of the target.
func (m *Module) RateWait(now time.Time) time.Duration {
	limit := m.rate
	limit.advance(now)
	return limit.wait(m.queue.len())
}

// waitersAhead returns the waiters that start before the next one of the account. Those of accounts below their share
// come first; otherwise the accounts take turns.
func (m *Module) waitersAhead(a *account, rank int) []*waiter {
	if m.settings.FairTurns {
		return m.aheadInTurn(a, rank)
	}
	favored := m.belowShare(a)
	ahead := upToRank(a.waiters, rank)
	for _, other := range m.queue.ring {
		switch {
		case other == a, favored && !m.belowShare(other):
		case !favored && m.belowShare(other):
			ahead = append(ahead, other.waiters...)
		default:
			ahead = append(ahead, other.waiters[:min(len(a.waiters)+1, len(other.waiters))]...)
		}
	}
	return ahead
}

// upToRank returns the waiters that a request of the rank does not overtake.
func upToRank(waiters []*waiter, rank int) []*waiter {
	var list []*waiter
	for _, w := range waiters {
		if w.rank <= rank {
			list = append(list, w)
		}
	}
	return list
}

// work is the sum of the usual durations of the waiters.
func (m *Module) work(waiters []*waiter) time.Duration {
	var total time.Duration
	for _, w := range waiters {
		total += m.durationOf(w.route)
	}
	return total
}

// expectedWait estimates when a request behind this much work would start, after the running
// requests and the work ahead.
func (m *Module) expectedWait(ahead time.Duration) time.Duration {
	running, slowdown := m.runningDuration()
	return time.Duration(slowdown * float64(ahead+running) / float64(m.limit.value()))
}

// runningDuration returns the mean usual duration of the running requests, and the factor by which they have exceeded
// it by now, at least 1.
func (m *Module) runningDuration() (running time.Duration, slowdown float64) {
	if len(m.running) == 0 {
		return m.duration.value, 1
	}
	var usual, ages time.Duration
	for _, r := range m.running {
		usual += m.durationOf(r.route)
		ages += m.now.Sub(r.since)
	}
	running = usual / time.Duration(len(m.running))
	if !m.settings.FixedLimit || usual <= 0 {
		return running, 1
	}
	return running, max(1, float64(ages)/float64(usual))
}

// expectedWaitOfRank estimates when a request of the rank would start behind this much work: slots that come free go to
// lower ranks first, in the share that these usually hold.
func (m *Module) expectedWaitOfRank(ahead time.Duration, rank int) time.Duration {
	return m.shareWait(m.expectedWait(ahead), rank)
}

// slotWait estimates when a request of the rank would get a slot after the waiters ahead. Requests that wait only for the
// rate limit leave slots free.
func (m *Module) slotWait(ahead []*waiter, rank int) time.Duration {
	if m.rate.limited && m.freeSlots() > len(ahead) {
		return 0
	}
	return m.expectedWaitOfRank(m.work(ahead), rank)
}

// shareWait lengthens a wait by the share that requests of lower ranks take.
func (m *Module) shareWait(wait time.Duration, rank int) time.Duration {
	before := 0.0
	for r, share := range m.rankShares {
		if r < rank {
			before += share
		}
	}
	return time.Duration(float64(wait) / max(minShare, 1-before))
}

// updateRankShares updates the share of the slots that each rank holds.
func (m *Module) updateRankShares() {
	for rank := range m.rankShares {
		m.rankShares[rank] -= shareGain * m.rankShares[rank]
	}
	for _, r := range m.running {
		m.rankShares[r.rank] += shareGain / float64(m.limit.value())
	}
}

// durationOf returns the usual duration of requests of the route.
func (m *Module) durationOf(route string) time.Duration {
	if k := m.routeDurations[route]; k != nil && route != "" {
		return k.value
	}
	return m.duration.value
}

func (m *Module) recordDuration(route string, took time.Duration) {
	if route == "" {
		return
	}
	if m.routeDurations[route] == nil {
		if len(m.routeDurations) >= maxRoutes {
			return // Further routes use the mean of all routes.
		}
		m.routeDurations[route] = &durationMean{}
	}
	m.routeDurations[route].add(took)
}
