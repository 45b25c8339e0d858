package drain

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/timer"
)

// RunConfig configures Run; all fields are required.
type RunConfig struct {
	Limits Config
	Clock  timer.Service
	// Tick is the interval at which InFlight is polled.
	Tick     time.Duration
	InFlight func() int
	// Step carries out one command and returns the message that results from it, if any.
	Step func(Cmd) Msg
}

// Run carries out a graceful shutdown and returns when the process may exit.
func Run(c RunConfig) {
	shutdown := New(c.Limits)
	ticks := c.Clock.Subscribe(c.Tick)
	defer ticks.Stop()
	cmds := shutdown.Update(StopMsg{Now: c.Clock.Now()})
	for {
		for len(cmds) > 0 {
			next := c.Step(cmds[0])
			cmds = cmds[1:]
			if next != nil {
				cmds = append(cmds, shutdown.Update(next)...)
			}
		}
		if shutdown.State() == StateExited {
			return
		}
		cmds = shutdown.Update(TickMsg{Now: <-ticks.C, InFlight: c.InFlight()})
	}
}
