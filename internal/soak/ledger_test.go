package soak

import (
	"fmt"
	"sync"
	"time"
)

// ledger keeps what callers were told and what targets ran.
type ledger struct {
	mu       sync.Mutex
	runs     map[string]int
	told     map[string]int
	orders   map[string]bool
	arrivals map[string][]arrival
	sent     map[string][]time.Time
	seen     map[string]bool
}

type arrival struct {
	at     time.Time
	repeat bool
}

func newLedger() *ledger {
	return &ledger{
		runs: make(map[string]int), told: make(map[string]int), orders: make(map[string]bool), arrivals: make(map[string][]arrival),
		sent: make(map[string][]time.Time), seen: make(map[string]bool),
	}
}

func (l *ledger) arrived(service, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[service] = append(l.arrivals[service], arrival{at: time.Now(), repeat: l.seen[id]})
	l.seen[id] = true
}

func (l *ledger) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *ledger) send(service, id string, order bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders[id] = order
	l.sent[service] = append(l.sent[service], time.Now())
}

func (l *ledger) answer(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[id] = status
}

// check returns the broken promises: orders that ran twice, refusals that are not true, and repeats beyond the budget.
func (l *ledger) check() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var broken []string
	for id, order := range l.orders {
		if !order {
			continue
		}
		if l.runs[id] > 1 {
			broken = append(broken, fmt.Sprintf("order %s ran %d times", id, l.runs[id]))
		}
		if status := l.told[id]; l.runs[id] > 0 && (status == 503 || status == 429 || status == 408 || status == 421) {
			broken = append(broken, fmt.Sprintf("order %s was answered %d and ran", id, status))
		}
	}
	for service, arrivals := range l.arrivals {
		broken = append(broken, l.checkBudget(service, arrivals)...)
	}
	return broken
}

func (l *ledger) checkBudget(service string, arrivals []arrival) []string {
	for i := range arrivals {
		begin, end := arrivals[i].at, arrivals[i].at.Add(retryWindow)
		repeats, requests := 0, 0
		for _, a := range arrivals[i:] {
			if a.at.Before(end) && a.repeat {
				repeats++
			}
		}
		for _, at := range l.sent[service] {
			if !at.Before(begin) && at.Before(end) {
				requests++
			}
		}
		if float64(repeats) > retryRatio*float64(requests)+retryExtra {
			return []string{fmt.Sprintf("%s took %d repeats for %d requests in a window", service, repeats, requests)}
		}
	}
	return nil
}
