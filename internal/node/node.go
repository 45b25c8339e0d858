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
	"github.com/auburnwinch/auburnwinch/internal/once"
	"github.com/auburnwinch/auburnwinch/internal/peer"
	"github.com/auburnwinch/auburnwinch/internal/picker"
	"github.com/auburnwinch/auburnwinch/internal/router"
	"github.com/auburnwinch/auburnwinch/internal/secret"
	"github.com/auburnwinch/auburnwinch/internal/store"
	"github.com/auburnwinch/auburnwinch/internal/ticket"
	"github.com/auburnwinch/auburnwinch/internal/view"
	"github.com/auburnwinch/auburnwinch/internal/wake"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Node is the process that runs on each VM.
type Node struct {
	config Config
	logger log.Logger
	self   model.Node
	began  time.Time

	store     *store.Store
	fleet     *fleet
	viewer    *viewer
	record    *ownRecord
	tickets   *ticket.Keeper
	edge      *edge.Edge
	agent     *agent.Agent
	picker    *picker.Picker
	paths     *eject.Tracker
	targets   *eject.Tracker
	owner     *once.Owner
	ledger    *once.Ledger
	suspicion *suspicion
	peer      *peer.Peer
	peers     *lateCaller
	meter     *meter.Meter

	tls       *keyFiles
	listeners listeners
	cancel    context.CancelFunc
	group     conc.WaitGroup
	// unrenewed is closed when the registry row is not renewed any more.
	unrenewed chan struct{}
	closing   sync.Once
	verdicts  *verdictCounts
	detection *meter.DurationHistogram
	accepted  *secret.Set
	// rebuilds counts the views that were published.
	rebuilds atomic.Uint64
	// joined tells that the membership is known; before, an empty list of peers says nothing.
	joined atomic.Bool
}

type listeners struct {
	callers *listen.Listener
	relay   *listen.Listener
	local   *listen.Listener
	admin   *listen.Listener
}

