// Package load generates load against a running deployment and checks every response against the records of the targets.
//
// Usage:
//
//	runner := load.New(load.Config{Fleet: fleet, Callers: 24, Pause: 20 * time.Millisecond})
//	runner.Run(ctx) // until the context ends and every operation has its final outcome
//	runs, err := load.CollectRuns(ctx, fleet)
//	report := load.Check(fleet.Plan, runner.Operations(), runs)
package load
