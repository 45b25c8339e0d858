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
	// publishDelay combines the entries of one crash in one version of this node's record: requests in flight end one
	// after another, and the membership pushes a record immediately only a few times a minute.
	publishDelay = 20 * time.Millisecond
	// broadcastTimeout bounds the report of a crash to the agents of the service; the edge waits for it before it tries
	// the request on another target.
	broadcastTimeout = 300 * time.Millisecond
	poisonService    = "Poison"
)

// caller calls RPC methods of other nodes; peer.Peer implements it.
type caller interface {
	Call(ctx context.Context, node model.Node, method string, args, reply any) error
}

// poisonDetector runs poison.Module: it publishes its entries and reports crashes to the agents.
type poisonDetector struct {
	self    model.NodeRef
	peers   caller
	fleet   *fleet
	clock   timer.Service
	logger  log.Logger
	publish func([]model.PoisonEntry)
	// isRunning reports whether a request is running on a target of this node.
	isRunning func(fingerprint uint64) bool

	mu     sync.Mutex
	module *poison.Module
	// broadcasting contains the requests whose crash is being reported to the agents.
	broadcasting map[suspectID]bool
	// reported contains the agents that have received the crashes at this node.
	reported map[suspectID]map[model.NodeRef]bool
	// remoteEntries contains the entries of the latest record of each node; only one goroutine uses it.
	remoteEntries map[model.NodeRef][]model.PoisonEntry

	// latestEntries are the entries to publish while publishScheduled is set.
	latestEntries    []model.PoisonEntry
	publishScheduled bool
	// closed prevents new reports from starting.
	closed bool
	stop   chan struct{}
	group  conc.WaitGroup
}

func newPoisonDetector(s *poisonDetector) *poisonDetector {
	s.module = poison.New(poison.Config{Self: s.self})
	s.stop = make(chan struct{})
	s.broadcasting = make(map[suspectID]bool)
	s.reported = make(map[suspectID]map[model.NodeRef]bool)
	s.remoteEntries = make(map[model.NodeRef][]model.PoisonEntry)
	s.group.Go(s.run)
	return s
}

func (s *poisonDetector) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	close(s.stop)
	s.group.Wait()
}

func (s *poisonDetector) run() {
	ticks := s.clock.Subscribe(poisonTick)
	defer ticks.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticks.C:
			s.update(poison.TickMsg{Now: now})
			s.rebroadcast()
		}
	}
}

// Fingerprint returns the hash by which requests that crash targets are recognized.
func (s *poisonDetector) Fingerprint(r edge.PoisonRequest) uint64 {
	return poison.Fingerprint(r.Service, r.Method, r.Path, r.Query, r.Body)
}

// Quarantined reports whether the request must not run.
func (s *poisonDetector) Quarantined(service string, fingerprint uint64) bool {
	return s.module.Snapshot().Verdict(service, fingerprint) == poison.Quarantined
}

// Verdict returns whether the request may run at this agent.
func (s *poisonDetector) Verdict(service string, fingerprint uint64) agent.PoisonVerdict {
	switch s.module.Snapshot().Verdict(service, fingerprint) {
	case poison.Quarantined:
		return agent.PoisonQuarantined
	case poison.Suspect:
		return agent.PoisonSuspect
	default:
		return agent.PoisonClear
	}
}

// Crashed records a crash and returns when the agents of the service have been informed or the timeout has passed.
func (s *poisonDetector) Crashed(target model.TargetRef, suspect agent.Suspect) {
	if suspect.Abandoned && !suspect.Idempotent {
		return // One crash quarantines a non-idempotent request, and this one may have ended before.
	}
	_ = level.Warn(s.logger).Log("msg", "request in flight at a crash is suspect", "service", target.Service, "target", target.ID,
		"fingerprint", suspect.Fingerprint, "idempotent", suspect.Idempotent)
	s.broadcastAll(s.update(poison.CrashMsg{
		Now: s.clock.Now(), Target: target,
		InFlight: []poison.Request{{Fingerprint: suspect.Fingerprint, Idempotent: suspect.Idempotent}},
	}))
}

// mergeRecords applies the entries that other nodes publish in their records, including withdrawn ones.
func (s *poisonDetector) mergeRecords(snapshot *member.Snapshot) {
	entries := make(map[model.NodeRef][]model.PoisonEntry)
	for i := range snapshot.Records {
		record := &snapshot.Records[i]
		if record.Node.Ref == s.self {
			continue
		}
		if !slices.Equal(s.remoteEntries[record.Node.Ref], record.Poison) {
			s.update(poison.ReportMsg{Now: s.clock.Now(), Node: record.Node.Ref, Entries: record.Poison})
		}
		if len(record.Poison) > 0 {
			entries[record.Node.Ref] = record.Poison
		}
	}
	s.remoteEntries = entries
	s.rebroadcast()
}

// update passes a message to the module, publishes its entries and returns the remaining commands, which involve other
// nodes or a reply.
func (s *poisonDetector) update(msg poison.Msg) []poison.Cmd {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rest []poison.Cmd
	for _, cmd := range s.module.Update(msg) {
		if published, ok := cmd.(poison.PublishCmd); ok {
			s.schedulePublish(published.Entries)
			continue
		}
		rest = append(rest, cmd)
	}
	return rest
}

// schedulePublish publishes the latest entries after publishDelay; the caller holds the lock.
func (s *poisonDetector) schedulePublish(entries []model.PoisonEntry) {
	s.latestEntries = entries
	if s.publishScheduled || s.closed {
		return
	}
	s.publishScheduled = true
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
		s.publishScheduled = false
		s.publish(s.latestEntries)
	})
}

// broadcastAll executes the broadcast commands.
func (s *poisonDetector) broadcastAll(cmds []poison.Cmd) {
	for _, cmd := range cmds {
		if broadcast, ok := cmd.(poison.BroadcastCmd); ok {
			s.broadcast(broadcast)
		}
	}
}
