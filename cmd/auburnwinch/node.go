package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/config"
	"github.com/auburnwinch/auburnwinch/internal/node"
)

// nodeCmd runs the node on this VM.
type nodeCmd struct {
	settingsFlag
	Check bool `help:"Check the settings and exit without starting."`
}

// Run serves until SIGTERM or SIGINT, then leaves the fleet gracefully; a second signal terminates the process
// immediately.
func (c *nodeCmd) Run(out io.Writer) error {
	settings, err := config.Load(c.Settings)
	if err != nil {
		return err
	}
	if c.Check {
		_, err = fmt.Fprintf(out, "%s: settings of node %s are valid\n", c.Settings, settings.Node.ID)
		return err
	}
	configureGC(0)
	n, err := node.New(node.Config{Settings: settings, Logger: newLogger(settings.LogLevel), Version: version()})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	return n.Run(ctx)
}

// newLogger returns a logger that writes JSON lines of minLevel and above to standard error.
func newLogger(minLevel config.Level) log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(os.Stderr))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(string(minLevel), level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}
