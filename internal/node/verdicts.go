package node

import (
	"sync/atomic"

	"github.com/auburnwinch/auburnwinch/internal/eject"
)

// verdictCounts counts the verdict changes of targets, at the edge and at the agent together.
type verdictCounts struct {
	ejections atomic.Int64
	readmits  atomic.Int64
	retained  atomic.Int64
}

func (c *verdictCounts) add(cmd eject.VerdictCmd) {
	switch cmd.To {
	case eject.StateEjected:
		c.ejections.Add(1)
	case eject.StateSlowStart:
		c.readmits.Add(1)
	case eject.StateRetained:
		c.retained.Add(1)
	}
}
