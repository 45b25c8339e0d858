package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/notify"
	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"
)

const (
	// syncTimeout bounds one anti-entropy call; the records of 670 nodes take 350 KB.
	syncTimeout = 5 * time.Second
	// maxAntiEntropyCalls bounds the anti-entropy calls in progress; the module repeats one that is dropped.
	maxAntiEntropyCalls = 32
	// rejectLogRate and rejectLogBurst bound the log lines about rejected input, in lines per second and lines; the
	// counters include all of it.
	rejectLogRate  = 1
	rejectLogBurst = 10
)

// Peer is the connection of a node to the other nodes of the fleet.
type Peer struct {
	config    Config
	log       log.Logger
	logLimit  *rate.Limiter
	counters  counters
	sealer    sealer
	pool      *pool
	server    *server
	datagrams *net.UDPConn
	workers   conc.WaitGroup
	ctx       context.Context
	cancel    context.CancelFunc
	closing   sync.Once

	mu       sync.Mutex
	module   *member.Module
	snapshot atomic.Pointer[member.Snapshot]

	joined           chan struct{}
	contentChanged   notify.Signal
	ticketChanged    notify.Signal
	newerTickets     chan newerTicket
	antiEntropySlots chan struct{}
}

// New opens the listeners, starts to join the fleet in the background and returns.
func New(c Config) (*Peer, error) {
	if err := c.setDefaults(); err != nil {
		return nil, err
	}
	stream, packets, err := listen(c.Listen)
	if err != nil {
		return nil, err
	}
	p, err := newPeer(c, stream, packets)
	if err != nil {
		_ = stream.Close()
		_ = packets.Close()
		return nil, err
	}
	p.refreshSnapshot()
	for _, work := range []func(){p.server.accept, p.receive, p.tick, p.notify, p.join} {
		p.workers.Go(work)
	}
	if c.OnNewerTicket != nil {
		p.workers.Go(p.reportNewerTickets)
	}
	return p, nil
}

func newPeer(c Config, stream net.Listener, packets *net.UDPConn) (*Peer, error) {
	if c.Self.PeerAddress == "" {
		c.Self.PeerAddress = stream.Addr().String()
	}
	if err := checkAdvertised(c.Self.PeerAddress); err != nil {
		return nil, err
	}
	seed := c.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	p := &Peer{
		config: c, log: c.Logger, datagrams: packets, sealer: newSealer(c.Secret, c.AcceptedSecrets),
		logLimit: rate.NewLimiter(rejectLogRate, rejectLogBurst),
		module:   member.New(member.Config{Self: c.Self, Seed: seed, Now: c.Clock.Now()}),
		joined:   make(chan struct{}), contentChanged: notify.New(), ticketChanged: notify.New(),
		newerTickets: make(chan newerTicket, newerTicketQueue), antiEntropySlots: make(chan struct{}, maxAntiEntropyCalls),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.pool = newPool(p.ctx, c, &p.counters, p.reject)
	p.server = &server{
		listener: stream, secret: c.Secret, accepted: c.AcceptedSecrets, tls: c.TLS, counters: &p.counters, reject: p.reject,
		rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{}),
	}
	return p, p.registerServices()
}

// Self returns this node with the addresses in use. Its incarnation may rise until Joined is closed.
func (p *Peer) Self() model.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.module.Self()
}

// Joined returns a channel that is closed when the peer has the records of another node, or started as the first node.
func (p *Peer) Joined() <-chan struct{} { return p.joined }

// SetLocal replaces the state that the node publishes about itself. Snapshot includes it immediately; a ticket number
// below the current one is ignored.
func (p *Peer) SetLocal(local member.LocalState) {
	p.execute(p.update(member.LocalMsg{Now: p.config.Clock.Now(), Local: local}))
	p.refreshSnapshot()
}

// Snapshot returns the current membership; it is immutable.
func (p *Peer) Snapshot() *member.Snapshot { return p.snapshot.Load() }

// Stats returns the counters of control traffic.
func (p *Peer) Stats() Stats { return p.counters.snapshot() }

// State returns the state for the state dump.
func (p *Peer) State() State {
	p.mu.Lock()
	members := p.module.State()
	p.mu.Unlock()
	return State{Members: members, Traffic: p.Stats(), Connections: p.pool.size(), Inbound: p.server.size()}
}

// Call runs a net/rpc method on another node. The call is sent at most once; ErrUnsent reports that it was not sent,
// while after ErrConnectionLost or a context error it may have run.
func (p *Peer) Call(ctx context.Context, node model.Node, method string, args, reply any) error {
	if p.ctx.Err() != nil {
		return ErrClosed
	}
	if node.PeerAddress == "" {
		return eris.Wrapf(ErrUnsent, "node %s has no peer address", node.Ref)
	}
	return p.pool.call(ctx, node.PeerAddress, method, args, reply)
}

