package node

import (
	"github.com/auburnwinch/auburnwinch/internal/edge"
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
		value             func(edge.Counters) uint64
	}{
		{"auburnwinch.edge.requests", "requests admitted to a first attempt", func(c edge.Counters) uint64 { return c.Requests }},
		{"auburnwinch.edge.retries", "attempts after the first", func(c edge.Counters) uint64 { return c.Retries }},
		{"auburnwinch.edge.resumptions", "downloads continued from another target", func(c edge.Counters) uint64 { return c.Resumptions }},
		{"auburnwinch.edge.path-failures", "attempts that failed between edge and agent", func(c edge.Counters) uint64 { return c.PathFailures }},
		{"auburnwinch.edge.done", "requests answered by a target", func(c edge.Counters) uint64 { return c.Done }},
		{"auburnwinch.edge.not-run", "requests refused as not run", func(c edge.Counters) uint64 { return c.NotRun }},
		{"auburnwinch.edge.unknown", "requests answered with an unknown outcome", func(c edge.Counters) uint64 { return c.Unknown }},
		{"auburnwinch.edge.broken", "answers broken off", func(c edge.Counters) uint64 { return c.Broken }},
	} {
		n.meter.Counter(c.name, c.description, func() int64 { return int64(c.value(n.edge.Counters())) })
	}
	n.meter.Gauge("auburnwinch.edge.in-flight", "requests of callers in flight", func() int64 { return int64(n.edge.InFlight()) })
	n.meter.Gauge("auburnwinch.agent.in-flight", "relayed requests in flight", func() int64 { return int64(n.agent.InFlight()) })
	n.meter.Gauge("auburnwinch.agent.limits-lowered", "targets whose learned limit is below their slots", n.limitsLowered)
	n.meter.Counter("auburnwinch.eject.ejections", "targets taken out of the choice", n.verdicts.ejections.Load)
	n.meter.Counter("auburnwinch.eject.readmissions", "targets that passed probation", n.verdicts.readmits.Load)
	n.meter.Counter("auburnwinch.eject.retained", "unhealthy targets kept because of the floor", n.verdicts.retained.Load)
}

// limitsLowered counts the targets whose learned limit is below the slots that they announce.
func (n *Node) limitsLowered() int64 {
	lowered := int64(0)
	for _, t := range n.agent.State().Targets {
		if t.Load.Limit < t.Target.Slots {
			lowered++
		}
	}
	return lowered
}

func (n *Node) registerControlMetrics() {
	n.meter.Gauge("auburnwinch.ticket.number", "number of the last ticket in force", func() int64 { return int64(n.tickets.Configuration().Number) })
	n.meter.Gauge("auburnwinch.ticket.lag", "accepted tickets that are not in force yet", func() int64 { return int64(n.ticketLag()) })
	n.meter.Counter("auburnwinch.peer.bytes-sent", "bytes of control traffic sent", func() int64 { return int64(n.peer.Stats().BytesSent) })
	n.meter.Counter("auburnwinch.peer.bytes-received", "bytes of control traffic received", func() int64 { return int64(n.peer.Stats().BytesReceived) })
	n.meter.Counter("auburnwinch.peer.busy-nanoseconds", "processor time of control work", func() int64 { return int64(n.peer.Stats().BusyNanoseconds) })
	n.meter.Counter("auburnwinch.secret.accepted-uses", "messages of other nodes under an accepted secret instead of the own one", func() int64 { return int64(n.accepted.Uses()) })
	if n.certs != nil {
		n.meter.Gauge("auburnwinch.tls.seconds-left", "time until the certificate of the node expires, in seconds", n.certs.secondsUntilExpiry)
	}
	n.meter.Counter("auburnwinch.view.rebuilds", "views built after changes of membership or configuration", func() int64 { return int64(n.viewBuilds.Load()) })
	n.meter.Counter("auburnwinch.invariant.violations", "failed invariant checks", func() int64 { return int64(invar.Violations()) })
}
