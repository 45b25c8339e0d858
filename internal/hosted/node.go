package hosted

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/feed"
	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/internal/listen"
	"github.com/auburnwinch/auburnwinch/internal/picker"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/internal/story"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/internal/wake"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// silentReused bounds the silence on a reused connection between nodes: a round trip between regions takes 24 ms, and
	// agents answer or send a sign of life after 100 ms.
	silentReused = 600 * time.Millisecond
	// silentAny bounds the silence of an agent, which sends a sign of life every interimInterval.
	silentAny       = 1500 * time.Millisecond
	interimInterval = 400 * time.Millisecond
	// relayDialTimeout covers a round trip between regions ten times.
	relayDialTimeout = 400 * time.Millisecond
	// bodyIdle bounds the silence within the body of an answer, which targets send in one piece.
	bodyIdle = 2 * time.Second
	// holdBytes is the largest body that is held until it is whole; the largest downloads have half a megabyte.
	holdBytes = 1 << 20
	// answerBytes is the longest answer of a target, a hundred times the largest downloads; one that sends on is sick.
	answerBytes = 64 << 20
	// startWait and startPeriod let requests wait while the node has just started: targets send a heartbeat every 1.5 s, and
	// the records of other nodes follow within a second.
	startWait   = 1500 * time.Millisecond
	startPeriod = 5 * time.Second
	// publishDelay groups the changes of a record that follow one cause into one write.
	publishDelay = 20 * time.Millisecond
	// restartTime is the usual time until a stopped node serves again.
	restartTime = time.Second
	// targetExpiry is the time after which a target without heartbeats is dropped: four of them.
	targetExpiry = 6 * time.Second
	// membersSettle groups the rows of nodes that start or change together into one answer of the store.
	membersSettle = time.Second
	// peerSettle is the pause of a node that takes the rows from another one, which has grouped them.
	peerSettle = 20 * time.Millisecond
	// configurationWait bounds the time for which a forgotten call hides a new configuration from a node without traffic.
	configurationWait = 8 * time.Second
	// configurationSettle is short because a configuration must be in force everywhere within two seconds.
	configurationSettle = 50 * time.Millisecond
	// retryMargin keeps the repeats at one target below its part of the fleet's allowance, because a target that restarts
	// forgets what it has taken.
	retryMargin = 0.8
)

// Node is the process that runs beside each target.
type Node struct {
	config    Config
	beliefs   *beliefs
	meters    *meters
	journal   *journal
	guard     *guard
	edge      *edge.Edge
	agent     *agent.Agent
	picker    *picker.Picker
	nodes     *feed.Table
	feed      *feed.Server
	publisher *roster.Publisher
	watchers  []*roster.Watcher
	listeners []*listen.Listener
	cancel    context.CancelFunc
	group     conc.WaitGroup
	stopping  atomic.Bool
	// closed tells that callers' requests are refused, because they could not be finished.
	closed atomic.Bool

	// due asks for a publication of the record.
	due wake.Signal

	mu     sync.Mutex
	record roster.Record
	// recalled tells that the row of an earlier process of this node has been read, or that there is none. The record is not
	// published before.
	recalled   bool
	admissions []*admission
}

// New builds all parts and opens the listeners; Run serves.
func New(c Config) (*Node, error) {
	n := &Node{config: c.withDefaults(), due: wake.New()}
	n.record = roster.Record{Node: n.config.Self}
	invar.OnViolation(func(v invar.Violation) {
		_ = level.Error(n.config.FailureLogger).Log("msg", "invariant violated", "module", v.Module, "detail", v.Detail)
	})
	for _, build := range []func() error{n.buildBeliefs, n.buildAgent, n.buildEdge, n.registerMetrics, n.openListeners} {
		if err := build(); err != nil {
			n.closeListeners()
			return nil, err
		}
	}
	return n, nil
}

