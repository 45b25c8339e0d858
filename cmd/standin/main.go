// Command standin runs stand-ins for the systems around the fleet, for tests and the demo.
package main

import (
	"github.com/alecthomas/kong"
)

type commands struct {
	Target targetCmd `cmd:"" help:"Run a target that announces itself to its node and shows faults on request."`
	Caller callerCmd `cmd:"" help:"Send requests to the fleet and check the answers."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("standin"), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
