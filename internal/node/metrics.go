package node

import (
	"sync/atomic"

	"github.com/auburnwinch/auburnwinch/internal/invar"
)

func (n *Node) registerMetrics() error {
	n.registerRequestMetrics()
	n.registerControlMetrics()
	return n.meter.Err()
}

func (n *Node) registerRequestMetrics() {
	for _, c := range []struct {
		name, description string
		value             *atomic.Int64
	}{
		{"auburnwinch.edge.done", "requests answered by a target", &n.counts.done},
		{"auburnwinch.edge.not-run", "requests refused as not run", &n.counts.notRun},
		{"auburnwinch.edge.unknown", "requests answered with an unknown outcome", &n.counts.unknown},
		{"auburnwinch.edge.broken", "answers broken off", &n.counts.broken},
		{"auburnwinch.eject.ejections", "targets taken out of the choice", &n.counts.ejections},
		{"auburnwinch.eject.readmissions", "targets that passed probation", &n.counts.readmits},
		{"auburnwinch.eject.retained", "unhealthy targets kept because of the floor", &n.counts.retained},
	} {
		n.meter.Counter(c.name, c.description, c.value.Load)
	}
	n.meter.Gauge("auburnwinch.edge.in-flight", "requests of callers in flight", func() int64 { return int64(n.edge.InFlight()) })
	n.meter.Gauge("auburnwinch.agent.in-flight", "relayed requests in flight", func() int64 { return int64(n.agent.InFlight()) })
}

func (n *Node) registerControlMetrics() {
	n.meter.Gauge("auburnwinch.ticket.number", "number of the last ticket in force", func() int64 { return int64(n.tickets.Configuration().Number) })
	n.meter.Gauge("auburnwinch.ticket.lag", "accepted tickets that are not in force yet", func() int64 { return int64(n.ticketLag()) })
	n.meter.Counter("auburnwinch.peer.bytes-sent", "bytes of control traffic sent", func() int64 { return int64(n.peer.Stats().BytesSent) })
	n.meter.Counter("auburnwinch.peer.bytes-received", "bytes of control traffic received", func() int64 { return int64(n.peer.Stats().BytesReceived) })
	n.meter.Counter("auburnwinch.peer.busy-nanoseconds", "processor time of control work", func() int64 { return int64(n.peer.Stats().BusyNanoseconds) })
	n.meter.Counter("auburnwinch.invariant.violations", "failed invariant checks", func() int64 { return int64(invar.Violations()) })
}
