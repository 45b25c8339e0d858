package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// reloading is the subcommand that takes SIGHUP for a reload; the others end by it, as the end of a terminal should.
const reloading = "hosted"

var signals = make(chan os.Signal, 1)

// The package has no imports but the standard library's, so that it is initialized ahead of the large ones, which take most
// of the time until main begins.
func init() {
	if len(os.Args) > 1 && os.Args[1] == reloading {
		signal.Notify(signals, syscall.SIGHUP)
	}
}

// Signals returns the caught signals; one that comes before a reader is kept.
func Signals() <-chan os.Signal { return signals }
