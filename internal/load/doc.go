// Package load sends operations of callers to a running deployment and checks every answer against what the targets ran.
//
// Usage:
//
//	runner := load.New(load.Config{Fleet: fleet, Callers: 24, Pause: 20 * time.Millisecond})
//	runner.Run(ctx) // until the context ends and every operation has its final answer
//	runs, err := load.CollectRuns(ctx, fleet)
//	report := load.Check(fleet.Plan, runner.Operations(), runs)
package load
