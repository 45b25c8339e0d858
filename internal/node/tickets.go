package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/ticket"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	ticketTick = 200 * time.Millisecond
	// fetchTimeout bounds one fetch from a peer; another source is asked after it.
	fetchTimeout = 2 * time.Second
	// platformTimeout bounds one read of the platform with its retry.
	platformTimeout = 5 * time.Second
	ticketsService  = "Tickets"
	methodSince     = ticketsService + ".Since"
)

// configurations is the part of the platform that holds tickets; store.Store implements it.
type configurations interface {
	Head(ctx context.Context) (uint64, error)
	Since(ctx context.Context, after uint64) (ticket.BatchMsg, error)
	SaveSnapshot(ctx context.Context, c *model.Configuration) error
}

// caller calls methods of other nodes; peer.Peer implements it.
type caller interface {
	Call(ctx context.Context, node model.Node, method string, args, reply any) error
}

// ticketReader is the shell of the ticket module: it carries out reads and publishes what is in force.
type ticketReader struct {
	platform configurations
	peers    caller
	fleet    *fleet
	clock    timer.Service
	logger   log.Logger
	apply    func(*model.Configuration)

	mu     sync.Mutex
	module *ticket.Module
	ready  atomic.Bool
	head   atomic.Uint64
	// changed wakes the goroutine that publishes configurations. Publishing changes the own record, whose change may
	// wait for a handler that sends to this reader, so it must not happen while a message is handled.
	changed chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup
}

// SinceArgs asks a peer for what follows a ticket number; net/rpc requires exported types.
type SinceArgs struct {
	After uint64
}

// Tickets serves the tickets in force to other nodes over net/rpc.
type Tickets struct {
	reader *ticketReader
}

// Since returns the tickets after the number, or a snapshot.
func (t *Tickets) Since(args SinceArgs, reply *ticket.BatchMsg) error {
	t.reader.mu.Lock()
	defer t.reader.mu.Unlock()
	*reply = t.reader.module.After(args.After)
	return nil
}

func newTicketReader(r *ticketReader) *ticketReader {
	r.module = ticket.New(ticket.Config{Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))})
	r.changed = make(chan struct{}, 1)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// start begins to read; the parts that apply changes must be ready.
func (r *ticketReader) start() {
	r.group.Go(r.publish)
	r.group.Go(func() {
		ticks := r.clock.Subscribe(ticketTick)
		defer ticks.Stop()
		r.send(ticket.TickMsg{Now: r.clock.Now()})
		for {
			select {
			case <-r.ctx.Done():
				return
			case now := <-ticks.C:
				r.send(ticket.TickMsg{Now: now})
			}
		}
	})
}

func (r *ticketReader) close() {
	r.cancel()
	r.group.Wait()
}

// number returns the number of the last ticket in force.
func (r *ticketReader) number() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.module.Configuration().Number
}

func (r *ticketReader) configuration() *model.Configuration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.module.Configuration()
}

// behind reports that a peer has a larger number in force.
func (r *ticketReader) behind(peer model.Node, number uint64) {
	r.noteHead(number)
	r.send(ticket.HeadMsg{Source: ticket.Source{Peer: peer.Ref}, Number: number})
}

func (r *ticketReader) setMembers(s *member.Snapshot) {
	var peers []model.NodeRef
	for i := range s.Records {
		if ref := s.Records[i].Node.Ref; ref != s.Self {
			peers = append(peers, ref)
		}
	}
	r.send(ticket.PeersMsg{Peers: peers})
	r.send(ticket.ReaderMsg{Reader: s.IsReader()})
}

func (r *ticketReader) send(msg ticket.Msg) {
	r.mu.Lock()
	cmds := r.module.Update(msg)
	becameReady := r.module.Ready() && !r.ready.Swap(true)
	r.mu.Unlock()
	if becameReady {
		r.wake()
	}
	for _, cmd := range cmds {
		r.execute(cmd)
	}
}

func (r *ticketReader) wake() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// publish puts the latest configuration in force after each change.
func (r *ticketReader) publish() {
	var published uint64
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.changed:
		}
		if c := r.configuration(); r.ready.Load() && c.Number > published {
			published = c.Number
			r.noteHead(c.Number)
			r.apply(c)
		}
	}
}

func (r *ticketReader) execute(cmd ticket.Cmd) {
	switch cmd := cmd.(type) {
	case ticket.ApplyCmd:
		r.wake()
	case ticket.ReadHeadCmd:
		r.background(r.readHead)
	case ticket.FetchCmd:
		r.background(func() { r.fetch(cmd) })
	case ticket.SaveSnapshotCmd:
		r.background(func() { r.saveSnapshot(cmd.Configuration) })
	case ticket.RejectCmd:
		_ = level.Warn(r.logger).Log("msg", "configuration rejected", "source", cmd.Source, "number", cmd.Number, "reason", cmd.Reason)
	}
}

func (r *ticketReader) background(work func()) {
	if r.ctx.Err() == nil {
		r.group.Go(work)
	}
}

func (r *ticketReader) readHead() {
	ctx, cancel := context.WithTimeout(r.ctx, platformTimeout)
	defer cancel()
	number, err := r.platform.Head(ctx)
	if err != nil {
		r.failed(ticket.Platform, err)
		return
	}
	r.noteHead(number)
	r.send(ticket.HeadMsg{Source: ticket.Platform, Number: number})
}

func (r *ticketReader) fetch(cmd ticket.FetchCmd) {
	batch, err := r.read(cmd)
	if err != nil {
		r.failed(cmd.Source, err)
		return
	}
	batch.Source = cmd.Source
	r.send(batch)
}

func (r *ticketReader) read(cmd ticket.FetchCmd) (ticket.BatchMsg, error) {
	if cmd.Source == ticket.Platform {
		ctx, cancel := context.WithTimeout(r.ctx, platformTimeout)
		defer cancel()
		return r.platform.Since(ctx, cmd.After)
	}
	ctx, cancel := context.WithTimeout(r.ctx, fetchTimeout)
	defer cancel()
	var batch ticket.BatchMsg
	node, ok := r.fleet.Node(cmd.Source.Peer)
	if !ok {
		return batch, errPeerGone
	}
	err := r.peers.Call(ctx, node, methodSince, SinceArgs{After: cmd.After}, &batch)
	return batch, err
}

func (r *ticketReader) failed(source ticket.Source, err error) {
	if r.ctx.Err() != nil {
		return
	}
	_ = level.Debug(r.logger).Log("msg", "configuration not read", "source", source, "err", err)
	r.send(ticket.FailedMsg{Source: source})
}

func (r *ticketReader) saveSnapshot(c *model.Configuration) {
	ctx, cancel := context.WithTimeout(r.ctx, platformTimeout)
	defer cancel()
	if err := r.platform.SaveSnapshot(ctx, c); err != nil {
		// The next snapshot replaces this one; starting nodes read more tickets until then.
		_ = level.Warn(r.logger).Log("msg", "snapshot not saved", "number", c.Number, "err", err)
	}
}

// noteHead keeps the largest number that was heard of.
func (r *ticketReader) noteHead(number uint64) {
	for {
		known := r.head.Load()
		if number <= known || r.head.CompareAndSwap(known, number) {
			return
		}
	}
}
