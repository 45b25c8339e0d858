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
	"github.com/auburnwinch/auburnwinch/internal/wake"
	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"
)

const (
	// syncTimeout bounds one call of anti-entropy; the records of 670 nodes take 350 KB.
	syncTimeout = 5 * time.Second
	// maxExchanges bounds the calls of anti-entropy in progress; the module repeats one that is dropped.
	maxExchanges = 32
	// refusalLogRate and refusalLogBurst bound the log lines about refused bytes, per second; all are counted.
	refusalLogRate  = 1
	refusalLogBurst = 10
)

// Peer is the node's connection to the fleet.
type Peer struct {
	config   Config
	log      log.Logger
	logLimit *rate.Limiter
	counters counters
	sealer   sealer
	pool     *pool
	server   *server
	packets  *net.UDPConn
	workers  conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
	closing  sync.Once

	mu       sync.Mutex
	module   *member.Module
	snapshot atomic.Pointer[member.Snapshot]

	joined         chan struct{}
	contentChanged wake.Signal
	numberChanged  wake.Signal
	behind         chan behindReport
	exchanges      chan struct{}
}

// New opens the listeners, starts joining the fleet and returns at once.
func New(c Config) (*Peer, error) {
	if err := c.complete(); err != nil {
		return nil, err
	}
	stream, packets, err := listen(c.Listen)
	if err != nil {
		return nil, err
	}
	p, err := assemble(c, stream, packets)
	if err != nil {
		_ = stream.Close()
		_ = packets.Close()
		return nil, err
	}
	p.refresh()
	for _, work := range []func(){p.server.accept, p.receive, p.tick, p.notify, p.join} {
		p.workers.Go(work)
	}
	if c.OnNewerTicket != nil {
		p.workers.Go(p.reportBehind)
	}
	return p, nil
}

func assemble(c Config, stream net.Listener, packets *net.UDPConn) (*Peer, error) {
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
		config: c, log: c.Logger, packets: packets, sealer: newSealer(c.Secret, c.AcceptedSecrets),
		logLimit: rate.NewLimiter(refusalLogRate, refusalLogBurst),
		module:   member.New(member.Config{Self: c.Self, Seed: seed, Now: c.Clock.Now()}),
		joined:   make(chan struct{}), contentChanged: wake.New(), numberChanged: wake.New(),
		behind: make(chan behindReport, behindQueue), exchanges: make(chan struct{}, maxExchanges),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.pool = newPool(p.ctx, c, &p.counters, p.reject)
	p.server = &server{
		listener: stream, secret: c.Secret, accepted: c.AcceptedSecrets, tls: c.TLS, counters: &p.counters, reject: p.reject,
		rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{}),
	}
	return p, p.register()
}

// Self returns the own node with the addresses in use. Its incarnation can rise until Joined is closed.
func (p *Peer) Self() model.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.module.Self()
}

// Joined is closed when the peer holds the records of another node, or found that it is the first one.
func (p *Peer) Joined() <-chan struct{} { return p.joined }

// SetLocal replaces the state that the node publishes about itself. Snapshot shows it at once; a ticket number below
// the present one is ignored.
func (p *Peer) SetLocal(local member.LocalState) {
	p.execute(p.update(member.LocalMsg{Now: p.config.Clock.Now(), Local: local}))
	p.refresh()
}

// Snapshot returns the membership as known now; it does not change afterwards.
func (p *Peer) Snapshot() *member.Snapshot { return p.snapshot.Load() }

// Stats returns the counters of control traffic.
func (p *Peer) Stats() Stats { return p.counters.snapshot() }

// State returns the state for the operators' dump.
func (p *Peer) State() State {
	p.mu.Lock()
	members := p.module.State()
	p.mu.Unlock()
	return State{Members: members, Traffic: p.Stats(), Connections: p.pool.size(), Inbound: p.server.size()}
}

// Call runs a net/rpc method at another node. The call is sent at most once; ErrUnsent reports that it was not sent,
// ErrSilent and a context error leave open whether it ran.
func (p *Peer) Call(ctx context.Context, node model.Node, method string, args, reply any) error {
	if p.ctx.Err() != nil {
		return ErrClosed
	}
	if node.PeerAddress == "" {
		return eris.Wrapf(ErrUnsent, "node %s has no peer address", node.Ref)
	}
	return p.pool.call(ctx, node.PeerAddress, method, args, reply)
}

// Close tells the fleet that the node is gone, stops all traffic and waits for the goroutines of the peer.
func (p *Peer) Close() error {
	p.closing.Do(func() {
		p.execute(p.update(member.LeaveMsg{Now: p.config.Clock.Now()}))
		p.stop()
	})
	return nil
}

// stop ends the traffic without a word, as a crash does.
func (p *Peer) stop() {
	p.cancel()
	_ = p.packets.Close()
	p.pool.close()
	p.server.close()
	p.workers.Wait()
	p.server.workers.Wait()
}

func (p *Peer) register() error {
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

// execute carries out commands in order; calls to other nodes run beside it.
func (p *Peer) execute(cmds []member.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case member.SendCmd:
			p.send(cmd)
		case member.SyncCmd:
			p.exchange(func() { p.runSync(cmd) })
		case member.FetchCmd:
			p.exchange(func() { p.runFetch(cmd) })
		case member.ChangedCmd:
			p.signalChange(cmd)
		case member.TicketBehindCmd:
			p.queueBehind(cmd)
		case member.ReplacedCmd:
			p.replaced(cmd)
		case member.RefusedCmd:
			p.reject(cmd.Source, cmd.Err)
		}
	}
}

// exchange runs a call of anti-entropy unless too many are in progress.
func (p *Peer) exchange(run func()) {
	if p.ctx.Err() != nil {
		return
	}
	select {
	case p.exchanges <- struct{}{}:
		p.workers.Go(func() {
			defer func() { <-p.exchanges }()
			run()
		})
	default:
	}
}

func (p *Peer) runSync(cmd member.SyncCmd) {
	var reply member.SyncReply
	if p.ask(cmd.Address, "Peer.Sync", cmd.Request, &reply) {
		p.execute(p.update(member.SyncReplyMsg{Now: p.config.Clock.Now(), Address: cmd.Address, Reply: reply}))
	}
}

func (p *Peer) runFetch(cmd member.FetchCmd) {
	var reply member.FetchReply
	if p.ask(cmd.Address, "Peer.Fetch", cmd.Request, &reply) {
		p.execute(p.update(member.FetchReplyMsg{Now: p.config.Clock.Now(), Gossip: cmd.Gossip, Reply: reply}))
	}
}

func (p *Peer) ask(address, method string, request, reply any) bool {
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
		p.numberChanged.Raise()
	}
}

func (p *Peer) queueBehind(cmd member.TicketBehindCmd) {
	if p.config.OnNewerTicket == nil {
		return
	}
	select {
	case p.behind <- behindReport{peer: cmd.Peer, number: cmd.Number}:
	default:
	}
}

func (p *Peer) replaced(cmd member.ReplacedCmd) {
	if p.logLimit.Allow() {
		level.Error(p.log).Log("msg", "another process runs under this node ID; stop one of them", "by", cmd.By)
	}
	if p.config.OnReplaced != nil {
		p.config.OnReplaced(cmd.By)
	}
}

// reject counts and logs refused bytes; ordinary ends of connections are not counted.
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
		level.Warn(p.log).Log("msg", "refused bytes from peer", "source", source, "err", err)
	}
}
