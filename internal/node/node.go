package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/eject"
	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/internal/listen"
	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/meter"
	"github.com/auburnwinch/auburnwinch/internal/notify"
	"github.com/auburnwinch/auburnwinch/internal/once"
	"github.com/auburnwinch/auburnwinch/internal/peer"
	"github.com/auburnwinch/auburnwinch/internal/picker"
	"github.com/auburnwinch/auburnwinch/internal/router"
	"github.com/auburnwinch/auburnwinch/internal/secret"
	"github.com/auburnwinch/auburnwinch/internal/store"
	"github.com/auburnwinch/auburnwinch/internal/ticket"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Node is the process that runs on each VM.
type Node struct {
	config    Config
	logger    log.Logger
	self      model.Node
	startedAt time.Time

	store          *store.Store
	fleet          *fleet
	viewUpdater    *viewUpdater
	record         *localRecord
	tickets        *ticket.Syncer
	edge           *edge.Edge
	agent          *agent.Agent
	picker         *picker.Picker
	pathTracker    *eject.Tracker
	targetTracker  *eject.Tracker
	owner          *once.Owner
	ledger         *once.Ledger
	poisonDetector *poisonDetector
	peer           *peer.Peer
	peerCaller     *deferredCaller
	meter          *meter.Meter

	certs     *certReloader
	listeners listeners
	cancel    context.CancelFunc
	group     conc.WaitGroup
	// registrationDone is closed when the registry row is no longer renewed.
	registrationDone chan struct{}
	closeOnce        sync.Once
	verdicts         *verdictCounts
	detectionTime    *meter.DurationHistogram
	accepted         *secret.Set
	// viewBuilds counts the published views.
	viewBuilds atomic.Uint64
	// joined is set once the membership is known; until then an empty list of peers has no meaning.
	joined atomic.Bool
}

type listeners struct {
	callers *listen.Listener
	relay   *listen.Listener
	local   *listen.Listener
	admin   *listen.Listener
}

// New creates all components and opens the listeners; Run serves.
func New(c Config) (*Node, error) {
	c = c.withDefaults()
	n := &Node{
		config: c, startedAt: c.Clock.Now(), fleet: &fleet{}, record: &localRecord{}, peerCaller: &deferredCaller{},
		verdicts: &verdictCounts{}, registrationDone: make(chan struct{}),
	}
	n.self = c.Settings.Self(uint64(n.startedAt.UnixMicro()))
	n.logger = log.With(c.Logger, "node", n.self.Ref.ID)
	n.accepted = acceptedSecrets(c)
	invar.OnViolation(n.logViolation)
	for _, build := range []func() error{
		n.buildTLS, n.buildStore, n.buildMeter, n.buildHealth, n.buildKeys, n.buildAgent, n.buildEdge, n.openListeners, n.buildTickets,
		n.buildPeer, n.registerMetrics,
	} {
		if err := build(); err != nil {
			n.close()
			return nil, err
		}
	}
	return n, nil
}

// Self returns the node as it is announced to the fleet.
func (n *Node) Self() model.Node {
	return n.self
}

func (n *Node) buildTLS() (err error) {
	n.certs, err = newCertReloader(n.config.Settings.TLS, n.config.Clock, n.logger)
	return err
}

func (n *Node) buildStore() (err error) {
	n.store, err = store.New(store.Config{Platform: n.config.Settings.Platform, Clock: n.config.Clock})
	return err
}

func (n *Node) buildMeter() (err error) {
	if n.meter, err = meter.New(); err != nil {
		return err
	}
	n.detectionTime = n.meter.Histogram("auburnwinch.eject.detection", "time from the first symptom or claim to the ejection")
	return nil
}

func (n *Node) buildHealth() error {
	n.pathTracker = eject.NewTracker(eject.TrackerConfig{
		Config:    eject.Config{Observer: eject.ObserverEdge, Seed: n.self.Ref.Incarnation},
		Clock:     n.config.Clock,
		OnVerdict: n.logVerdict("edge"),
	})
	n.targetTracker = eject.NewTracker(eject.TrackerConfig{
		Config:    eject.Config{Observer: eject.ObserverAgent, Seed: n.self.Ref.Incarnation},
		Clock:     n.config.Clock,
		OnClaims:  n.record.setClaims,
		OnVerdict: n.logVerdict("agent"),
	})
	n.picker = picker.New(picker.Config{Health: n.pathTracker, Now: n.config.Clock.Now, Seed: n.self.Ref.Incarnation})
	n.poisonDetector = newPoisonDetector(&poisonDetector{
		self: n.self.Ref, peers: n.peerCaller, fleet: n.fleet, clock: n.config.Clock, logger: n.logger, publish: n.record.setPoison,
		isRunning: func(fingerprint uint64) bool { return n.agent.IsRunning(fingerprint) },
	})
	return nil
}

func (n *Node) buildKeys() (err error) {
	n.ledger, err = once.NewLedger(once.LedgerConfig{Self: n.self.Ref, Clock: n.config.Clock})
	if err != nil {
		return err
	}
	n.owner, err = once.NewOwner(once.Config{
		Self: n.self, Peers: n.peerCaller, Claims: keyClaimsAdapter{n.store}, Directory: n.fleet, Ledger: n.ledger, Clock: n.config.Clock,
	})
	return err
}

