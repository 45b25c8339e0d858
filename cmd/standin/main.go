// Command standin runs stand-ins for the external systems that the fleet works with, for tests and the demo.
//
// Usage:
//
//	standin platform --table-address 127.0.0.1:7001 --object-address 127.0.0.1:7002 --control-address 127.0.0.1:7003
//	standin target --help
package main

import "github.com/alecthomas/kong"

// cli declares the subcommands; each is defined in its own file.
type cli struct {
	Platform platformCmd `cmd:"" help:"Run a stand-in of the table service and of the object store."`
	Demo     demoCmd     `cmd:"" help:"Start both deployments, serve requests through faults, check every answer."`
	Target   targetCmd   `cmd:"" help:"Run a target that announces itself to its node and shows faults on request."`
	Caller   callerCmd   `cmd:"" help:"Send requests to the fleet and check the answers."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("standin"), kong.Description("Stand-ins of outside systems for tests and the demo."),
		kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
