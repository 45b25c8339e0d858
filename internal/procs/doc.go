// Package procs runs a complete deployment as separate processes on loopback addresses, for the demo, benchmarks
// and tests.
//
// Usage:
//
//	plan, err := procs.LoadPlan("examples/instituto", procs.PlanConfig{Programs: "bin", Directory: dir, Network: 31})
//	fleet, err := procs.Start(ctx, plan)
//	defer fleet.Close()
//	err = fleet.Targets[3].Kill()
package procs