func (n *Node) buildBeliefs() (err error) {
	if n.meters, err = newMeters(); err != nil {
		return err
	}
	n.picker = picker.New(picker.Config{
		Health: noVerdicts{}, Now: n.config.Clock.Now, Seed: n.config.Self.Ref.Incarnation, Negotiate: true,
		CheckPaths: true,
	})
	n.guard = newGuard(n.config.Clock, n.config.FailureLogger, n.due)
	n.beliefs = &beliefs{
		self: n.config.Self, clock: n.config.Clock, logger: n.config.FailureLogger, decode: n.config.Decode, picker: n.picker,
		builder: view.NewBuilder(n.config.Self), members: roster.NewMembers(), guard: n.guard,
	}
	n.nodes = feed.NewTable(feed.Config{
		Store: n.config.Nodes, Self: n.config.Self.Ref.ID, Domain: n.config.Self.Domain, BatchDelay: membersSettle, OnDomainRows: n.recall,
		Configurations: n.beliefs, Clock: n.config.Clock, Dial: n.config.Dial, Logger: n.config.FailureLogger,
	})
	n.journal = &journal{ordinary: n.config.Logger, failures: n.config.FailureLogger, beliefs: n.beliefs, meters: n.meters}
	return nil
}

func (n *Node) buildAgent() (err error) {
	n.agent, err = agent.New(agent.Config{
		Self: n.config.Self.Ref, NewLimiter: n.newLimiter, OnTargets: n.targetsChanged, Clock: n.config.Clock,
		Logger: n.config.FailureLogger, Dial: n.config.Dial, InterimInterval: interimInterval, Expiry: targetExpiry,
		Protocol: n.config.TargetProtocol, RequestLogger: n.journal, PoisonDetector: n.guard, CrashCounter: n.guard, SingleTarget: true, DisableLivenessConns: true, MaxResponseBytes: answerBytes, Configurations: n.beliefs,
	})
	return err
}

func (n *Node) newLimiter(target model.Target, _ model.ServiceSpec) agent.Limiter {
	a := newAdmission(admissionConfig{
		slots: target.Slots, clock: n.config.Clock, retries: n.retries(),
		extra: func() float64 { return n.extraRepeats(target.Ref.Service) },
		onChange: func(closed bool, odds float64) {
			if closed {
				n.meters.closed.Add(1)
			}
			_ = level.Info(n.config.FailureLogger).Log("msg", "target health", "service", target.Ref.Service, "target", target.Ref.ID,
				"sick", closed, "log-odds", odds)
		},
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	// Only the limiter of the target that runs now is checked for requests that stay unanswered.
	n.admissions = []*admission{a}
	return a
}

// extraRepeats returns the target's part of the repeats that its service may take beside the share of its requests.
func (n *Node) extraRepeats(service string) float64 {
	targets := 1
	if v := n.beliefs.view.Load(); v != nil {
		if s := v.Service(service); s != nil {
			targets = max(1, len(s.Candidates))
		}
	}
	return retryMargin * float64(n.retries().Extra) / float64(targets)
}

func (n *Node) buildEdge() (err error) {
	n.edge, err = edge.New(edge.Config{
		View: &n.beliefs.view, Picker: picks{n.picker}, Tracker: paths{n.picker}, Clock: n.config.Clock,
		Logger: n.config.FailureLogger, Dial: n.config.Dial, DialTimeout: relayDialTimeout, ReusedHeaderTimeout: silentReused,
		HeaderTimeout: silentAny, BodyIdleTimeout: bodyIdle, StartupWait: startWait, StartupPeriod: startPeriod, Protocol: n.config.CallerProtocol, NegotiateAdmission: true, BufferBytes: holdBytes,
		RequestLogger: n.journal, PoisonDetector: n.guard, CrashCounter: n.guard, Parents: n.agent, Configurations: n.beliefs,
	})
	n.beliefs.edge = n.edge
	return err
}

func (n *Node) targetsChanged(targets []model.Target) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record.Targets, n.record.Withdrawn, n.record.RestoredDraining = targets, n.agent.Withdrawn(), n.agent.RestoredDraining()
	n.due.Raise()
}

// publishChanges publishes the record soon after a change, with the changes that follow at once: a target that dies is
// removed and makes requests suspect one after the other, and the readers of the table look again only after a pause.
func (n *Node) publishChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.due:
		}
		if timer.Sleep(ctx, publishDelay) {
			n.mu.Lock()
			n.publish()
			n.mu.Unlock()
		}
	}
}

// publish hands the record to the publisher; it is called under the lock.
func (n *Node) publish() {
	if n.publisher != nil && n.recalled {
		n.record.Crashes = n.guard.own()
		n.publisher.Publish(n.record.Encode())
	}
}

