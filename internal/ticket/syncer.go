package ticket

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/notify"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// tickInterval is a quarter of ReaderInterval, so that a read is at most 250 ms late.
	tickInterval = ReaderInterval / 4
	// readTimeout bounds a read from the platform or from a peer, including all its attempts.
	readTimeout = 5 * time.Second
)

// PlatformReader is the part of the platform client that a Syncer uses.
type PlatformReader interface {
	Head(ctx context.Context) (uint64, error)
	TicketsAfter(ctx context.Context, after uint64) (BatchMsg, error)
	SaveSnapshot(ctx context.Context, c *model.Configuration) error
}

// SyncerConfig configures a Syncer.
type SyncerConfig struct {
	Self     model.Node
	Platform PlatformReader
	// Peers calls other nodes; nil means that only the platform is asked.
	Peers Caller
	// Clock is the time source; nil selects the system clock.
	Clock timer.Service
	// Random adds jitter to the reads; nil selects a random seed.
	Random *rand.Rand
	// OnApply receives each configuration when it comes into force; under load it may skip to the latest one.
	OnApply func(*model.Configuration)
	// OnReady is called once, when Ready becomes true.
	OnReady func()
	// OnReject receives input that was ignored.
	OnReject func(RejectCmd)
}

// Syncer runs Module: it reads from the platform and from peers and publishes the configuration in force. It is safe
// for concurrent use.
type Syncer struct {
	config  SyncerConfig
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   conc.WaitGroup
	changed notify.Signal
	current atomic.Pointer[model.Configuration]
	reading atomic.Bool

	mu     sync.Mutex
	module *Module
	peers  map[model.NodeRef]model.Node
	closed bool
}

// NewSyncer returns a Syncer that reads until Close is called.
func NewSyncer(c SyncerConfig) *Syncer {
	c.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Syncer{
		config: c, ctx: ctx, cancel: cancel,
		changed: notify.New(),
		module:  New(Config{Random: c.Random}),
	}
	s.current.Store(s.module.Configuration())
	ticks := c.Clock.Subscribe(tickInterval)
	s.tasks.Go(func() { s.runTicks(ticks) })
	s.tasks.Go(s.publish)
	return s
}

func (c *SyncerConfig) setDefaults() {
	if c.Clock == nil {
		c.Clock = timer.NewReal()
	}
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.OnApply == nil {
		c.OnApply = func(*model.Configuration) {}
	}
	if c.OnReady == nil {
		c.OnReady = func() {}
	}
	if c.OnReject == nil {
		c.OnReject = func(RejectCmd) {}
	}
}

// Configuration returns the configuration in force; it must not be modified.
func (s *Syncer) Configuration() *model.Configuration {
	return s.current.Load()
}

// Ready reports whether the platform and enough peers have answered for the node to serve callers.
func (s *Syncer) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.module.Ready()
}

// Head returns the largest ticket number that the node knows of.
func (s *Syncer) Head() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.module.Head()
}

// After returns the tickets that a peer at the given number is missing, or a snapshot.
func (s *Syncer) After(number uint64) BatchMsg {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.module.After(number)
}

// Observe handles a number in force on a peer, as announced by gossip.
func (s *Syncer) Observe(peer model.NodeRef, number uint64) {
	if number > s.Configuration().Number {
		s.update(HeadMsg{Source: Source{Peer: peer}, Number: number})
	}
}

// Offer takes an accepted ticket from the operator's tool, so that it comes into force even if the platform becomes
// unavailable right after accepting it. If the platform's copy differs, that copy wins.
func (s *Syncer) Offer(t model.Ticket) {
	s.update(BatchMsg{Source: Operator, Tickets: []model.Ticket{t}})
}

