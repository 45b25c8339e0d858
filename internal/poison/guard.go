package poison

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// callTimeout bounds one call to another agent; the crash stays unanswered meanwhile.
	callTimeout = 500 * time.Millisecond
	// spreadRounds bounds the calls to an agent that does not answer; without its answer there is no trial.
	spreadRounds = 3
	// tickInterval is short against the expiry of ten minutes.
	tickInterval = 10 * time.Second
)

// Peers calls net/rpc methods of other nodes.
type Peers interface {
	Call(ctx context.Context, node model.Node, method string, args, reply any) error
}

// Directory finds the nodes that have targets of a service and are not dead.
type Directory interface {
	Agents(service string) []model.Node
}

// GuardConfig configures a guard; only Expiry, MaxEntries and Clock have defaults.
type GuardConfig struct {
	Config
	Peers     Peers
	Directory Directory
	// Running returns which of the fingerprints run on targets of this node. A request has to be listed before its verdict
	// is read, so that none starts unseen while a suspicion arrives.
	Running func(service string, fingerprints []uint64) []uint64
	// Publish puts the entries into the node's record and spreads it as urgent; it must not call the guard.
	Publish func([]model.PoisonEntry)
	Clock   timer.Service
}

// Guard is the concurrent shell of the module, at the agent.
type Guard struct {
	config GuardConfig
	mu     sync.Mutex
	module *Module
	stop   chan struct{}
	closed sync.Once
	wg     conc.WaitGroup
}

// NewGuard returns a guard that lets entries expire until Close.
func NewGuard(c GuardConfig) (*Guard, error) {
	if c.Self.IsZero() || c.Peers == nil || c.Directory == nil || c.Running == nil || c.Publish == nil {
		return nil, eris.New("poison: the guard needs Self, Peers, Directory, Running and Publish")
	}
	if c.Clock == nil {
		c.Clock = timer.NewReal()
	}
	g := &Guard{config: c, module: New(c.Config), stop: make(chan struct{})}
	ticks := c.Clock.Subscribe(tickInterval)
	g.wg.Go(func() {
		defer ticks.Stop()
		for {
			select {
			case now := <-ticks.C:
				g.update(TickMsg{Now: now})
			case <-g.stop:
				return
			}
		}
	})
	return g, nil
}

// Close stops the expiry.
func (g *Guard) Close() {
	g.closed.Do(func() { close(g.stop) })
	g.wg.Wait()
}

// Snapshot returns the current state without a lock.
func (g *Guard) Snapshot() *Snapshot {
	return g.module.Snapshot()
}

// Crash reports that a local target died, and returns when the agents of the service know the suspicion; the requests
// that were in flight must not be answered before.
func (g *Guard) Crash(ctx context.Context, target model.TargetRef, inFlight []Request) {
	cmds := g.update(CrashMsg{Now: g.now(), Target: target, InFlight: inFlight})
	g.spreadAll(ctx, cmds)
}

// Report takes over the entries in the record of another node.
func (g *Guard) Report(node model.NodeRef, entries []model.PoisonEntry) {
	g.update(ReportMsg{Now: g.now(), Node: node, Entries: entries})
}

// Trial reports whether the suspect may be tried once more; only the agent that crashed grants it.
func (g *Guard) Trial(ctx context.Context, service string, fingerprint uint64) bool {
	granted, cmds := g.trial(service, fingerprint)
	if granted || len(cmds) == 0 {
		return granted
	}
	g.spreadAll(ctx, cmds)
	granted, _ = g.trial(service, fingerprint)
	return granted
}

// EndTrial reports the end of a granted trial.
func (g *Guard) EndTrial(service string, fingerprint uint64, survived bool) {
	g.update(TrialEndMsg{Now: g.now(), Service: service, Fingerprint: fingerprint, Survived: survived})
}

func (g *Guard) now() time.Time {
	return g.config.Clock.Now()
}

// update publishes in the order of the updates and returns the other commands.
func (g *Guard) update(msg Msg) []Cmd {
	g.mu.Lock()
	defer g.mu.Unlock()
	var rest []Cmd
	for _, cmd := range g.module.Update(msg) {
		if p, ok := cmd.(PublishCmd); ok {
			g.config.Publish(p.Entries)
			continue
		}
		rest = append(rest, cmd)
	}
	return rest
}

// trial returns whether the trial is granted, and what has to be spread before it can be.
func (g *Guard) trial(service string, fingerprint uint64) (bool, []Cmd) {
	cmds := g.update(TrialMsg{Now: g.now(), Service: service, Fingerprint: fingerprint})
	return cmds[0].(TrialCmd).Granted, cmds[1:]
}

func (g *Guard) spreadAll(ctx context.Context, cmds []Cmd) {
	for _, cmd := range cmds {
		if c, ok := cmd.(SpreadCmd); ok {
			g.spread(ctx, c)
		}
	}
}

// spread calls the agents of the service until each answered; agents that died meanwhile leave the directory.
func (g *Guard) spread(ctx context.Context, c SpreadCmd) {
	msg := SpreadMsg{Service: c.Service, Fingerprints: c.Fingerprints}
	answered := map[model.NodeRef]bool{g.config.Self: true}
	for range spreadRounds {
		msg.Unreached = g.spreadRound(ctx, c, answered, &msg)
		if msg.Unreached == 0 || ctx.Err() != nil {
			break
		}
	}
	msg.Now = g.now()
	msg.Running = append(msg.Running, g.config.Running(c.Service, c.Fingerprints)...)
	g.update(msg)
}

// spreadRound calls the agents that have not answered and returns how many still have not.
func (g *Guard) spreadRound(ctx context.Context, c SpreadCmd, answered map[model.NodeRef]bool, msg *SpreadMsg) int {
	var left []model.Node
	for _, agent := range g.config.Directory.Agents(c.Service) {
		if !answered[agent.Ref] {
			left = append(left, agent)
		}
	}
	args := SuspectArgs{Node: g.config.Self, Service: c.Service, Fingerprints: c.Fingerprints}
	replies := make([]*SuspectReply, len(left))
	var wg conc.WaitGroup
	for i, agent := range left {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			reply := &SuspectReply{}
			if g.config.Peers.Call(ctx, agent, methodSuspect, args, reply) == nil {
				replies[i] = reply
			}
		})
	}
	wg.Wait()
	unreached := 0
	for i, reply := range replies {
		if reply == nil {
			unreached++
			continue
		}
		answered[left[i].Ref] = true
		msg.Running = append(msg.Running, reply.Running...)
		msg.Crashed = append(msg.Crashed, reply.Crashed...)
	}
	return unreached
}
