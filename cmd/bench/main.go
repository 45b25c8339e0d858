// Command bench runs the load and fault experiments of auburnwinch and prints their figures as Markdown tables.
//
// Usage:
//
//	bench detection --deployment instituto --runs 20 --seed 1
//	bench overload --seed 1
package main

import (
	"github.com/alecthomas/kong"
)

type commandLine struct {
	Detection detectionCmd `cmd:"" help:"Measure detection time and false ejections in simulated time."`
	Capacity  capacityCmd  `cmd:"" help:"Measure what one node computes and keeps, and work out the design size."`
	Idle      idleCmd      `cmd:"" help:"Measure what the idle nodes of a real deployment use."`
	Overhead  overheadCmd  `cmd:"" help:"Compare requests through the fleet with requests to the target."`
	Soak      soakCmd      `cmd:"" help:"Run a fleet of processes under random faults and check every invariant."`
	Overload  overloadCmd  `cmd:"" help:"Measure goodput, retries and the cost of a refusal at twice the capacity."`
	Node      nodeCmd      `cmd:"" help:"Measure one real node in a fleet of the design size."`
	// OverloadFleet is separate from Overload, which runs in simulated time.
	OverloadFleet overloadFleetCmd `cmd:"" help:"Measure a fleet of processes under loads from half to four times the capacity."`
}

func main() {
	var line commandLine
	ctx := kong.Parse(&line, kong.Name("bench"), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
