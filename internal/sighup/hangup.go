package sighup

import (
	"os"
	"os/signal"
	"syscall"
)

// reloadCommand is the subcommand that reloads on SIGHUP; the others keep the default and terminate, as they should
// when their terminal closes.
const reloadCommand = "hosted"

var signals = make(chan os.Signal, 1)

// The package imports only the standard library, so that it is initialized before the large packages, which take most
// of the time until main starts.
func init() {
	if len(os.Args) > 1 && os.Args[1] == reloadCommand {
		signal.Notify(signals, syscall.SIGHUP)
	}
}

// Signals returns the channel of caught signals; one signal is buffered until it is read.
func Signals() <-chan os.Signal { return signals }
