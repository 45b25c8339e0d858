package limit

import "time"

// waiter is a request in the queue.
type waiter struct {
	id      uint64
	account *account
	expires time.Time
	rank    int
	route   string
	// objective is when the response has lost most of its value.
	objective time.Time
}

// account tracks the slots and queue places of one client account.
type account struct {
	name     string
	inFlight int
	waiters  []*waiter
	// used is the time that its requests have used, by the usual durations, on the clock of Module.turn.
	used time.Duration
	// share is the moving average of the share of the slots that it holds.
	share float64
}

// held is the number of slots and queue places that the account uses.
func (a *account) held() int { return a.inFlight + len(a.waiters) }

// queue serves the waiting accounts round robin, and the requests of one account in order of arrival unless before
// ranks them otherwise.
type queue struct {
	ring []*account
	byID map[uint64]*waiter
}

func (q *queue) len() int { return len(q.byID) }

func (q *queue) push(w *waiter) {
	if len(w.account.waiters) == 0 {
		q.ring = append(q.ring, w.account)
	}
	w.account.waiters = append(w.account.waiters, w)
	q.byID[w.id] = w
}

// next removes and returns the first waiter, by before, of the next account that is allowed to start a request, or nil.
func (q *queue) next(allowed func(*account) bool, before func(a, b *waiter) bool) *waiter {
	for i, a := range q.ring {
		if allowed(a) {
			first := 0
			for j := range a.waiters {
				if before(a.waiters[j], a.waiters[first]) {
					first = j
				}
			}
			w := a.waiters[first]
			q.ring = append(q.ring[:i:i], q.ring[i+1:]...)
			a.waiters = append(a.waiters[:first:first], a.waiters[first+1:]...)
			if len(a.waiters) > 0 {
				q.ring = append(q.ring, a)
			}
			delete(q.byID, w.id)
			return w
		}
	}
	return nil
}

func (q *queue) remove(id uint64) *waiter {
	w := q.byID[id]
	if w == nil {
		return nil
	}
	delete(q.byID, id)
	a := w.account
	for i, other := range a.waiters {
		if other == w {
			a.waiters = append(a.waiters[:i:i], a.waiters[i+1:]...)
			break
		}
	}
	if len(a.waiters) == 0 {
		q.dropAccount(a)
	}
	return w
}

func (q *queue) dropAccount(a *account) {
	for i, other := range q.ring {
		if other == a {
			q.ring = append(q.ring[:i:i], q.ring[i+1:]...)
			return
		}
	}
}

// all returns the waiters in order of the accounts' turns.
func (q *queue) all() []*waiter {
	var list []*waiter
	for _, a := range q.ring {
		list = append(list, a.waiters...)
	}
	return list
}

// expired returns the waiters that have expired, in order of the accounts' turns.
func (q *queue) expired(now time.Time) []*waiter {
	var list []*waiter
	for _, a := range q.ring {
		for _, w := range a.waiters {
			if !now.Before(w.expires) {
				list = append(list, w)
			}
		}
	}
	return list
}
