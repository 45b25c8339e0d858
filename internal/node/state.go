package node

import (
	"net/http"
	"runtime/metrics"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/admin"
	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/internal/secret"
	"github.com/auburnwinch/auburnwinch/internal/ticket"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

type processState struct {
	Self       model.Node `json:"self"`
	Version    string     `json:"version"`
	Uptime     string     `json:"uptime"`
	Violations uint64     `json:"violations"`
	// Allocations is the number of heap objects allocated since the start, HeapBytes the size of the live ones and of
	// those not yet collected.
	Allocations uint64 `json:"allocations"`
	HeapBytes   uint64 `json:"heap-bytes"`
	// Rebuilds is the number of views built since the start.
	Rebuilds uint64 `json:"rebuilds"`
}

type ticketState struct {
	Number uint64 `json:"number"`
	Head   uint64 `json:"head"`
	Ready  bool   `json:"ready"`
}

// secretState identifies by fingerprint the secret that the node uses and the others that it accepts, and contains the
// expiry of its certificate.
type secretState struct {
	Fingerprint string       `json:"fingerprint"`
	Accepted    []secret.Use `json:"accepted"`
	TLS         *tlsState    `json:"tls,omitempty"`
}

type platformState struct {
	Table   any `json:"table"`
	Objects any `json:"objects"`
}

func (n *Node) adminHandler() http.Handler {
	return admin.New(admin.Config{
		Token:          n.config.Settings.OperatorToken,
		AcceptedTokens: n.config.Settings.AcceptedOperatorTokens,
		Sections:       n.sections(),
		Health:         n.health,
		Tickets:        n.ticketReport,
		SubmitTicket:   n.offerTicket,
		Metrics:        n.meter.Handler(),
	})
}

func (n *Node) sections() []admin.Section {
	return []admin.Section{
		{Name: "process", Dump: func() any {
			heap := []metrics.Sample{{Name: "/gc/heap/allocs:objects"}, {Name: "/memory/classes/heap/objects:bytes"}}
			metrics.Read(heap)
			return processState{
				Self: n.self, Version: n.config.Version, Violations: invar.Violations(),
				Uptime:      n.config.Clock.Now().Sub(n.startedAt).Round(time.Second).String(),
				Allocations: heap[0].Value.Uint64(), HeapBytes: heap[1].Value.Uint64(),
				Rebuilds: n.viewBuilds.Load(),
			}
		}},
		{Name: "edge", Dump: func() any { return n.edge.State() }},
		{Name: "agent", Dump: func() any { return n.agent.State() }},
		{Name: "tickets", Dump: func() any {
			return ticketState{Number: n.tickets.Configuration().Number, Head: n.tickets.Head(), Ready: n.tickets.Ready()}
		}},
		{Name: "members", Dump: func() any { return n.peer.Snapshot() }},
		{Name: "view", Dump: func() any { return n.fleet.view.Load() }},
		{Name: "edge-verdicts", Dump: func() any { return n.pathTracker.Snapshot() }},
		{Name: "agent-verdicts", Dump: func() any { return n.targetTracker.Snapshot() }},
		{Name: "poison", Dump: func() any { return n.poisonDetector.module.Snapshot().State() }},
		{Name: "control", Dump: func() any { return n.peer.Stats() }},
		{Name: "secrets", Dump: func() any {
			return secretState{Fingerprint: secret.Fingerprint(n.secret()), Accepted: n.accepted.State(), TLS: n.certs.state()}
		}},
		{Name: "platform", Dump: func() any {
			return platformState{Table: n.store.TableStats(), Objects: n.store.ObjectStats()}
		}},
	}
}

func (n *Node) health() admin.Health {
	switch {
	case !n.tickets.Ready():
		return admin.Health{Reason: "the configuration was not compared with the platform or enough peers yet"}
	case n.fleet.view.Load() == nil:
		return admin.Health{Reason: "no ticket is in force; file the first one"}
	default:
		return admin.Health{Ready: true}
	}
}

func (n *Node) ticketLag() uint64 {
	number := n.tickets.Configuration().Number
	return max(n.tickets.Head(), number) - number
}

func (n *Node) offerTicket(t model.Ticket) error {
	if err := ticket.Validate(t); err != nil {
		return err
	}
	n.tickets.Offer(t)
	return nil
}

// ticketReport returns the number in force on each live node, according to its latest record.
func (n *Node) ticketReport() admin.TicketReport {
	report := admin.TicketReport{Head: max(n.tickets.Head(), n.tickets.Configuration().Number)}
	snapshot := n.peer.Snapshot()
	for i := range snapshot.Records {
		record := &snapshot.Records[i]
		report.Head = max(report.Head, record.Ticket)
		report.Nodes = append(report.Nodes, admin.NodeNumber{Node: record.Node.Ref.ID, Number: record.Ticket})
	}
	for i := range report.Nodes {
		report.Nodes[i].Lag = report.Head - report.Nodes[i].Number
	}
	return report
}