// New builds all parts and opens the listeners; Run serves.
func New(c Config) (*Node, error) {
	c = c.withDefaults()
	n := &Node{
		config: c, began: c.Clock.Now(), fleet: &fleet{}, record: &ownRecord{}, peers: &lateCaller{},
		verdicts: &verdictCounts{}, unrenewed: make(chan struct{}),
	}
	n.self = c.Settings.Self(uint64(n.began.UnixMicro()))
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

// Self returns the node as it announces itself to the fleet.
func (n *Node) Self() model.Node {
	return n.self
}

func (n *Node) buildTLS() (err error) {
	n.tls, err = openKeyFiles(n.config.Settings.TLS, n.config.Clock, n.logger)
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
	n.detection = n.meter.Histogram("auburnwinch.eject.detection", "time from the first symptom or claim to the ejection")
	return nil
}

func (n *Node) buildHealth() error {
	n.paths = eject.NewTracker(eject.TrackerConfig{
		Config:    eject.Config{Observer: eject.ObserverEdge, Seed: n.self.Ref.Incarnation},
		Clock:     n.config.Clock,
		OnVerdict: n.logVerdict("edge"),
	})
	n.targets = eject.NewTracker(eject.TrackerConfig{
		Config:    eject.Config{Observer: eject.ObserverAgent, Seed: n.self.Ref.Incarnation},
		Clock:     n.config.Clock,
		OnClaims:  n.record.setClaims,
		OnVerdict: n.logVerdict("agent"),
	})
	n.picker = picker.New(picker.Config{Health: n.paths, Now: n.config.Clock.Now, Seed: n.self.Ref.Incarnation})
	n.suspicion = newSuspicion(&suspicion{
		self: n.self.Ref, peers: n.peers, fleet: n.fleet, clock: n.config.Clock, logger: n.logger, publish: n.record.setPoison,
		runs: func(fingerprint uint64) bool { return n.agent.IsRunning(fingerprint) },
	})
	return nil
}

func (n *Node) buildKeys() (err error) {
	n.ledger, err = once.NewLedger(once.LedgerConfig{Self: n.self.Ref, Clock: n.config.Clock})
	if err != nil {
		return err
	}
	n.owner, err = once.NewOwner(once.Config{
		Self: n.self, Peers: n.peers, Claims: claims{n.store}, Directory: n.fleet, Ledger: n.ledger, Clock: n.config.Clock,
	})
	return err
}

func (n *Node) buildAgent() (err error) {
	n.agent, err = agent.New(agent.Config{
		Self: n.self.Ref, View: &n.fleet.view, Secret: n.secret(), Accepted: n.accepted, NewLimiter: newAdmission,
		Tracker: agentTracker{n.targets}, KeyLedger: ledger{n.ledger}, PoisonDetector: n.suspicion,
		OnTargets: n.record.setTargets, Clock: n.config.Clock, Logger: n.logger, Dial: n.config.Dial,
	})
	return err
}

func (n *Node) buildEdge() (err error) {
	n.edge, err = edge.New(edge.Config{
		View: &n.fleet.view, Secret: n.secret(), Picker: picks{n.picker}, Tracker: edgeTracker{n.paths},
		KeyOwner: keys{n.owner}, PoisonDetector: n.suspicion, Clock: n.config.Clock, Logger: n.logger, Dial: relayDial(n.config.Dial, n.tls.source()),
	})
	return err
}

func (n *Node) buildTickets() error {
	changed := wake.New()
	n.tickets = ticket.NewKeeper(ticket.KeeperConfig{
		Self: n.self, Platform: n.store, Peers: n.peers, Clock: n.config.Clock, OnReject: n.logRejected,
		OnApply: func(*model.Configuration) { changed.Raise() }, OnReady: changed.Raise,
	})
	n.viewer = newViewer(&viewer{
		self: n.self, clock: n.config.Clock, source: n.tickets, route: n.applyConfiguration, publish: n.publishView, wake: changed,
	})
	return nil
}

func (n *Node) buildPeer() (err error) {
	n.peer, err = peer.New(peer.Config{
		Self: n.self, Secret: n.secret(), AcceptedSecrets: n.accepted, TLS: n.tls.source(), Seeds: n.config.Settings.Seeds, RegisteredNodes: n.store.Nodes,
		Services: []peer.Service{
			{Name: once.ServiceName, Receiver: once.NewKeyService(n.owner, n.ledger)},
			{Name: ticket.RPCService, Receiver: &ticket.Receiver{Keeper: n.tickets}},
			{Name: poisonService, Receiver: &Poison{suspicion: n.suspicion}},
		},
		OnChange: n.membersChanged, OnNewerTicket: func(p model.Node, number uint64) { n.tickets.Observe(p.Ref, number) }, Clock: n.config.Clock, Logger: n.logger,
		Dial: n.config.Dial, DropDatagram: n.config.DropDatagram,
	})
	if err != nil {
		return eris.Wrap(err, "open the peers' listener")
	}
	n.peers.connect(n.peer)
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

func (n *Node) membersChanged(snapshot *member.Snapshot) {
	n.fleet.members.Store(snapshot)
	n.viewer.setMembers(snapshot)
	if n.joined.Load() {
		n.tickets.SetPeers(nodesOf(snapshot))
	}
	n.suspicion.learn(snapshot)
}

// applyConfiguration routes requests by the configuration and publishes its number.
func (n *Node) applyConfiguration(c *model.Configuration) {
	table, err := router.New(c)
	if err != nil {
		_ = level.Error(n.logger).Log("msg", "routes of the configuration are invalid; the previous routes stay", "number", c.Number, "err", err)
		return
	}
	n.edge.SetRoutes(table)
	n.record.setTicket(c.Number)
	_ = level.Info(n.logger).Log("msg", "configuration in force", "number", c.Number, "services", len(c.Services), "routes", table.Len())
}

// publishView hands a new view to the request path.
func (n *Node) publishView(v *view.View) {
	n.paths.SetView(v)
	n.targets.SetView(v)
	n.picker.SetView(v)
	n.fleet.view.Store(v)
	n.rebuilds.Add(1)
}

// nodesOf returns the nodes that stay; a leaving node must not be counted on to read the platform.
func nodesOf(snapshot *member.Snapshot) []model.Node {
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
			n.detection.Record(cmd.DetectionTime)
		}
		_ = level.Info(n.logger).Log("msg", "verdict changed", "role", role, "service", cmd.Target.Service, "target", cmd.Target.ID,
			"from", cmd.From, "to", cmd.To, "severity", cmd.Severity, "stood", cmd.DetectionTime)
	}
}

func (n *Node) logViolation(v invar.Violation) {
	_ = level.Error(n.logger).Log("msg", "invariant violated", "module", v.Module, "detail", v.Detail)
}
