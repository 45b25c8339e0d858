package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/auburnwinch/auburnwinch/internal/procs"
)

const (
	// inForceBound is the time from an acceptance until the ticket is in force on every live node.
	inForceBound = 6 * time.Second
	// soakCommandTimeout is longer than an operator's command waits.
	soakCommandTimeout = 40 * time.Second
	racingOperators    = 2
)

// ticketRaces files tickets by racing operators and checks that they come into force.
type ticketRaces struct {
	fleet    *procs.Fleet
	watch    *soakWatch
	findings *findings
	mu       sync.Mutex
	number   uint64
	accepted []acceptance
	checks   sync.WaitGroup
}

type acceptance struct {
	number uint64
	author string
	at     time.Time
}

func newTickets(fleet *procs.Fleet, w *soakWatch, f *findings) *ticketRaces {
	return &ticketRaces{fleet: fleet, watch: w, findings: f, number: fleet.Plan.Ticket.Number}
}

// race lets operators file different tickets under the next number, and each file its own once more.
func (t *ticketRaces) race(ctx context.Context) error {
	t.mu.Lock()
	number := t.number + 1
	t.mu.Unlock()
	outcomes := make([]string, racingOperators)
	times := make([]time.Time, racingOperators)
	var operators sync.WaitGroup
	for i := range racingOperators {
		operators.Go(func() { outcomes[i], times[i] = t.file(ctx, number, i) })
	}
	operators.Wait()
	winners := 0
	for i, outcome := range outcomes {
		if outcome != "accepted" {
			continue
		}
		winners++
		a := acceptance{number: number, author: fmt.Sprint("operator ", i), at: times[i]}
		t.mu.Lock()
		t.number = number
		t.accepted = append(t.accepted, a)
		t.mu.Unlock()
		t.checks.Go(func() { t.checkInForce(ctx, a) })
	}
	if winners > 1 {
		t.findings.add("ticket", "%d operators were told that their ticket %d is accepted", winners, number)
	}
	t.findings.logf("ticket %d: %s", number, strings.Join(outcomes, ", "))
	if winners == 0 {
		return t.catchUp(ctx, number)
	}
	return nil
}

// file files the ticket of one operator; an operator that got no answer files the same ticket again.
func (t *ticketRaces) file(ctx context.Context, number uint64, operator int) (string, time.Time) {
	path := filepath.Join(t.fleet.Plan.Directory, fmt.Sprintf("filed-%d-%d.yaml", number, operator))
	next := t.fleet.Plan.Ticket
	next.Number, next.Author = number, fmt.Sprint("operator ", operator)
	data, err := yaml.Marshal(next)
	if err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err != nil {
		t.findings.add("harness", "ticket %d can't be written: %v", number, err)
		return "error", time.Time{}
	}
	for range 2 {
		ctx, cancel := context.WithTimeout(ctx, soakCommandTimeout)
		output, err := t.fleet.FileTicket(ctx, path)
		cancel()
		switch {
		case err == nil:
			return "accepted", time.Now()
		case strings.Contains(output, "conflict"), strings.Contains(output, "accepted"):
			return "conflict", time.Time{}
		}
	}
	return "no answer", time.Time{}
}

// catchUp learns whether the ticket was accepted although no operator got the answer.
func (t *ticketRaces) catchUp(ctx context.Context, number uint64) error {
	until(ctx, inForceBound, func() bool {
		for i := range t.fleet.Nodes {
			if _, ok := t.watch.reachedAt(i, number); ok {
				t.mu.Lock()
				defer t.mu.Unlock()
				t.number = max(t.number, number)
				return true
			}
		}
		return false
	})
	return nil
}

// checkInForce checks the bound on every node that no fault touched since shortly before the acceptance.
func (t *ticketRaces) checkInForce(ctx context.Context, a acceptance) {
	pause(ctx, time.Until(a.at.Add(inForceBound+2*soakPoll)))
	worst := time.Duration(0)
	for i := range t.fleet.Nodes {
		if ctx.Err() != nil || !t.watch.subjects.undisturbedSince(i, a.at.Add(-inForceBound)) {
			continue
		}
		at, ok := t.watch.reachedAt(i, a.number)
		if !ok || at.Sub(a.at) > inForceBound+2*soakPoll {
			t.findings.add("ticket", "ticket %d is not in force on %s within %s of its acceptance", a.number, t.watch.name(i), inForceBound)
			continue
		}
		worst = max(worst, at.Sub(a.at))
	}
	t.findings.logf("ticket %d of %s reached the live nodes within %s", a.number, a.author, worst.Round(time.Millisecond))
}

// check waits until the last ticket is in force on every node.
func (t *ticketRaces) check(ctx context.Context) {
	t.checks.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.fleet.Nodes {
		if !until(ctx, inForceBound, func() bool {
			_, ok := t.watch.reachedAt(i, t.number)
			return ok || t.number == t.fleet.Plan.Ticket.Number
		}) {
			t.findings.add("ticket", "ticket %d is not in force on %s after the faults", t.number, t.watch.name(i))
		}
	}
}
