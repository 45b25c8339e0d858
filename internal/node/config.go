package node

import (
	"github.com/go-kit/log"

	"github.com/auburnwinch/auburnwinch/internal/config"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/timer"
)

// Config configures a Node; only Settings is required.
type Config struct {
	Settings *config.Settings
	Logger   log.Logger
	Clock    timer.Service
	// Dial opens connections to agents, targets and peers; nil selects the system's dialer.
	Dial relay.DialFunc
	// DropDatagram reports whether to drop a datagram to the address instead of sending it; nil sends all.
	DropDatagram func(address string) bool
	// Version is the program version, shown in logs and the state dump.
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
