package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/load"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// recoveryWindow is the time during which a recovered service must answer every operation as done.
const recoveryWindow = 2 * time.Second

// recover checks that each service answers every operation within the stated time after the last fault.
func (s *soak) recover(ctx context.Context, healed time.Time) {
	if !until(ctx, s.command.Recovery, func() bool { return s.fleet.WaitReady(ctx) == nil }) {
		s.findings.add("recovery", "the nodes do not see all targets within %s", s.command.Recovery)
		return
	}
	s.findings.logf("all nodes see all targets %s after the last fault", time.Since(healed).Round(time.Millisecond))
	var services sync.WaitGroup
	for i, spec := range s.fleet.Plan.Ticket.Services {
		services.Go(func() { s.recoverService(ctx, healed, i, spec.Name) })
	}
	services.Wait()
}

func (s *soak) recoverService(ctx context.Context, healed time.Time, index int, service string) {
	failed := 0
	for n := 0; time.Since(healed) < s.command.Recovery+recoveryWindow && ctx.Err() == nil; n++ {
		prefix := fmt.Sprintf("recovery-%d-%d", index, n)
		var total int
		if total, failed = s.sample(ctx, prefix, service); total > 0 && failed == 0 {
			s.findings.logf("%s: %d operations done at the first send; recovered within %s", service, total,
				(time.Since(healed) - recoveryWindow).Round(time.Millisecond))
			return
		}
	}
	s.findings.add("recovery", "%s has not recovered within %s: %d operations failed in the last %s", service,
		s.command.Recovery, failed, recoveryWindow)
}

// sample returns the operations of a short run and how many of them were not done at their first send.
func (s *soak) sample(ctx context.Context, prefix, service string) (total, failed int) {
	runner := load.New(load.Config{Fleet: s.fleet, Callers: 4, Prefix: prefix, Services: []string{service}, MaxSends: 1})
	ctx, stop := context.WithTimeout(ctx, recoveryWindow)
	defer stop()
	runner.Run(ctx)
	for _, op := range runner.Operations() {
		total++
		if op.Outcome != model.OutcomeDone || op.Status >= 500 || op.ResponseError != "" {
			failed++
		}
	}
	return total, failed
}