// SetPeers sets the other live nodes; it is called after each membership change. A starting node must call it only
// after its first membership sync, because a node without peers is ready as soon as the platform has answered.
func (s *Syncer) SetPeers(nodes []model.Node) {
	peers := make(map[model.NodeRef]model.Node, len(nodes))
	refs := make([]model.NodeRef, 0, len(nodes))
	for _, n := range nodes {
		if n.Ref.ID != s.config.Self.Ref.ID {
			peers[n.Ref] = n
			refs = append(refs, n.Ref)
		}
	}
	s.mu.Lock()
	s.peers = peers
	s.config.Random.Shuffle(len(refs), func(i, j int) { refs[i], refs[j] = refs[j], refs[i] })
	s.mu.Unlock()
	s.update(ReaderMsg{Reader: IsReader(s.config.Self, nodes)})
	s.update(PeersMsg{Peers: refs})
}

// Close stops all reads and waits for them to end.
func (s *Syncer) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.tasks.Wait()
	return nil
}

func (s *Syncer) runTicks(ticks *timer.Subscription) {
	defer ticks.Stop()
	s.update(TickMsg{Now: s.config.Clock.Now()})
	for {
		select {
		case now := <-ticks.C:
			s.update(TickMsg{Now: now})
		case <-s.ctx.Done():
			return
		}
	}
}

// publish delivers configurations in order and without holding the lock, so that OnApply and OnReady may call the
// Syncer.
func (s *Syncer) publish() {
	last, ready := uint64(0), false
	for {
		select {
		case <-s.changed:
			if !ready && s.Ready() {
				ready = true
				s.config.OnReady()
			}
			if c := s.Configuration(); c.Number > last {
				last = c.Number
				s.config.OnApply(c)
			}
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Syncer) update(msg Msg) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	ready := s.module.Ready()
	for _, cmd := range s.module.Update(msg) {
		s.execute(cmd)
	}
	if s.module.Ready() != ready {
		s.changed.Raise()
	}
}

// execute starts one command; the caller holds the lock, so nothing starts after Close.
func (s *Syncer) execute(cmd Cmd) {
	switch cmd := cmd.(type) {
	case ApplyCmd:
		s.current.Store(cmd.Configuration)
		s.changed.Raise()
	case ReadHeadCmd:
		if s.reading.CompareAndSwap(false, true) {
			s.tasks.Go(s.readHead)
		}
	case FetchCmd:
		peer, known := s.peers[cmd.Source.Peer]
		s.tasks.Go(func() { s.fetch(cmd, peer, known) })
	case SaveSnapshotCmd:
		s.tasks.Go(func() { s.saveSnapshot(cmd) })
	case RejectCmd:
		s.tasks.Go(func() { s.config.OnReject(cmd) })
	}
}

func (s *Syncer) readHead() {
	defer s.reading.Store(false)
	ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
	defer cancel()
	number, err := s.config.Platform.Head(ctx)
	if err != nil {
		s.update(FailedMsg{Source: Platform})
		return
	}
	s.update(HeadMsg{Source: Platform, Number: number})
}

func (s *Syncer) fetch(cmd FetchCmd, peer model.Node, known bool) {
	ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
	defer cancel()
	var batch BatchMsg
	var err error
	switch {
	case cmd.Source == Platform:
		batch, err = s.config.Platform.TicketsAfter(ctx, cmd.After)
	case known && s.config.Peers != nil:
		batch, err = FetchAfter(ctx, s.config.Peers, peer, cmd.After)
	default:
		s.update(FailedMsg{Source: cmd.Source})
		return
	}
	if err != nil {
		s.update(FailedMsg{Source: cmd.Source})
		return
	}
	s.update(batch)
}

// saveSnapshot does not retry after a failure: the other readers and the operator's tool save the same snapshot.
func (s *Syncer) saveSnapshot(cmd SaveSnapshotCmd) {
	ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
	defer cancel()
	if err := s.config.Platform.SaveSnapshot(ctx, cmd.Configuration); err != nil {
		s.config.OnReject(RejectCmd{Source: Platform, Number: cmd.Configuration.Number, Reason: "the snapshot was not saved: " + err.Error()})
	}
}
