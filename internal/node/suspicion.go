package node

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/once"
	"github.com/auburnwinch/auburnwinch/internal/poison"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	poisonTick = time.Second
	// reportTimeout bounds the report of a crash to the agents of the service; the edge waits for it before it tries
	// the request on another target.
	reportTimeout = 300 * time.Millisecond
	poisonService = "Poison"
	methodReport  = poisonService + ".Report"
)

// caller calls methods of other nodes; peer.Peer implements it.
type caller interface {
	Call(ctx context.Context, node model.Node, method string, args, reply any) error
}

// suspicion is the shell of the poison module.
type suspicion struct {
	self    model.NodeRef
	peers   caller
	fleet   *fleet
	clock   timer.Service
	logger  log.Logger
	publish func([]model.PoisonEntry)

	mu     sync.Mutex
	module *poison.Module

	stop  chan struct{}
	group conc.WaitGroup
}

// ReportArgs carries the crashes at one node to another; net/rpc requires exported types.
type ReportArgs struct {
	Node    model.NodeRef
	Entries []model.PoisonEntry
}

// ReportReply acknowledges a report.
type ReportReply struct{}

// Poison takes reports of crashes from other nodes over net/rpc.
type Poison struct {
	suspicion *suspicion
}

// Report records crashes at another node.
func (p *Poison) Report(args ReportArgs, _ *ReportReply) error {
	p.suspicion.update(poison.ReportMsg{Now: p.suspicion.clock.Now(), Node: args.Node, Entries: args.Entries})
	return nil
}

func newSuspicion(s *suspicion) *suspicion {
	s.module = poison.New(poison.Config{Self: s.self})
	s.stop = make(chan struct{})
	s.group.Go(s.run)
	return s
}

func (s *suspicion) close() {
	close(s.stop)
	s.group.Wait()
}

func (s *suspicion) run() {
	ticks := s.clock.Subscribe(poisonTick)
	defer ticks.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticks.C:
			s.update(poison.TickMsg{Now: now})
		}
	}
}

// Fingerprint identifies a request for the detection of requests that crash targets. The idempotency key is no part of
// it, because a caller may send the same request again under a new key.
func (s *suspicion) Fingerprint(r edge.PoisonRequest) uint64 {
	return once.Fingerprint("", r.Service, r.Method, r.Path, r.Query, r.Body)
}

// Quarantined reports whether the request must not run.
func (s *suspicion) Quarantined(service string, fingerprint uint64) bool {
	return s.module.Snapshot().Verdict(service, fingerprint) == poison.Quarantined
}

// Verdict returns whether the request may run at this agent.
func (s *suspicion) Verdict(service string, fingerprint uint64) agent.PoisonVerdict {
	switch s.module.Snapshot().Verdict(service, fingerprint) {
	case poison.Quarantined:
		return agent.PoisonQuarantined
	case poison.Suspect:
		return agent.PoisonSuspect
	default:
		return agent.PoisonClear
	}
}

// Crashed records a crash and returns when the agents of the service know of it or the time for that is over.
func (s *suspicion) Crashed(target model.TargetRef, suspect agent.Suspect) {
	_ = level.Warn(s.logger).Log("msg", "request in flight at a crash is suspect", "service", target.Service, "target", target.ID,
		"fingerprint", suspect.Fingerprint, "idempotent", suspect.Idempotent)
	entries := s.update(poison.CrashMsg{
		Now: s.clock.Now(), Target: target,
		InFlight: []poison.Request{{Fingerprint: suspect.Fingerprint, Idempotent: suspect.Idempotent}},
	})
	s.report(target.Service, entries)
}

// learn takes the entries that other nodes publish in their records.
func (s *suspicion) learn(snapshot *member.Snapshot) {
	for i := range snapshot.Records {
		record := &snapshot.Records[i]
		if len(record.Poison) > 0 && record.Node.Ref != s.self {
			s.update(poison.ReportMsg{Now: s.clock.Now(), Node: record.Node.Ref, Entries: record.Poison})
		}
	}
}

func (s *suspicion) update(msg poison.Msg) []model.PoisonEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []model.PoisonEntry
	for _, cmd := range s.module.Update(msg) {
		if published, ok := cmd.(poison.PublishCmd); ok {
			entries = published.Entries
			s.publish(entries)
		}
	}
	return entries
}

func (s *suspicion) report(service string, entries []model.PoisonEntry) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	var calls conc.WaitGroup
	for _, node := range s.fleet.Agents(service) {
		if node.Ref == s.self {
			continue
		}
		calls.Go(func() {
			err := s.peers.Call(ctx, node, methodReport, ReportArgs{Node: s.self, Entries: entries}, &ReportReply{})
			if err != nil {
				_ = level.Warn(s.logger).Log("msg", "crash not reported; the node learns it from the record", "node", node.Ref.ID, "err", err)
			}
		})
	}
	calls.Wait()
}
