package limit

import (
	"slices"
	"time"
)

// activate lets an account without waiting requests take turns from now on. It gains nothing from turns that it left out.
func (m *Module) activate(a *account) {
	if len(a.waiters) == 0 {
		a.used = max(a.used, m.turn)
	}
}

// chargeTurn counts the usual duration of a granted request as time that its account has used.
func (m *Module) chargeTurn(w *waiter) {
	m.turn = max(m.turn, w.account.used)
	w.account.used += m.durationOf(w.route)
}

// nextInTurn removes and returns the waiter that starts next: the most urgent one, among equally urgent ones one of the
// account that has used the least time, and of this account the earliest one.
func (m *Module) nextInTurn() *waiter {
	var next *waiter
	for _, a := range m.queue.ring {
		first := slices.MinFunc(a.waiters, m.compareUrgency)
		if next == nil || m.startsBefore(first, next) || !m.startsBefore(next, first) && a.used < next.account.used {
			next = first
		}
	}
	return m.queue.remove(next.id)
}

// compareUrgency orders waiters like startsBefore.
func (m *Module) compareUrgency(a, b *waiter) int {
	switch {
	case m.startsBefore(a, b):
		return -1
	case m.startsBefore(b, a):
		return 1
	default:
		return 0
	}
}

// turnOf returns the time that the account will have used when its next request of the rank starts.
func (m *Module) turnOf(a *account, rank int) time.Duration {
	turn := a.used
	if len(a.waiters) == 0 {
		turn = max(turn, m.turn)
	}
	for _, w := range a.waiters {
		if w.rank == rank {
			turn += m.durationOf(w.route)
		}
	}
	return turn
}

// aheadInTurn returns the waiters that start before the next request of the account and rank.
func (m *Module) aheadInTurn(a *account, rank int) []*waiter {
	turn := m.turnOf(a, rank)
	var ahead []*waiter
	for _, other := range m.queue.ring {
		used := other.used
		for _, w := range other.waiters {
			switch {
			case w.rank < rank:
				ahead = append(ahead, w)
			case w.rank == rank:
				if other == a || used <= turn {
					ahead = append(ahead, w)
				}
				used += m.durationOf(w.route)
			}
		}
	}
	return ahead
}

// lastInTurn returns the waiter that starts last, if that is after the next request of the account and rank, or nil.
func (m *Module) lastInTurn(a *account, rank int) *waiter {
	var last *waiter
	lastRank, lastTurn := rank, m.turnOf(a, rank)
	for _, other := range m.queue.ring {
		used := make(map[int]time.Duration, 1)
		for _, w := range other.waiters {
			turn := other.used + used[w.rank]
			used[w.rank] += m.durationOf(w.route)
			later := w.rank > lastRank || w.rank == lastRank && (turn > lastTurn || last != nil && turn == lastTurn)
			if later {
				last, lastRank, lastTurn = w, w.rank, turn
			}
		}
	}
	return last
}

// updateAccountShares updates the share of the slots that each account holds.
func (m *Module) updateAccountShares() {
	for _, a := range m.accounts {
		a.share -= shareGain * a.share
	}
	for _, r := range m.running {
		r.account.share += shareGain / float64(m.limit.value())
	}
}

// ownWait estimates how long an account waits for its own requests ahead of the next one: more requests of other accounts
// will come and have turns meanwhile, in the share of the slots that they usually hold, but the account gets at least an
// equal share.
func (m *Module) ownWait(a *account, rank int) time.Duration {
	own := m.work(upToRank(a.waiters, rank))
	if own == 0 {
		return 0
	}
	_, slowdown := m.runningDuration()
	share := min(1, max(a.share, 1/float64(len(m.accounts))))
	return m.shareWait(time.Duration(slowdown*float64(own)/float64(m.limit.value())/share), rank)
}

// overruns reports whether the requests of the account ahead of the next one make it miss its objective, while others compete
// for the slots: each of them that comes later and is not late starts before it.
func (m *Module) overruns(msg AcquireMsg, own time.Duration) bool {
	return own > 0 && len(m.accounts) > 1 && !msg.Objective.IsZero() && m.now.Add(own+m.durationOf(msg.Route)).After(msg.Objective)
}
