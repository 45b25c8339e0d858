package hosted

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/internal/meter"
	"github.com/auburnwinch/auburnwinch/internal/quota"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// refusalReasons are the agents' refusal reasons that have a counter of their own.
var refusalReasons = []string{
	relay.ReasonNoSlot, relay.ReasonUnhealthy, relay.ReasonDeadline, relay.ReasonDraining, relay.ReasonLeaving, relay.ReasonUnknownTarget,
	relay.ReasonShed, relay.ReasonUnconfirmed, relay.ReasonPoison, relay.ReasonRateLimit,
}

// metrics holds the instruments served at the metrics address.
type metrics struct {
	*meter.Meter
	answers         *meter.DurationHistogram
	outcomes        *meter.LabelledCounter
	waits           *meter.DurationHistogram
	runs            *meter.DurationHistogram
	refusals        map[string]*atomic.Int64
	left, leftBytes *meter.LabelledCounter
	attempts        atomic.Int64
	turnedUnhealthy atomic.Int64
	// closedClients and refusedClients count by listener and reason what the purse closed and refused.
	closedClients  *meter.LabelledCounter
	refusedClients *meter.LabelledCounter
}

func newMetrics() (*metrics, error) {
	m, err := meter.New()
	if err != nil {
		return nil, err
	}
	t := &metrics{
		Meter: m, refusals: make(map[string]*atomic.Int64),
		outcomes: m.LabelledCounter("auburnwinch.edge.answers", "answers to callers by service, kind of request and outcome",
			"service", "kind", "outcome"),
		closedClients:  m.LabelledCounter("auburnwinch.clients.closed", "connections closed to make room", "listener", "reason"),
		refusedClients: m.LabelledCounter("auburnwinch.clients.refused", "connections and requests refused for lack of room", "listener", "reason"),
		answers:        m.Histogram("auburnwinch.edge.answer", "time from a caller's request to its answer"),
		left:           m.LabelledCounter("auburnwinch.edge.left", "attempts sent out of the failure domain by tier and reason", "tier", "reason"),
		leftBytes: m.LabelledCounter("auburnwinch.edge.left-bytes",
			"expected bytes of requests and responses that were served outside of the failure domain, by tier and reason", "tier", "reason"),
		waits: m.Histogram("auburnwinch.agent.wait", "time that relayed requests waited for a slot"),
		runs:  m.Histogram("auburnwinch.agent.run", "time that targets took for relayed requests"),
	}
	for _, reason := range refusalReasons {
		counter := &atomic.Int64{}
		t.refusals[reason] = counter
		m.Counter("auburnwinch.agent.refused."+reason, "relayed requests refused: "+reason, counter.Load)
	}
	m.Counter("auburnwinch.edge.asks", "agents that were asked for a slot", t.attempts.Load)
	m.Counter("auburnwinch.agent.sick", "times the target became probably sick", t.turnedUnhealthy.Load)
	m.Counter("auburnwinch.invariant.violations", "failed checks of invariants", func() int64 { return int64(invar.Violations()) })
	return t, nil
}

func (t *metrics) answered(s edge.RequestSummary) {
	t.answers.Record(s.Duration)
	t.outcomes.Add(s.Service, kindOf(s), string(s.Outcome))
	t.attempts.Add(int64(len(s.Attempts)))
	for _, a := range s.Attempts {
		if a.Left == "" {
			continue
		}
		t.left.Add(a.Tier, a.Left)
		if a.Result == edge.ResultAnswered {
			t.leftBytes.AddN(a.Bytes, a.Tier, a.Left)
		}
	}
}

// kindOf returns the value of the `kind` label for a request.
func kindOf(s edge.RequestSummary) string {
	switch {
	case s.Nested:
		return "call"
	case s.Idempotent:
		return "idempotent"
	default:
		return "once"
	}
}

func (t *metrics) relayed(r agent.RequestRecord) {
	t.waits.Record(r.Waited)
	if r.Outcome == model.OutcomeDone {
		t.runs.Record(r.Ran)
		return
	}
	if counter := t.refusals[r.Reason]; counter != nil {
		counter.Add(1)
	}
}

