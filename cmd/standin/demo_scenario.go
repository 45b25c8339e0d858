package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/load"
	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/internal/timer"
)

// errContradicted reports that the records of the targets contradict a response.
var errContradicted = errors.New("a response was wrong or incomplete, or an operation ran twice; see the report and the logs")

// runScenario kills one target and stalls another under load, and then verifies every response.
func runScenario(ctx context.Context, fleet *procs.Fleet, duration time.Duration) error {
	killed, stalled := 0, len(fleet.Targets)/2
	runner := load.New(load.Config{Fleet: fleet})
	loadContext, stop := context.WithTimeout(ctx, duration)
	defer stop()
	var callers conc.WaitGroup
	callers.Go(func() { runner.Run(loadContext) })
	if !timer.Sleep(ctx, duration/4) {
		return ctx.Err()
	}
	fmt.Printf("%s: killing target %s\n", fleet.Plan.Name, fleet.Targets[killed].Name)
	if err := fleet.Targets[killed].Kill(); err != nil {
		return err
	}
	if !timer.Sleep(ctx, duration/4) {
		return ctx.Err()
	}
	fmt.Printf("%s: stalling target %s; it still answers probes\n", fleet.Plan.Name, fleet.Targets[stalled].Name)
	if err := load.SetFault(ctx, fleet.Plan.Targets[stalled], load.Fault{Stall: true}); err != nil {
		return err
	}
	callers.Wait()
	runs, err := load.CollectRuns(ctx, fleet)
	if err != nil {
		return err
	}
	report := load.Check(fleet.Plan, runner.Operations(), runs)
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	if len(report.Contradicted) > 0 {
		return errContradicted
	}
	return nil
}
