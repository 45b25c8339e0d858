package hosted

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/internal/meter"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// refusalReasons are the refusals of agents that are counted one by one.
var refusalReasons = []string{
	relay.ReasonNoSlot, relay.ReasonUnhealthy, relay.ReasonDeadline, relay.ReasonDraining, relay.ReasonLeaving, relay.ReasonUnknownTarget,
	relay.ReasonShed, relay.ReasonUnconfirmed, relay.ReasonPoison,
}

// meters count what the node does, for the metrics address.
type meters struct {
	*meter.Meter
	answers  *meter.DurationHistogram
	outcomes *meter.LabelledCounter
	waits    *meter.DurationHistogram
	runs     *meter.DurationHistogram
	refusals map[string]*atomic.Int64
	asks     atomic.Int64
	closed   atomic.Int64
}

func newMeters() (*meters, error) {
	m, err := meter.New()
	if err != nil {
		return nil, err
	}
	t := &meters{
		Meter: m, refusals: make(map[string]*atomic.Int64),
		outcomes: m.LabelledCounter("auburnwinch.edge.answers", "answers to callers by service, kind of request and outcome",
			"service", "kind", "outcome"),
		answers: m.Histogram("auburnwinch.edge.answer", "time from a caller's request to its answer"),
		waits:   m.Histogram("auburnwinch.agent.wait", "time that relayed requests waited for a slot"),
		runs:    m.Histogram("auburnwinch.agent.run", "time that targets took for relayed requests"),
	}
	for _, reason := range refusalReasons {
		counter := &atomic.Int64{}
		t.refusals[reason] = counter
		m.Counter("auburnwinch.agent.refused."+reason, "relayed requests refused: "+reason, counter.Load)
	}
	m.Counter("auburnwinch.edge.asks", "agents that were asked for a slot", t.asks.Load)
	m.Counter("auburnwinch.agent.sick", "times the target became probably sick", t.closed.Load)
	m.Counter("auburnwinch.invariant.violations", "failed checks of invariants", func() int64 { return int64(invar.Violations()) })
	return t, nil
}

func (t *meters) answered(s edge.RequestSummary) {
	t.answers.Record(s.Duration)
	t.outcomes.Add(s.Service, kindOf(s), string(s.Outcome))
	t.asks.Add(int64(len(s.Attempts)))
}

// kindOf names the kind of a request for operators.
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

func (t *meters) relayed(r agent.RequestRecord) {
	t.waits.Record(r.Waited)
	if r.Outcome == model.OutcomeDone {
		t.runs.Record(r.Ran)
		return
	}
	if counter := t.refusals[r.Reason]; counter != nil {
		counter.Add(1)
	}
}

// register adds the instruments that read the parts of the node.
func (n *Node) registerMetrics() error {
	m := n.meters
	m.Gauge("auburnwinch.edge.in-flight", "requests of callers in flight", func() int64 { return int64(n.edge.InFlight()) })
	m.Gauge("auburnwinch.agent.in-flight", "relayed requests in flight", func() int64 { return int64(n.agent.InFlight()) })
	for name, value := range map[string]func(edge.Counters) uint64{
		"requests": func(c edge.Counters) uint64 { return c.Requests }, "retries": func(c edge.Counters) uint64 { return c.Retries },
		"path-failures": func(c edge.Counters) uint64 { return c.PathFailures }, "done": func(c edge.Counters) uint64 { return c.Done },
		"not-run": func(c edge.Counters) uint64 { return c.NotRun }, "unknown": func(c edge.Counters) uint64 { return c.Unknown },
		"broken": func(c edge.Counters) uint64 { return c.Broken },
	} {
		m.Counter("auburnwinch.edge."+name, "requests of callers: "+name, func() int64 { return int64(value(n.edge.Counters())) })
	}
	m.Counter("auburnwinch.poison.in-flight-at-crash", "requests that were in flight when the own target died", n.guard.deaths.Load)
	m.Counter("auburnwinch.store.member-calls", "calls to the store for the records of the nodes", n.nodes.StoreCalls)
	m.Counter("auburnwinch.feed.calls", "calls to other nodes for the records of the nodes", n.nodes.PeerCalls)
	m.Gauge("auburnwinch.configuration.number", "number of the configuration in force", func() int64 { return int64(n.beliefs.number.Load()) })
	m.Gauge("auburnwinch.members.age-milliseconds", "time since the members were last heard of", func() int64 {
		_, members := n.beliefs.ages()
		return members.Milliseconds()
	})
	return m.Err()
}

// stateDump is the state of the node for operators.
type stateDump struct {
	Self  model.Node  `json:"self"`
	Ready bool        `json:"ready"`
	Edge  edge.State  `json:"edge"`
	Agent agent.State `json:"agent"`
	View  any         `json:"view"`
	// Crashes are the counts of requests under which targets of the fleet died.
	Crashes []model.CrashEntry `json:"crashes"`
}

// metricsHandler serves the instruments, and the state of the node on request.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", n.meters.Handler())
	mux.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(stateDump{ // A reader that went away needs no answer.
			Self: n.config.Self, Ready: n.ready(), Edge: n.edge.State(), Agent: n.agent.State(), View: n.beliefs.view.Load(),
			Crashes: n.guard.counter.Counts().Entries(),
		})
	})
	return mux
}
