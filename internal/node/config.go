package node

import (
	"github.com/go-kit/log"

	"github.com/auburnwinch/auburnwinch/internal/config"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/timer"
)

// Config holds what New needs; only Settings is required.
type Config struct {
	Settings *config.Settings
	Logger   log.Logger
	Clock    timer.Service
	// Dial opens the connections to agents, targets and peers; it defaults to the dialer of the system.
	Dial relay.DialFunc
	// DropDatagram reports that a datagram to the address must not be sent; by default all are sent.
	DropDatagram func(address string) bool
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
