package peers

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/peer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Config describes the members and the real node.
type Config struct {
	// Real is the peer address of the real node, IP:port.
	Real   string
	Secret []byte
	// Records are those of the members; each needs addresses of its own.
	Records []member.NodeRecord
	// Tickets are in force at all members, from number 1 on.
	Tickets []model.Ticket
	Seed    uint64
}

// Fleet is a running stand-in.
type Fleet struct {
	config Config
	wire   *peer.Transport
	real   netip.AddrPort
	relay  *http.Server
	// Requests counts the bytes of relayed requests on all members.
	Requests Traffic

	mu      sync.Mutex
	random  *rand.Rand
	module  *member.Module
	members []*node
	byPeer  map[string]*node
	tickets []model.Ticket
	// realRef is the run of the real node that was heard last.
	realRef  model.NodeRef
	sequence uint64

	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup
}

// Start opens the listeners of all members.
func Start(c Config) (*Fleet, error) {
	address, err := netip.ParseAddrPort(c.Real)
	if err != nil {
		return nil, eris.Wrap(err, "write the address of the real node as IP:port")
	}
	f := &Fleet{
		config: c, wire: peer.NewTransport(c.Secret), real: address, tickets: c.Tickets,
		random: rand.New(rand.NewPCG(c.Seed, 1)), byPeer: make(map[string]*node),
	}
	f.relay = &http.Server{Handler: http.HandlerFunc(serveRelay), ReadHeaderTimeout: 10 * time.Second}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.startModule()
	for i := range c.Records {
		n := &node{fleet: f, record: c.Records[i], up: true, targets: c.Records[i].Targets}
		f.members = append(f.members, n)
		f.byPeer[n.record.Node.PeerAddress] = n
		if err := n.listen(); err != nil {
			f.Close()
			return nil, err
		}
	}
	for _, n := range f.members {
		n.serve()
	}
	f.group.Go(f.tick)
	return f, nil
}

// Close ends all listeners and waits for their goroutines.
func (f *Fleet) Close() {
	f.cancel()
	f.wire.Close()
	_ = f.relay.Close() // The process ends its use of the listeners in any case.
	for _, n := range f.members {
		n.close()
	}
	f.group.Wait()
}

// startModule lets the shared module know all members; the first member is its own node.
func (f *Fleet) startModule() {
	now := time.Now()
	first := &f.config.Records[0]
	f.module = member.New(member.Config{Self: first.Node, Seed: f.config.Seed, Now: now.Add(-2 * time.Second)})
	f.module.Update(member.LocalMsg{Now: now, Local: member.LocalState{Ticket: uint64(len(f.tickets)), Targets: first.Targets}})
	// The members have joined: otherwise they would wait for records from the real node while it waits for theirs.
	reply := member.SyncReply{Given: member.AllBuckets, Records: uint64(len(f.config.Records))}
	for i := 1; i < len(f.config.Records); i++ {
		reply.Rumours = append(reply.Rumours, member.RumourOf(&f.config.Records[i], member.StatusAlive, false))
	}
	reply.From = f.config.Records[1].Node.Ref
	f.module.Update(member.SyncReplyMsg{Now: now, Reply: reply})
}

func (f *Fleet) tick() {
	ticks := time.NewTicker(member.TickInterval)
	defer ticks.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case now := <-ticks.C:
			f.execute(nil, f.update(member.TickMsg{Now: now}))
		}
	}
}

func (f *Fleet) update(msg member.Msg) []member.Cmd {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.module.Update(msg)
}

// upMember returns a random member that runs and is not the own node of the module.
func (f *Fleet) upMember() *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		if n := f.members[1+f.random.IntN(len(f.members)-1)]; n.up {
			return n
		}
	}
}

// later runs the function after the time unless the stand-in was closed.
func (f *Fleet) later(d time.Duration, run func()) {
	time.AfterFunc(d, func() {
		if f.ctx.Err() == nil {
			run()
		}
	})
}

// upTo returns a random duration.
func (f *Fleet) upTo(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(int64(d)))
}
