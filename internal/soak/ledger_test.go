package soak

import (
	"fmt"
	"sync"
	"time"
)

// ledger records the requests that callers sent, the statuses that they got, and the requests that targets received and
// ran.
type ledger struct {
	mu       sync.Mutex
	runs     map[string]int
	statuses map[string]int
	orders   map[string]bool
	arrivals map[string][]arrival
	sent     map[string][]time.Time
	seen     map[string]bool
}

type arrival struct {
	at    time.Time
	retry bool
}

func newLedger() *ledger {
	return &ledger{
		runs: make(map[string]int), statuses: make(map[string]int), orders: make(map[string]bool), arrivals: make(map[string][]arrival),
		sent: make(map[string][]time.Time), seen: make(map[string]bool),
	}
}

func (l *ledger) requestArrived(service, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[service] = append(l.arrivals[service], arrival{at: time.Now(), retry: l.seen[id]})
	l.seen[id] = true
}

func (l *ledger) requestRan(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *ledger) requestSent(service, id string, order bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders[id] = order
	l.sent[service] = append(l.sent[service], time.Now())
}

func (l *ledger) responseReceived(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[id] = status
}

// check returns the violated guarantees: orders that ran twice, orders that were refused but ran, and retries beyond
// the budget.
func (l *ledger) check() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var violations []string
	for id, order := range l.orders {
		if !order {
			continue
		}
		if l.runs[id] > 1 {
			violations = append(violations, fmt.Sprintf("order %s ran %d times", id, l.runs[id]))
		}
		if status := l.statuses[id]; l.runs[id] > 0 && (status == 503 || status == 429 || status == 408 || status == 421) {
			violations = append(violations, fmt.Sprintf("order %s was refused with status %d but ran", id, status))
		}
	}
	for service, arrivals := range l.arrivals {
		violations = append(violations, l.checkBudget(service, arrivals)...)
	}
	return violations
}

func (l *ledger) checkBudget(service string, arrivals []arrival) []string {
	for i := range arrivals {
		begin, end := arrivals[i].at, arrivals[i].at.Add(retryWindow)
		retries, requests := 0, 0
		for _, a := range arrivals[i:] {
			if a.at.Before(end) && a.retry {
				retries++
			}
		}
		for _, at := range l.sent[service] {
			if !at.Before(begin) && at.Before(end) {
				requests++
			}
		}
		if float64(retries) > retryRatio*float64(requests)+retryExtra {
			return []string{fmt.Sprintf("targets of %s got %d retries for %d requests within the retry budget window", service, retries, requests)}
		}
	}
	return nil
}
