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
	"github.com/auburnwinch/auburnwinch/internal/notify"
	"github.com/auburnwinch/auburnwinch/internal/picker"
	"github.com/auburnwinch/auburnwinch/internal/purse"
	"github.com/auburnwinch/auburnwinch/internal/quota"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/roster"
	"github.com/auburnwinch/auburnwinch/internal/trace"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// reusedHeaderTimeout bounds the wait for the next response header on a reused connection between nodes. A round
	// trip between regions takes 24 ms, and agents send a response or an interim response within 100 ms.
	reusedHeaderTimeout = 600 * time.Millisecond
	// headerTimeout bounds the wait for the next response header of an agent, which sends an interim response every
	// interimInterval.
	headerTimeout   = 1500 * time.Millisecond
	interimInterval = 400 * time.Millisecond
	// relayDialTimeout is more than ten round trips between regions.
	relayDialTimeout = 400 * time.Millisecond
	// bodyIdleTimeout bounds the silence of an agent within a response body, in which it sends an empty frame every
	// interimInterval.
	bodyIdleTimeout = 2 * time.Second
	// bufferBytes is the largest response body that is buffered until it is complete; the largest downloads have half a
	// megabyte.
	bufferBytes = 1 << 20
	// maxResponseBytes is the largest response of a target, a hundred times the largest downloads. A target that
	// exceeds it is considered unhealthy.
	maxResponseBytes = 64 << 20
	// startupWait and startupPeriod let requests wait for targets while the node starts: targets send a heartbeat every
	// 1.5 s, and the records of other nodes follow within a second.
	startupWait   = 1500 * time.Millisecond
	startupPeriod = 5 * time.Second
	// publishDelay batches related changes of a record into one write.
	publishDelay = 20 * time.Millisecond
	// restartTime is the typical time until a stopped node serves again.
	restartTime = time.Second
	// targetExpiry is the time after which a target without heartbeats is removed; it is four heartbeat intervals.
	targetExpiry = 6 * time.Second
	// membersBatchDelay batches the rows of nodes that start or change together into one response of the store.
	membersBatchDelay = time.Second
	// peerBatchDelay is the batching delay of a node that reads the rows from another node, which has already batched
	// them.
	peerBatchDelay = 20 * time.Millisecond
	// configurationWait is the time between two looks at the configuration by a node that follows another one, which tells it
	// of a newer one and confirms that there is none. The others poll with readerConfigurationWait, or with readerWaitShare of
	// the bound on configurations if that is less.
	configurationWait       = 12 * time.Second
	readerConfigurationWait = 1250 * time.Millisecond
	readerWaitShare         = 0.625
	// confirmationShare is the share of the bound on configurations after which a follower no longer relies on the latest
	// confirmation. It is longer than readerWaitShare by several round trips, and the rest suffices for a call to the store.
	confirmationShare = 0.8
	// defaultConfigurationBound is the time within which a configuration must be in force unless the settings state one.
	defaultConfigurationBound = 2 * time.Second
	// configurationReadTimeout bounds one read of the operator's table, whose response may be lost too.
	configurationReadTimeout = 1500 * time.Millisecond
	// configurationBatchDelay is short because a configuration must be in force on all nodes within the bound.
	configurationBatchDelay = 50 * time.Millisecond
	// retryMargin keeps the retries at one target below its share of the fleet's retry budget, because the count is
	// lost when a target restarts.
	retryMargin = 0.8
)

// Node is the sidecar process of a target.
type Node struct {
	config        Config
	fleet         *fleetState
	metrics       *metrics
	requestLogger *requestLogger
	guard         *poisonGuard
	edge          *edge.Edge
	agent         *agent.Agent
	picker        *picker.Picker
	nodes         *feed.Table
	quotas        *quota.Client
	feed          *feed.Server
	purse         *purse.Purse
	roomLog       roomLog
	publisher     *roster.Publisher
	watchers      []*roster.Watcher
	listeners     []*listen.Listener
	cancel        context.CancelFunc
	group         conc.WaitGroup
	stopping      atomic.Bool
	// relayStopped is set during shutdown once requests of other nodes are refused.
	relayStopped atomic.Bool
	// refuseCallers is set during shutdown once new requests could no longer be completed.
	refuseCallers atomic.Bool

	startedAt time.Time
	// publishDue requests a publication of the record.
	publishDue notify.Signal
	// restored is closed once the row of an earlier process of this node has been read or is known not to exist. The
	// record is not published before.
	restored chan struct{}

	mu         sync.Mutex
	record     roster.Record
	admissions []*admission
	// held is the heartbeat that waits until the earlier record is restored, or nil.
	held *heldHeartbeat
	// published is set once the record has been handed to the publisher.
	published bool
}

// New builds the node and opens its listeners; Run serves.
func New(c Config) (*Node, error) {
	n := &Node{config: c.withDefaults(), publishDue: notify.New(), restored: make(chan struct{})}
	n.startedAt = n.config.Clock.Now()
	n.record = roster.Record{Node: n.config.Self}
	invar.OnViolation(func(v invar.Violation) {
		_ = level.Error(n.config.FailureLogger).Log("msg", "invariant violated", "module", v.Module, "detail", v.Detail)
	})
	for _, build := range []func() error{n.buildState, n.buildAgent, n.buildEdge, n.registerMetrics, n.openListeners} {
		if err := build(); err != nil {
			n.closeListeners()
			if n.quotas != nil {
				n.quotas.Close()
			}
			return nil, err
		}
	}
	return n, nil
}

