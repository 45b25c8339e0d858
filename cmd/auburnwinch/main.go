// Command auburnwinch runs a node of the fleet and provides the command-line tools for its operators.
//
// Usage:
//
//	auburnwinch node --settings node.yaml
//	auburnwinch hosted --settings settings.conf
//	auburnwinch explain --request 9c41d07be2a35f68 node-1.log node-2.log
//	auburnwinch state --settings node.yaml --section members
//	auburnwinch config check next.json --against in-force.json
//	auburnwinch ticket check change.yaml
//	auburnwinch ticket file change.yaml --settings node.yaml
//	auburnwinch ticket show 12 --settings node.yaml
//	auburnwinch ticket list --settings node.yaml --node 10.0.0.5:7404
//
// Exit codes: 0 success; 1 other failure; 2 invalid file, settings or arguments; 3 conflict with another accepted
// ticket, or a ticket number that does not follow the last one; 4 the platform or the node did not respond and nothing
// was accepted; 5 it is unknown whether the ticket was accepted, file it again; 6 no such ticket. `config check` has its own: 0 fine;
// 1 errors; 2 warnings only; 3 wrong arguments.
package main

import (
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// cli declares the subcommands; each is defined in its own file.
type cli struct {
	Node    nodeCmd    `cmd:"" help:"Run the node of this VM."`
	Hosted  hostedCmd  `cmd:"" help:"Run the node beside a target of a hosted platform."`
	Config  configCmd  `cmd:"" help:"Check configurations of a hosted platform."`
	Ticket  ticketCmd  `cmd:"" help:"Check, file and show tickets, the numbered configuration changes."`
	Explain explainCmd `cmd:"" help:"Tell what happened to a request, from the logs of the nodes."`
	State   stateCmd   `cmd:"" help:"Print the state dump of a node as JSON."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run parses the arguments, runs the selected command and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	var c cli
	exited := -1
	parser := kong.Must(
		&c,
		kong.Name("auburnwinch"),
		kong.Description("Proxy fleet for targets that fail partially.\n\n"+exitCodeHelp),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exited = code }),
		kong.BindTo(stdout, (*io.Writer)(nil)),
	)
	ctx, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		parser.Errorf("%s", err)
		if len(args) > 0 && args[0] == "config" {
			return exitConfigUsage
		}
		return exitInvalid
	}
	if err := ctx.Run(); err != nil {
		parser.Errorf("%s", err)
		return exitCode(err)
	}
	return exitOK
}