// Close announces the exit to the fleet, stops all traffic and waits for the goroutines of the peer.
func (p *Peer) Close() error {
	p.closing.Do(func() {
		p.execute(p.update(member.LeaveMsg{Now: p.config.Clock.Now()}))
		p.stop()
	})
	return nil
}

// stop ends all traffic without announcing the exit, like a crash.
func (p *Peer) stop() {
	p.cancel()
	_ = p.datagrams.Close()
	p.pool.close()
	p.server.close()
	p.workers.Wait()
	p.server.workers.Wait()
}

func (p *Peer) registerServices() error {
	for _, s := range append([]Service{{Name: "Peer", Receiver: &receiver{peer: p}}}, p.config.Services...) {
		if err := p.server.rpc.RegisterName(s.Name, s.Receiver); err != nil {
			return eris.Wrapf(err, "register the RPC service %s", s.Name)
		}
	}
	return nil
}

func (p *Peer) tick() {
	ticks := p.config.Clock.Subscribe(member.TickInterval)
	defer ticks.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticks.C:
			p.execute(p.update(member.TickMsg{Now: p.config.Clock.Now()}))
		}
	}
}

func (p *Peer) update(msg member.Msg) []member.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	start := time.Now()
	defer func() { p.counters.busy.Add(uint64(time.Since(start))) }()
	return p.module.Update(msg)
}

func (p *Peer) isJoined() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.module.Joined()
}

// execute executes commands in order; calls to other nodes run in the background.
func (p *Peer) execute(cmds []member.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case member.SendCmd:
			p.send(cmd)
		case member.SyncCmd:
			p.goAntiEntropy(func() { p.runSync(cmd) })
		case member.FetchCmd:
			p.goAntiEntropy(func() { p.runFetch(cmd) })
		case member.ChangedCmd:
			p.signalChange(cmd)
		case member.NewerTicketCmd:
			p.queueNewerTicket(cmd)
		case member.ProcessReplacedCmd:
			p.reportReplaced(cmd)
		case member.RejectedCmd:
			p.reject(cmd.Source, cmd.Err)
		}
	}
}

// goAntiEntropy runs an anti-entropy call in the background unless too many are in progress.
func (p *Peer) goAntiEntropy(run func()) {
	if p.ctx.Err() != nil {
		return
	}
	select {
	case p.antiEntropySlots <- struct{}{}:
		p.workers.Go(func() {
			defer func() { <-p.antiEntropySlots }()
			run()
		})
	default:
	}
}

func (p *Peer) runSync(cmd member.SyncCmd) {
	var reply member.SyncReply
	if p.callAntiEntropy(cmd.Address, "Peer.Sync", cmd.Request, &reply) {
		p.execute(p.update(member.SyncReplyMsg{Now: p.config.Clock.Now(), Address: cmd.Address, Reply: reply}))
	}
}

func (p *Peer) runFetch(cmd member.FetchCmd) {
	var reply member.FetchReply
	if p.callAntiEntropy(cmd.Address, "Peer.Fetch", cmd.Request, &reply) {
		p.execute(p.update(member.FetchReplyMsg{Now: p.config.Clock.Now(), Gossip: cmd.Gossip, Reply: reply}))
	}
}

func (p *Peer) callAntiEntropy(address, method string, request, reply any) bool {
	ctx, cancel := context.WithTimeout(p.ctx, syncTimeout)
	defer cancel()
	if err := p.pool.call(ctx, address, method, request, reply); err != nil {
		level.Debug(p.log).Log("msg", "anti-entropy call failed", "method", method, "address", address, "err", err)
		return false
	}
	return true
}

func (p *Peer) signalChange(cmd member.ChangedCmd) {
	if cmd.Content {
		p.contentChanged.Raise()
	} else {
		p.ticketChanged.Raise()
	}
}

func (p *Peer) queueNewerTicket(cmd member.NewerTicketCmd) {
	if p.config.OnNewerTicket == nil {
		return
	}
	select {
	case p.newerTickets <- newerTicket{peer: cmd.Peer, number: cmd.Number}:
	default:
	}
}

func (p *Peer) reportReplaced(cmd member.ProcessReplacedCmd) {
	if p.logLimit.Allow() {
		level.Error(p.log).Log("msg", "another process runs under this node ID; stop one of them", "by", cmd.By)
	}
	if p.config.OnReplaced != nil {
		p.config.OnReplaced(cmd.By)
	}
}

// reject counts and logs rejected input; connections that end normally are not counted.
func (p *Peer) reject(source string, err error) {
	switch {
	case errors.Is(err, ErrMalformed):
		p.counters.malformed.Add(1)
	case errors.Is(err, ErrForged):
		p.counters.forged.Add(1)
	case errors.Is(err, ErrOversized):
		p.counters.oversized.Add(1)
	case errors.Is(err, ErrStale):
		p.counters.stale.Add(1)
	default:
		return
	}
	if p.logLimit.Allow() {
		level.Warn(p.log).Log("msg", "rejected input from peer", "source", source, "err", err)
	}
}