func (n *Node) buildState() (err error) {
	if n.metrics, err = newMetrics(); err != nil {
		return err
	}
	n.buildPurse()
	n.picker = picker.New(picker.Config{
		Health: noEjections{}, Now: n.config.Clock.Now, Seed: n.config.Self.Ref.Incarnation, Negotiate: true,
		CheckPaths: true,
	})
	n.guard = newPoisonGuard(n.config.Clock, n.config.FailureLogger, n.publishDue)
	n.quotas = quota.New(quota.Config{
		Self: n.config.Self, Bounds: n.config.Quotas, Dial: quota.DialFunc(n.config.Dial), Logger: n.config.FailureLogger,
	})
	n.fleet = &fleetState{
		self: n.config.Self, clock: n.config.Clock, logger: n.config.FailureLogger, decode: n.config.Decode, picker: n.picker,
		builder: view.NewBuilder(n.config.Self), members: roster.NewMembers(), guard: n.guard,
		quotas: n.quotas,
	}
	n.fleet.keys.clock = n.config.Clock
	n.SetRevocation(n.config.Revocation)
	n.nodes = feed.NewTable(feed.Config{
		Store: n.config.Nodes, Self: n.config.Self.Ref.ID, Domain: n.config.Self.Domain, BatchDelay: membersBatchDelay, OnDomainRows: n.restore, OnUnfollow: n.unfollowed,
		Configurations: n.fleet, Clock: n.config.Clock, Dial: n.config.Dial, Logger: n.config.FailureLogger,
		Confirmations: n.fleet, ConfigurationRow: n.fleet.configurationRow, Region: n.config.Self.Region,
		Incarnation: n.config.Self.Ref.Incarnation, Address: n.config.Self.PeerAddress,
	})
	n.fleet.introductions.send = n.nodes.Introduce
	n.fleet.numberChanged, n.fleet.confirmed, n.fleet.fetch = n.nodes.NumberChanged, n.nodes.Confirmed, n.nodes.FetchConfiguration
	n.requestLogger = &requestLogger{ordinary: n.config.Logger, failures: n.config.FailureLogger, fleet: n.fleet, metrics: n.metrics}
	return nil
}

func (n *Node) buildAgent() (err error) {
	n.agent, err = agent.New(agent.Config{
		Self: n.config.Self.Ref, NewLimiter: n.newLimiter, OnTargets: func([]model.Target) { n.publishDue.Raise() }, Clock: n.config.Clock,
		Logger: n.config.FailureLogger, Dial: n.config.Dial, InterimInterval: interimInterval, Expiry: targetExpiry,
		Protocol: n.config.TargetProtocol, RequestLogger: n.requestLogger, PoisonDetector: n.guard, CrashCounter: n.guard, SingleTarget: true, DisableLivenessConns: true, MaxResponseBytes: maxResponseBytes, MaxUploadBytes: n.config.MemoryBytes / uploadShare, Configurations: n.fleet,
	})
	return err
}

