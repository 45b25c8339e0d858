package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/poison"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	poisonTick = time.Second
	// publishDelay bundles the entries of one crash in one version of the own record: requests in flight end one after the
	// other, and the membership pushes a record at once a few times in a minute only.
	publishDelay = 20 * time.Millisecond
	// spreadTimeout bounds the report of a crash to the agents of the service; the edge waits for it before it tries
	// the request on another target.
	spreadTimeout = 300 * time.Millisecond
	poisonService = "Poison"
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
	// runs tells which requests are at targets of this node.
	runs func(fingerprint uint64) bool

	mu     sync.Mutex
	module *poison.Module
	// spreading are the requests whose suspicion is on its way to the agents.
	spreading map[trialID]bool
	// reported are the agents that have heard of the crashes at this node.
	reported map[trialID]map[model.NodeRef]bool
	// learned are the entries of the latest record of each node. Only one goroutine uses them.
	learned map[model.NodeRef][]model.PoisonEntry

	// unpublished are the latest entries while publishing tells that they will be published.
	unpublished []model.PoisonEntry
	publishing  bool
	// closed keeps new reports from starting.
	closed bool
	stop   chan struct{}
	group  conc.WaitGroup
}

func newSuspicion(s *suspicion) *suspicion {
	s.module = poison.New(poison.Config{Self: s.self})
	s.stop = make(chan struct{})
	s.spreading = make(map[trialID]bool)
	s.reported = make(map[trialID]map[model.NodeRef]bool)
	s.learned = make(map[model.NodeRef][]model.PoisonEntry)
	s.group.Go(s.run)
	return s
}

func (s *suspicion) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
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
			s.respread()
		}
	}
}

// Fingerprint identifies a request for the detection of requests that crash targets.
func (s *suspicion) Fingerprint(r edge.PoisonRequest) uint64 {
	return poison.Fingerprint(r.Service, r.Method, r.Path, r.Query, r.Body)
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
	s.carryOut(s.update(poison.CrashMsg{
		Now: s.clock.Now(), Target: target,
		InFlight: []poison.Request{{Fingerprint: suspect.Fingerprint, Idempotent: suspect.Idempotent}},
	}))
}

// learn takes the entries that other nodes publish in their records, and those that they withdrew.
func (s *suspicion) learn(snapshot *member.Snapshot) {
	learned := make(map[model.NodeRef][]model.PoisonEntry)
	for i := range snapshot.Records {
		record := &snapshot.Records[i]
		if record.Node.Ref == s.self {
			continue
		}
		if !slices.Equal(s.learned[record.Node.Ref], record.Poison) {
			s.update(poison.ReportMsg{Now: s.clock.Now(), Node: record.Node.Ref, Entries: record.Poison})
		}
		if len(record.Poison) > 0 {
			learned[record.Node.Ref] = record.Poison
		}
	}
	s.learned = learned
	s.respread()
}

// update changes the module, publishes its entries and returns the commands that need other nodes or an answer.
func (s *suspicion) update(msg poison.Msg) []poison.Cmd {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rest []poison.Cmd
	for _, cmd := range s.module.Update(msg) {
		if published, ok := cmd.(poison.PublishCmd); ok {
			s.publishSoon(published.Entries)
			continue
		}
		rest = append(rest, cmd)
	}
	return rest
}

// publishSoon publishes the latest entries after the delay; the caller holds the lock.
func (s *suspicion) publishSoon(entries []model.PoisonEntry) {
	s.unpublished = entries
	if s.publishing || s.closed {
		return
	}
	s.publishing = true
	ticks := s.clock.Subscribe(publishDelay)
	s.group.Go(func() {
		defer ticks.Stop()
		select {
		case <-s.stop:
			return
		case <-ticks.C:
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.publishing = false
		s.publish(s.unpublished)
	})
}

// carryOut sends suspicions to the agents.
func (s *suspicion) carryOut(cmds []poison.Cmd) {
	for _, cmd := range cmds {
		if spread, ok := cmd.(poison.BroadcastCmd); ok {
			s.spread(spread)
		}
	}
}
