package node

import (
	"github.com/go-kit/log"

	"github.com/auburnwinch/auburnwinch/internal/config"
	"github.com/auburnwinch/auburnwinch/internal/timer"
)

// Config holds what New needs; only Settings is required.
type Config struct {
	Settings *config.Settings
	Logger   log.Logger
	Clock    timer.Service
	// Version is the release of the program, for logs and the state dump.
	Version string
}

func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Clock == nil {
		c.Clock = timer.NewReal()
	}
	return c
}