func (n *Node) newLimiter(target model.Target, _ model.ServiceSpec) agent.Limiter {
	a := newAdmission(admissionConfig{
		slots: target.Slots, clock: n.config.Clock, retryBudget: n.retries(),
		extraRetries: func() float64 { return n.extraRetries(target.Ref.Service) },
		onChange: func(unhealthy bool, logOdds float64) {
			if unhealthy {
				n.metrics.turnedUnhealthy.Add(1)
			}
			_ = level.Info(n.config.FailureLogger).Log("msg", "target health", "service", target.Ref.Service, "target", target.Ref.ID,
				"sick", unhealthy, "log-odds", logOdds)
		},
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	// Only the admission of the current target is checked for requests that have not been answered.
	n.admissions = []*admission{a}
	return a
}

// extraRetries returns the target's share of its service's extra retries per window.
func (n *Node) extraRetries(service string) float64 {
	targets := 1
	if v := n.fleet.view.Load(); v != nil {
		if s := v.Service(service); s != nil {
			targets = max(1, len(s.Candidates))
		}
	}
	return retryMargin * float64(n.retries().Extra) / float64(targets)
}

func (n *Node) buildEdge() (err error) {
	n.edge, err = edge.New(edge.Config{
		View: &n.fleet.view, Picker: pickerAdapter{n.picker}, Tracker: pathTracker{n.picker}, Clock: n.config.Clock,
		Logger: n.config.FailureLogger, Dial: n.config.Dial, DialTimeout: relayDialTimeout, ReusedHeaderTimeout: reusedHeaderTimeout,
		HeaderTimeout: headerTimeout, BodyIdleTimeout: bodyIdleTimeout, StartupWait: startupWait, StartupPeriod: startupPeriod, Protocol: n.config.CallerProtocol, NegotiateAdmission: true, BufferBytes: bufferBytes,
		RequestLogger: n.requestLogger, PoisonDetector: n.guard, CrashCounter: n.guard, Parents: n.agent, Configurations: n.fleet,
		Notices: n.picker, Accounts: &n.fleet.keys, Quotas: quotaTaker{n.quotas}, Memory: n.purse,
	})
	n.fleet.edge = n.edge
	return err
}

func (n *Node) ready() bool {
	return n.fleet.ready.Load() && !n.stopping.Load()
}

// serveCallers enforces the body limit and passes requests to the edge.
func (n *Node) serveCallers(w http.ResponseWriter, r *http.Request) {
	if limits := n.fleet.limits.Load(); limits != nil && limits.BodyBytes > 0 {
		if r.ContentLength > limits.BodyBytes {
			n.refuse(w, r, edge.BodyTooLarge(), "body too large")
			return
		}
		// The server looks at the body of its own request to tell whether the caller waits for permission to send it.
		limited := *r
		limited.Body = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
		r = &limited
	}
	if n.refuseCallers.Load() {
		w.Header()["Connection"] = []string{"close"}
		n.refuse(w, r, relay.Refusal{
			Status: http.StatusServiceUnavailable, RetryAfter: restartTime,
			Answer: model.Answer{Outcome: model.OutcomeNotRun, Reason: "the node of this VM is stopping"},
		}, "node stopping")
		return
	}
	n.edge.ServeHTTP(w, r)
}

// refuse rejects a request before it reaches the edge.
func (n *Node) refuse(w http.ResponseWriter, r *http.Request, refusal relay.Refusal, reason string) {
	n.config.CallerProtocol.Refuse(w, refusal)
	_ = level.Info(n.config.FailureLogger).Log("msg", trace.MsgRefused, "id", n.config.CallerProtocol.ID(r), "reason", reason)
}

// watch starts the watchers of the configuration and of the node records.
func (n *Node) watch() {
	configurations := &configurationTable{
		Table: n.config.Configurations, maxWait: n.configurationWait, follows: n.toldByOthers, clock: n.config.Clock, apply: n.fleet.applyConfiguration,
		confirm:     func(at time.Time) { n.fleet.Confirm(n.fleet.Number(), at) },
		confirmedAt: n.fleet.ConfirmedAt, maxAge: func() time.Duration { return share(n.configurationBound(), confirmationShare) },
		logger: n.config.FailureLogger,
	}
	n.watchers = append(n.watchers,
		roster.NewWatcher(roster.WatcherConfig{
			Table: configurations, Name: "configuration",
			OnRows: configurations.onRows, BatchDelay: configurationBatchDelay, Wait: configurationWait,
			ReadTimeout: configurationReadTimeout, Logger: n.config.FailureLogger,
		}),
		roster.NewWatcher(roster.WatcherConfig{
			Table: n.nodes, Name: "nodes", OnRows: n.membersChanged, BatchDelay: peerBatchDelay, Logger: n.config.FailureLogger,
		}))
	refresh := n.watchers[0].Refresh
	n.fleet.refresh.Store(&refresh)
}

// configurationWait bounds the next long poll for the configuration.
func (n *Node) configurationWait() time.Duration {
	wait := min(readerConfigurationWait, share(n.configurationBound(), readerWaitShare))
	switch left := n.startupLeft(); {
	case left > 0:
		return n.fleet.keys.boundWait(max(wait, left))
	case n.nodes.Follows():
		return configurationWait // The node that it follows passes its confirmations on.
	default:
		return n.fleet.keys.boundWait(wait)
	}
}

// toldByOthers reports whether another node tells this one of newer configurations. Nodes that start together follow each other
// by turns until all know the same rows; for that time each waits at the store.
func (n *Node) toldByOthers() bool {
	return n.startupLeft() <= 0 && n.nodes.Follows()
}

// share returns the share of the duration.
func share(d time.Duration, of float64) time.Duration { return time.Duration(of * float64(d)) }

// unfollowed queries the configuration, of which no other node would tell this one. Nodes that start together follow each
// other by turns until all know the same rows; they poll once for that time.
func (n *Node) unfollowed() {
	if n.startupLeft() <= 0 {
		n.fleet.refreshConfiguration()
	}
}

// startupLeft returns the rest of startupPeriod; it is negative later.
func (n *Node) startupLeft() time.Duration {
	return startupPeriod - n.config.Clock.Now().Sub(n.startedAt)
}

func (n *Node) membersChanged(p roster.Page) {
	n.observeEra(p)
	for _, row := range p.Rows {
		if row.Forgotten {
			n.recall(row)
			continue
		}
		n.publisher.ObserveRow(row)
		n.restoreDepartures(row)
	}
	n.fleet.applyMembers(p)
}

// checkStalls periodically checks for requests that have not been answered.
func (n *Node) checkStalls(ctx context.Context) {
	ticks := n.config.Clock.Subscribe(stallCheckInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			n.mu.Lock()
			admissions := n.admissions
			n.shareQuotas()
			n.mu.Unlock()
			for _, a := range admissions {
				a.checkStalls()
			}
		}
	}
}
