package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// exchangeInterval and expiry drive the full exchange of records that stands in for gossip in this version.
const (
	exchangeInterval = 300 * time.Millisecond
	expiry           = 3 * time.Second
)

// Empty is the argument of methods that need none.
type Empty struct{}

// Peer is the node's connection to the fleet.
type Peer struct {
	config   Config
	log      log.Logger
	counters counters
	pool     *pool
	server   *server
	packets  *net.UDPConn
	workers  conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
	snapshot atomic.Pointer[member.Snapshot]

	mu      sync.Mutex
	self    member.NodeRecord
	records map[string]heard
}

type heard struct {
	Record member.NodeRecord `cbor:"1,keyasint"`
	at     time.Time
}

// SyncMsg is the argument and the answer of Peer.Sync; net/rpc requires it to be exported.
type SyncMsg struct {
	Records []member.NodeRecord `cbor:"1,keyasint"`
}

// receiver holds the methods that every node serves under the name Peer.
type receiver struct{ peer *Peer }

// New opens the listeners, starts joining the fleet and returns at once.
func New(c Config) (*Peer, error) {
	if err := c.complete(); err != nil {
		return nil, err
	}
	stream, packets, err := listen(c.Listen)
	if err != nil {
		return nil, err
	}
	if c.Self.PeerAddress == "" {
		c.Self.PeerAddress = stream.Addr().String()
	}
	p := &Peer{
		config: c, log: c.Logger, packets: packets, records: make(map[string]heard),
		self: member.NodeRecord{Node: c.Self, Version: 1, Content: 1},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.pool = newPool(c, &p.counters, p.reject)
	p.server = &server{
		listener: stream, secret: c.Secret, tls: c.TLS, counters: &p.counters, reject: p.reject,
		rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{}),
	}
	if err := p.register(); err != nil {
		_ = stream.Close()
		_ = packets.Close()
		return nil, err
	}
	p.publish()
	p.workers.Go(p.server.accept)
	p.workers.Go(p.run)
	return p, nil
}

// Self returns the own node with the incarnation and the addresses that are in use.
func (p *Peer) Self() model.Node { return p.config.Self }

// SetLocal replaces the state that the node publishes about itself; the ticket number must not decrease.
func (p *Peer) SetLocal(local member.Local) {
	p.mu.Lock()
	p.self.Version++
	p.self.Content = p.self.Version
	p.self.Leaving, p.self.Successor = local.Leaving, local.Successor
	p.self.Ticket = max(p.self.Ticket, local.Ticket)
	p.self.Targets, p.self.Ejections, p.self.Poison = local.Targets, local.Ejections, local.Poison
	p.mu.Unlock()
	p.publish()
}

// Snapshot returns the membership as known now.
func (p *Peer) Snapshot() *member.Snapshot { return p.snapshot.Load() }

// Stats returns the counters of control traffic.
func (p *Peer) Stats() Stats { return p.counters.snapshot() }

// Call runs a net/rpc method at another node. The call is sent at most once; ErrUnsent reports that it was not sent,
// ErrSilent and a context error leave open whether it ran.
func (p *Peer) Call(ctx context.Context, node model.Node, method string, args, reply any) error {
	if p.ctx.Err() != nil {
		return ErrClosed
	}
	return p.pool.call(ctx, node.PeerAddress, method, args, reply)
}

// Close stops all traffic and waits for the goroutines of the peer.
func (p *Peer) Close() error {
	p.cancel()
	_ = p.packets.Close()
	p.pool.close()
	p.server.close()
	p.workers.Wait()
	return nil
}

func (p *Peer) register() error {
	for _, s := range append(p.config.Services, Service{Name: "Peer", Receiver: &receiver{peer: p}}) {
		if err := p.server.rpc.RegisterName(s.Name, s.Receiver); err != nil {
			return eris.Wrapf(err, "register the RPC service %s", s.Name)
		}
	}
	return nil
}

// Echo answers at once, so that callers can tell a silent connection.
func (r *receiver) Echo(Empty, *Empty) error { return nil }

// Sync exchanges records.
func (r *receiver) Sync(args SyncMsg, reply *SyncMsg) error {
	r.peer.merge(args)
	*reply = r.peer.records4wire()
	return nil
}

func (p *Peer) run() {
	ticks := p.config.Clock.Subscribe(exchangeInterval)
	defer ticks.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticks.C:
			p.exchange()
		}
	}
}

func (p *Peer) exchange() {
	var group conc.WaitGroup
	for _, address := range p.addresses() {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(p.ctx, time.Second)
			defer cancel()
			var reply SyncMsg
			if err := p.pool.call(ctx, address, "Peer.Sync", p.records4wire(), &reply); err == nil {
				p.merge(reply)
			}
		})
	}
	group.Wait()
	p.publish()
}

func (p *Peer) addresses() []string {
	addresses := slices.Clone(p.config.Seeds)
	if p.config.Registered != nil {
		if nodes, err := p.config.Registered(p.ctx); err == nil {
			for _, n := range nodes {
				addresses = append(addresses, n.PeerAddress)
			}
		}
	}
	for _, r := range p.Snapshot().Records {
		addresses = append(addresses, r.Node.PeerAddress)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(a string) bool { return a == p.config.Self.PeerAddress })
}

func (p *Peer) records4wire() SyncMsg {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := SyncMsg{Records: []member.NodeRecord{p.self}}
	return w
}

func (p *Peer) merge(w SyncMsg) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range w.Records {
		known := p.records[r.Node.Ref.ID]
		if r.Node.Ref.ID == p.self.Node.Ref.ID || r.Node.Ref.Incarnation < known.Record.Node.Ref.Incarnation {
			continue
		}
		p.records[r.Node.Ref.ID] = heard{Record: r, at: time.Now()}
		if r.Ticket > p.self.Ticket && p.config.OnTicketBehind != nil {
			go p.config.OnTicketBehind(r.Node, r.Ticket)
		}
	}
}

func (p *Peer) publish() {
	p.mu.Lock()
	s := &member.Snapshot{Self: p.self.Node.Ref, Records: []member.NodeRecord{p.self}}
	for id, h := range p.records {
		if time.Since(h.at) > expiry {
			delete(p.records, id)
			continue
		}
		s.Records = append(s.Records, h.Record)
	}
	slices.SortFunc(s.Records, func(a, b member.NodeRecord) int {
		return strings.Compare(a.Node.Ref.ID, b.Node.Ref.ID)
	})
	p.snapshot.Store(s)
	p.mu.Unlock()
	if p.config.OnChange != nil {
		p.config.OnChange(s)
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
	level.Warn(p.log).Log("msg", "refused bytes from peer", "source", source, "err", err)
}