func (n *Node) buildAgent() (err error) {
	n.agent, err = agent.New(agent.Config{
		Self: n.self.Ref, View: &n.fleet.view, Secret: n.secret(), Accepted: n.accepted, NewLimiter: newLimiter,
		Tracker: agentTracker{n.targetTracker}, KeyLedger: keyLedgerAdapter{n.ledger}, PoisonDetector: n.poisonDetector,
		OnTargets: n.record.setTargets, Clock: n.config.Clock, Logger: n.logger, Dial: n.config.Dial,
	})
	return err
}

func (n *Node) buildEdge() (err error) {
	n.edge, err = edge.New(edge.Config{
		View: &n.fleet.view, Secret: n.secret(), Picker: pickerAdapter{n.picker}, Tracker: edgeTracker{n.pathTracker},
		KeyOwner: keyOwnerAdapter{n.owner}, PoisonDetector: n.poisonDetector, Clock: n.config.Clock, Logger: n.logger, Dial: relayDial(n.config.Dial, n.certs.clientConfig()),
	})
	return err
}

func (n *Node) buildTickets() error {
	changed := notify.New()
	n.tickets = ticket.NewSyncer(ticket.SyncerConfig{
		Self: n.self, Platform: n.store, Peers: n.peerCaller, Clock: n.config.Clock, OnReject: n.logRejected,
		OnApply: func(*model.Configuration) { changed.Raise() }, OnReady: changed.Raise,
	})
	n.viewUpdater = newViewUpdater(&viewUpdater{
		self: n.self, clock: n.config.Clock, source: n.tickets, applyRoutes: n.applyConfiguration, publish: n.publishView, wake: changed,
	})
	return nil
}

func (n *Node) buildPeer() (err error) {
	n.peer, err = peer.New(peer.Config{
		Self: n.self, Secret: n.secret(), AcceptedSecrets: n.accepted, TLS: n.certs.clientConfig(), Seeds: n.config.Settings.Seeds, RegisteredNodes: n.store.Nodes,
		Services: []peer.Service{
			{Name: once.ServiceName, Receiver: once.NewKeyService(n.owner, n.ledger)},
			{Name: ticket.RPCService, Receiver: &ticket.Receiver{Syncer: n.tickets}},
			{Name: poisonService, Receiver: &PoisonReceiver{detector: n.poisonDetector}},
		},
		OnChange: n.onMembersChanged, OnNewerTicket: func(p model.Node, number uint64) { n.tickets.Observe(p.Ref, number) }, Clock: n.config.Clock, Logger: n.logger,
		Dial: n.config.Dial, DropDatagram: n.config.DropDatagram,
	})
	if err != nil {
		return eris.Wrap(err, "open the peer listener")
	}
	n.peerCaller.connect(n.peer)
	n.record.connect(n.peer)
	return nil
}

func (n *Node) secret() []byte {
	return []byte(n.config.Settings.FleetSecret)
}

func acceptedSecrets(c Config) *secret.Set {
	set := secret.Config{Clock: c.Clock}
	for _, s := range c.Settings.AcceptedFleetSecrets {
		set.Secrets = append(set.Secrets, []byte(s))
	}
	return secret.NewSet(set)
}

func (n *Node) onMembersChanged(snapshot *member.Snapshot) {
	n.fleet.members.Store(snapshot)
	n.viewUpdater.setMembers(snapshot)
	if n.joined.Load() {
		n.tickets.SetPeers(stayingNodes(snapshot))
	}
	n.poisonDetector.mergeRecords(snapshot)
}

// applyConfiguration routes requests by the configuration and publishes its number.
func (n *Node) applyConfiguration(c *model.Configuration) {
	table, err := router.New(c)
	if err != nil {
		_ = level.Error(n.logger).Log("msg", "the configuration has invalid routes; the previous routes stay in use", "number", c.Number, "err", err)
		return
	}
	n.edge.SetRoutes(table)
	n.record.setTicket(c.Number)
	_ = level.Info(n.logger).Log("msg", "configuration in force", "number", c.Number, "services", len(c.Services), "routes", table.Len())
}

// publishView passes a new view to the request path.
func (n *Node) publishView(v *view.View) {
	n.pathTracker.SetView(v)
	n.targetTracker.SetView(v)
	n.picker.SetView(v)
	n.fleet.view.Store(v)
	n.viewBuilds.Add(1)
}

// stayingNodes returns the nodes that are not leaving; a leaving node must not be relied on to read the platform.
func stayingNodes(snapshot *member.Snapshot) []model.Node {
	nodes := make([]model.Node, 0, len(snapshot.Records))
	for i := range snapshot.Records {
		if !snapshot.Records[i].Leaving {
			nodes = append(nodes, snapshot.Records[i].Node)
		}
	}
	return nodes
}

func (n *Node) logRejected(cmd ticket.RejectCmd) {
	_ = level.Warn(n.logger).Log("msg", "configuration rejected", "source", cmd.Source, "number", cmd.Number, "reason", cmd.Reason)
}

func (n *Node) logVerdict(role string) func(eject.VerdictCmd) {
	return func(cmd eject.VerdictCmd) {
		n.verdicts.add(cmd)
		if cmd.To == eject.StateEjected {
			n.detectionTime.Record(cmd.DetectionTime)
		}
		_ = level.Info(n.logger).Log("msg", "verdict changed", "role", role, "service", cmd.Target.Service, "target", cmd.Target.ID,
			"from", cmd.From, "to", cmd.To, "severity", cmd.Severity, "stood", cmd.DetectionTime)
	}
}

func (n *Node) logViolation(v invar.Violation) {
	_ = level.Error(n.logger).Log("msg", "invariant violated", "module", v.Module, "detail", v.Detail)
}
