package ticket

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/internal/wake"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// tickInterval is a quarter of the interval of a reader, so that a read is late by 250 ms at most.
	tickInterval = ReaderInterval / 4
	// readTimeout bounds a read of the platform or of a peer with all its attempts.
	readTimeout = 5 * time.Second
)

// PlatformReader is the part of the platform client that a keeper uses.
type PlatformReader interface {
	Head(ctx context.Context) (uint64, error)
	TicketsAfter(ctx context.Context, after uint64) (BatchMsg, error)
	SaveSnapshot(ctx context.Context, c *model.Configuration) error
}

// KeeperConfig holds what a keeper needs from outside.
type KeeperConfig struct {
	Self     model.Node
	Platform PlatformReader
	// Peers calls other nodes; nil means that only the platform is asked.
	Peers Caller
	// Clock gives the time; nil means the clock of the process.
	Clock timer.Service
	// Random spreads the reads; nil means a random seed.
	Random *rand.Rand
	// OnApply receives each configuration that is in force from now on; under load it may skip to the latest one.
	OnApply func(*model.Configuration)
	// OnReady is called once, when Ready becomes true.
	OnReady func()
	// OnReject receives input that was ignored.
	OnReject func(RejectCmd)
}

// Keeper is the shell of Module: it reads platform and peers and publishes the configuration in force.
// It is safe for concurrent use.
type Keeper struct {
	config  KeeperConfig
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   conc.WaitGroup
	changed wake.Signal
	current atomic.Pointer[model.Configuration]
	reading atomic.Bool

	mu     sync.Mutex
	module *Module
	peers  map[model.NodeRef]model.Node
	closed bool
}

// NewKeeper returns a keeper that reads until Close.
func NewKeeper(c KeeperConfig) *Keeper {
	c.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{
		config: c, ctx: ctx, cancel: cancel,
		changed: wake.New(),
		module:  New(Config{Random: c.Random}),
	}
	k.current.Store(k.module.Configuration())
	ticks := c.Clock.Subscribe(tickInterval)
	k.tasks.Go(func() { k.tick(ticks) })
	k.tasks.Go(k.publish)
	return k
}

func (c *KeeperConfig) setDefaults() {
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
func (k *Keeper) Configuration() *model.Configuration {
	return k.current.Load()
}

// Ready reports whether the node has heard the platform and enough peers to serve callers.
func (k *Keeper) Ready() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.module.Ready()
}

// Head returns the largest number that the node has heard of.
func (k *Keeper) Head() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.module.Head()
}

// After returns what a peer that has applied the given number lacks.
func (k *Keeper) After(number uint64) BatchMsg {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.module.After(number)
}

// Observe takes the number in force on a peer, from gossip.
func (k *Keeper) Observe(peer model.NodeRef, number uint64) {
	if number > k.Configuration().Number {
		k.update(HeadMsg{Source: Source{Peer: peer}, Number: number})
	}
}

// Offer takes an accepted ticket from the operator's tool, so that it is in force also when the platform goes away right
// after the acceptance. The platform's own copy wins over it if they differ.
func (k *Keeper) Offer(t model.Ticket) {
	k.update(BatchMsg{Source: Operator, Tickets: []model.Ticket{t}})
}

// SetPeers takes the other nodes that are alive, after each change of the membership.
// A starting node calls it only after its first membership sync: a node without peers is ready once the platform answered.
func (k *Keeper) SetPeers(nodes []model.Node) {
	peers := make(map[model.NodeRef]model.Node, len(nodes))
	refs := make([]model.NodeRef, 0, len(nodes))
	for _, n := range nodes {
		if n.Ref.ID != k.config.Self.Ref.ID {
			peers[n.Ref] = n
			refs = append(refs, n.Ref)
		}
	}
	k.mu.Lock()
	k.peers = peers
	k.config.Random.Shuffle(len(refs), func(i, j int) { refs[i], refs[j] = refs[j], refs[i] })
	k.mu.Unlock()
	k.update(ReaderMsg{Reader: IsReader(k.config.Self, nodes)})
	k.update(PeersMsg{Peers: refs})
}

// Close stops all reads and waits for them.
func (k *Keeper) Close() error {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.cancel()
	k.tasks.Wait()
	return nil
}

func (k *Keeper) tick(ticks *timer.Subscription) {
	defer ticks.Stop()
	k.update(TickMsg{Now: k.config.Clock.Now()})
	for {
		select {
		case now := <-ticks.C:
			k.update(TickMsg{Now: now})
		case <-k.ctx.Done():
			return
		}
	}
}

// publish hands configurations out in order and outside of the lock, so that OnApply and OnReady may call the keeper.
func (k *Keeper) publish() {
	last, ready := uint64(0), false
	for {
		select {
		case <-k.changed:
			if !ready && k.Ready() {
				ready = true
				k.config.OnReady()
			}
			if c := k.Configuration(); c.Number > last {
				last = c.Number
				k.config.OnApply(c)
			}
		case <-k.ctx.Done():
			return
		}
	}
}

func (k *Keeper) update(msg Msg) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return
	}
	ready := k.module.Ready()
	for _, cmd := range k.module.Update(msg) {
		k.carryOut(cmd)
	}
	if k.module.Ready() != ready {
		k.changed.Raise()
	}
}

// carryOut starts one effect; the caller holds the lock, so nothing starts after Close.
func (k *Keeper) carryOut(cmd Cmd) {
	switch cmd := cmd.(type) {
	case ApplyCmd:
		k.current.Store(cmd.Configuration)
		k.changed.Raise()
	case ReadHeadCmd:
		if k.reading.CompareAndSwap(false, true) {
			k.tasks.Go(k.readHead)
		}
	case FetchCmd:
		peer, known := k.peers[cmd.Source.Peer]
		k.tasks.Go(func() { k.fetch(cmd, peer, known) })
	case SaveSnapshotCmd:
		k.tasks.Go(func() { k.saveSnapshot(cmd) })
	case RejectCmd:
		k.tasks.Go(func() { k.config.OnReject(cmd) })
	}
}

func (k *Keeper) readHead() {
	defer k.reading.Store(false)
	ctx, cancel := context.WithTimeout(k.ctx, readTimeout)
	defer cancel()
	number, err := k.config.Platform.Head(ctx)
	if err != nil {
		k.update(FailedMsg{Source: Platform})
		return
	}
	k.update(HeadMsg{Source: Platform, Number: number})
}

func (k *Keeper) fetch(cmd FetchCmd, peer model.Node, known bool) {
	ctx, cancel := context.WithTimeout(k.ctx, readTimeout)
	defer cancel()
	var batch BatchMsg
	var err error
	switch {
	case cmd.Source == Platform:
		batch, err = k.config.Platform.TicketsAfter(ctx, cmd.After)
	case known && k.config.Peers != nil:
		batch, err = FetchAfter(ctx, k.config.Peers, peer, cmd.After)
	default:
		k.update(FailedMsg{Source: cmd.Source})
		return
	}
	if err != nil {
		k.update(FailedMsg{Source: cmd.Source})
		return
	}
	k.update(batch)
}

// saveSnapshot leaves a failure to the other readers and to the operator's tool, which save the same snapshot.
func (k *Keeper) saveSnapshot(cmd SaveSnapshotCmd) {
	ctx, cancel := context.WithTimeout(k.ctx, readTimeout)
	defer cancel()
	if err := k.config.Platform.SaveSnapshot(ctx, cmd.Configuration); err != nil {
		k.config.OnReject(RejectCmd{Source: Platform, Number: cmd.Configuration.Number, Reason: "the snapshot was not saved: " + err.Error()})
	}
}