// recall takes over what an earlier process of this node has published of its targets; rows hold all of its failure domain.
func (n *Node) recall(rows []roster.Row) {
	n.mu.Lock()
	recalled := n.recalled
	n.mu.Unlock()
	if recalled {
		return
	}
	for _, row := range rows {
		if row.Key != n.config.Self.Ref.ID || row.Deleted {
			continue
		}
		n.publisher.ObserveRow(row)
		if earlier, err := roster.DecodeRecord(row); err == nil { // The beliefs log rows that are no records.
			n.agent.Restore(earlier.Draining(), earlier.Withdrawn)
			n.guard.recall(earlier.Crashes)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recalled = true
	n.record.Withdrawn, n.record.RestoredDraining = n.agent.Withdrawn(), n.agent.RestoredDraining()
	// A node without a target has nothing to say; its first record follows the first heartbeat.
	if len(n.record.Targets) > 0 || n.record.Leaving {
		n.publish()
	}
}

// Announce takes a heartbeat of the target on this VM.
func (n *Node) Announce(h agent.Announcement) error {
	if n.stopping.Load() && !h.Draining {
		return agent.ErrStaleHeartbeat
	}
	return n.agent.Announce(h)
}

// Withdraw removes a target that has said goodbye.
func (n *Node) Withdraw(service, id string) {
	n.agent.Withdraw(service, id)
}

// Refused takes note of a heartbeat that names no target to use.
func (n *Node) Refused(id string, err error) {
	_ = level.Warn(n.config.FailureLogger).Log("msg", "heartbeat ignored", "target", id, "err", err)
}

func (n *Node) ready() bool {
	return n.beliefs.ready.Load() && !n.stopping.Load()
}

// serveCallers hands requests to the edge.
func (n *Node) serveCallers(w http.ResponseWriter, r *http.Request) {
	if limits := n.beliefs.limits.Load(); limits != nil && limits.BodyBytes > 0 {
		if r.ContentLength > limits.BodyBytes {
			n.refuse(w, r, edge.BodyTooLarge(), "body too large")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
	}
	if n.closed.Load() {
		w.Header()["Connection"] = []string{"close"}
		n.refuse(w, r, relay.Refusal{
			Status: http.StatusServiceUnavailable, RetryAfter: restartTime,
			Answer: model.Answer{Outcome: model.OutcomeNotRun, Reason: "the node of this VM is stopping"},
		}, "node stopping")
		return
	}
	n.edge.ServeHTTP(w, r)
}

// refuse answers a request that the edge does not see.
func (n *Node) refuse(w http.ResponseWriter, r *http.Request, refusal relay.Refusal, reason string) {
	n.config.CallerProtocol.Refuse(w, refusal)
	_ = level.Info(n.config.FailureLogger).Log("msg", story.MsgRefused, "id", n.config.CallerProtocol.ID(r), "reason", reason)
}

// watch starts to follow the store.
func (n *Node) watch() {
	n.watchers = append(n.watchers,
		roster.NewWatcher(roster.WatcherConfig{
			Table: n.config.Configurations, Name: "configuration", OnRows: n.beliefs.takeConfiguration,
			BatchDelay: configurationSettle, Wait: configurationWait, Logger: n.config.FailureLogger,
		}),
		roster.NewWatcher(roster.WatcherConfig{
			Table: n.nodes, Name: "nodes", OnRows: n.membersChanged, BatchDelay: peerSettle, Logger: n.config.FailureLogger,
		}))
	look := n.watchers[0].Refresh
	n.beliefs.lookAgain.Store(&look)
}

func (n *Node) membersChanged(p roster.Page) {
	for _, row := range p.Rows {
		n.publisher.ObserveRow(row)
	}
	if p.Whole {
		n.recall(p.Rows)
	}
	n.beliefs.takeMembers(p)
}

// checkStalls looks for requests that stay unanswered.
func (n *Node) checkStalls(ctx context.Context) {
	ticks := n.config.Clock.Subscribe(stallCheck)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			n.mu.Lock()
			admissions := n.admissions
			n.mu.Unlock()
			for _, a := range admissions {
				a.check()
			}
		}
	}
}
