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

// Config describes the simulated members and the real node.
type Config struct {
	// Real is the peer address of the real node, IP:port.
	Real   string
	Secret []byte
	// Records are the records of the members; each needs its own addresses.
	Records []member.NodeRecord
	// Tickets are in force at all members, from number 1 on.
	Tickets []model.Ticket
	Seed    uint64
}

// Fleet runs the simulated members.
type Fleet struct {
	config      Config
	transport   *peer.Transport
	realAddress netip.AddrPort
	relay       *http.Server
	// Requests counts the bytes on the relay connections of all members.
	Requests Traffic

	mu            sync.Mutex
	random        *rand.Rand
	module        *member.Module
	members       []*node
	byPeerAddress map[string]*node
	tickets       []model.Ticket
	// realRef is the node reference in the last datagram from the real node.
	realRef  model.NodeRef
	sequence uint64

	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup
}

// Start opens the listeners of all members and serves until Close.
func Start(c Config) (*Fleet, error) {
	address, err := netip.ParseAddrPort(c.Real)
	if err != nil {
		return nil, eris.Wrap(err, "parse the address of the real node; remedy: write it as IP:port")
	}
	f := &Fleet{
		config: c, transport: peer.NewTransport(c.Secret), realAddress: address, tickets: c.Tickets,
		random: rand.New(rand.NewPCG(c.Seed, 1)), byPeerAddress: make(map[string]*node),
	}
	f.relay = &http.Server{Handler: http.HandlerFunc(serveRelay), ReadHeaderTimeout: 10 * time.Second}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.startModule()
	for i := range c.Records {
		n := &node{fleet: f, record: c.Records[i], running: true, targets: c.Records[i].Targets}
		f.members = append(f.members, n)
		f.byPeerAddress[n.record.Node.PeerAddress] = n
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

// Close closes all listeners and waits for their goroutines.
func (f *Fleet) Close() {
	f.cancel()
	f.transport.Close()
	_ = f.relay.Close() // The listeners are closed below in any case.
	for _, n := range f.members {
		n.close()
	}
	f.group.Wait()
}

// startModule creates the shared module with the records of all members; the first member is its own node.
func (f *Fleet) startModule() {
	now := time.Now()
	first := &f.config.Records[0]
	f.module = member.New(member.Config{Self: first.Node, Seed: f.config.Seed, Now: now.Add(-2 * time.Second)})
	f.module.Update(member.LocalMsg{Now: now, Local: member.LocalState{Ticket: uint64(len(f.tickets)), Targets: first.Targets}})
	// The members start as joined; otherwise they and the real node would each wait for the records of the other.
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

// randomMember returns a random running member other than the module's own node.
func (f *Fleet) randomMember() *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		if n := f.members[1+f.random.IntN(len(f.members)-1)]; n.running {
			return n
		}
	}
}

// runAfter runs the function after the delay unless the fleet was closed.
func (f *Fleet) runAfter(delay time.Duration, run func()) {
	time.AfterFunc(delay, func() {
		if f.ctx.Err() == nil {
			run()
		}
	})
}

// randomDuration returns a random duration below limit.
func (f *Fleet) randomDuration(limit time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(int64(limit)))
}