// registerMetrics adds the instruments that read the state of the node's components.
func (n *Node) registerMetrics() error {
	m := n.metrics
	m.Gauge("auburnwinch.edge.in-flight", "requests of callers in flight", func() int64 { return int64(n.edge.InFlight()) })
	m.Gauge("auburnwinch.agent.in-flight", "relayed requests in flight", func() int64 { return int64(n.agent.InFlight()) })
	for name, value := range map[string]func(edge.Counters) uint64{
		"requests": func(c edge.Counters) uint64 { return c.Requests }, "retries": func(c edge.Counters) uint64 { return c.Retries },
		"path-failures": func(c edge.Counters) uint64 { return c.PathFailures }, "done": func(c edge.Counters) uint64 { return c.Done },
		"not-run": func(c edge.Counters) uint64 { return c.NotRun }, "unknown": func(c edge.Counters) uint64 { return c.Unknown },
		"broken":       func(c edge.Counters) uint64 { return c.Broken },
		"unauthorized": func(c edge.Counters) uint64 { return c.Unauthorized },
		"undecided":    func(c edge.Counters) uint64 { return c.Undecided },
	} {
		m.Counter("auburnwinch.edge."+name, "requests of callers: "+name, func() int64 { return int64(value(n.edge.Counters())) })
	}
	m.Gauge("auburnwinch.agent.limited", "targets of this VM that state a rate limit", func() int64 { return int64(n.agent.Limited()) })
	m.Gauge("auburnwinch.agent.target-leaving", "targets of this VM that have stated that they shut down", func() int64 { return int64(n.agent.TargetsLeaving()) })
	m.Counter("auburnwinch.poison.in-flight-at-crash", "requests that were in flight when the own target died", n.guard.inFlightAtCrash.Load)
	n.registerQuotaMetrics()
	m.Counter("auburnwinch.store.member-calls", "calls to the store for the records of the nodes", n.nodes.StoreCalls)
	m.Counter("auburnwinch.feed.calls", "calls to other nodes for the records of the nodes", n.nodes.PeerCalls)
	m.Counter("auburnwinch.configuration.from-nodes", "configurations received from other nodes", n.fleet.keys.fetched.Load)
	m.Gauge("auburnwinch.configuration.confirmed-age-milliseconds", "time since the configuration was last known to be the newest one", func() int64 {
		if at := n.fleet.ConfirmedAt(); !at.IsZero() {
			return n.config.Clock.Now().Sub(at).Milliseconds()
		}
		return 0
	})
	m.Gauge("auburnwinch.configuration.number", "number of the configuration in force", func() int64 { return int64(n.fleet.number.Load()) })
	m.Gauge("auburnwinch.members.age-milliseconds", "time since the members were last heard of", func() int64 {
		_, members := n.fleet.ages()
		return members.Milliseconds()
	})
	m.Gauge("auburnwinch.clients.held-bytes", "memory held for clients", n.purse.Held)
	m.Gauge("auburnwinch.clients.connections", "connections counted toward the budget", func() int64 { return int64(n.purse.Open()) })
	return m.Err()
}

// stateDump is the response body of /state.
type stateDump struct {
	Self  model.Node  `json:"self"`
	Ready bool        `json:"ready"`
	Edge  edge.State  `json:"edge"`
	Agent agent.State `json:"agent"`
	View  any         `json:"view"`
	// Crashes are the crash counts of requests that crashed targets of the fleet.
	Crashes []model.CrashEntry `json:"crashes"`
	Quotas  quota.State        `json:"quotas"`
}

// metricsHandler serves the metrics and the state dump.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", n.metrics.Handler())
	mux.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(stateDump{ // Errors are ignored: the client disconnected.
			Self: n.config.Self, Ready: n.ready(), Edge: n.edge.State(), Agent: n.agent.State(), View: n.fleet.view.Load(),
			Crashes: n.guard.counter.Counts().Entries(), Quotas: n.quotas.State(),
		})
	})
	return mux
}
