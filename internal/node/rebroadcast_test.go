package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// fakeAgents counts the crash reports to each agent.
type fakeAgents struct {
	mu          sync.Mutex
	unreachable bool
	calls       map[string]int
}

func (h *fakeAgents) Call(_ context.Context, node model.Node, _ string, _, _ any) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unreachable {
		return eris.New("unreachable")
	}
	h.calls[node.Ref.ID]++
	return nil
}

func (h *fakeAgents) callsTo(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls[id]
}

func (h *fakeAgents) setUnreachable(unreachable bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unreachable = unreachable
}

func agentsOf(service string, ids ...string) *member.Snapshot {
	s := &member.Snapshot{}
	for _, id := range ids {
		ref := model.NodeRef{ID: id, Incarnation: 1}
		s.Records = append(s.Records, member.NodeRecord{
			Node: model.Node{Ref: ref}, Targets: []model.Target{{Ref: model.TargetRef{Service: service, ID: id}}},
		})
	}
	return s
}

// Guards against a node that has just started and runs a suspect request unknowingly, because the record that lists its
// targets has not arrived yet.
func TestCrashIsReportedToNodesThatJustStarted(t *testing.T) {
	peers, clock := &fakeAgents{calls: make(map[string]int)}, timer.NewManual(time.Unix(1000, 0))
	f := &fleet{}
	snapshot := agentsOf("shop", "self", "a")
	snapshot.Records = append(snapshot.Records, member.NodeRecord{Node: model.Node{
		Ref: model.NodeRef{ID: "started", Incarnation: uint64(time.Unix(990, 0).UnixMicro())},
	}})
	f.members.Store(snapshot)
	published := make(chan []model.PoisonEntry, 10)
	s := newPoisonDetector(&poisonDetector{
		self: model.NodeRef{ID: "self", Incarnation: 1}, peers: peers, fleet: f, clock: clock, logger: log.NewNopLogger(),
		publish: func(entries []model.PoisonEntry) { published <- entries }, isRunning: func(uint64) bool { return false },
	})
	defer s.close()
	for fingerprint := range uint64(5) {
		s.Crashed(model.TargetRef{Service: "shop", ID: "t"}, agent.Suspect{Service: "shop", Fingerprint: fingerprint + 1, Idempotent: true})
	}
	require.Equal(t, 5, peers.callsTo("started"))
	clock.Advance(publishDelay)
	require.Len(t, <-published, 5, "the entries of a crash are published in one version of the record")
	require.Empty(t, published)
}

// Guards against an agent that never receives a crash report directly, because it joined right after the crash or could
// not be reached, and so runs the request until gossip delivers the record.
func TestCrashIsReportedToAgentsThatComeLater(t *testing.T) {
	peers, clock := &fakeAgents{calls: make(map[string]int)}, timer.NewManual(time.Unix(1000, 0))
	f := &fleet{}
	s := newPoisonDetector(&poisonDetector{
		self: model.NodeRef{ID: "self", Incarnation: 1}, peers: peers, fleet: f, clock: clock, logger: log.NewNopLogger(),
		publish: func([]model.PoisonEntry) {}, isRunning: func(uint64) bool { return false },
	})
	defer s.close()
	change := func(snapshot *member.Snapshot) {
		f.members.Store(snapshot)
		s.mergeRecords(snapshot)
	}
	change(agentsOf("shop", "self", "a"))
	s.Crashed(model.TargetRef{Service: "shop", ID: "t"}, agent.Suspect{Service: "shop", Fingerprint: 7, Idempotent: true})
	require.Equal(t, 1, peers.callsTo("a"))

	change(agentsOf("shop", "self", "a", "joined"))
	require.Eventually(t, func() bool { return peers.callsTo("joined") == 1 }, time.Second, time.Millisecond)

	peers.setUnreachable(true)
	change(agentsOf("shop", "self", "a", "joined", "silent"))
	time.Sleep(20 * time.Millisecond)
	peers.setUnreachable(false)
	clock.Advance(poisonTick)
	require.Eventually(t, func() bool { return peers.callsTo("silent") > 0 }, time.Second, time.Millisecond)

	// The report goes to all agents at once; the others may receive it slightly after the one that was unreachable.
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.broadcasting) == 0
	}, time.Second, time.Millisecond)
	calls := peers.callsTo("a")
	change(agentsOf("shop", "self", "a", "joined", "silent"))
	clock.Advance(poisonTick)
	time.Sleep(20 * time.Millisecond)
	require.Equal(t, calls, peers.callsTo("a"), "agents that received the report do not get it again")
}

// Pattern: a target crashes after callers of non-idempotent and idempotent requests have left. Guards against quarantining
// a non-idempotent request that may have ended before: one crash suffices for that here.
func TestAbandonedOrderIsNotQuarantinedByOneCrash(t *testing.T) {
	f := &fleet{}
	f.members.Store(agentsOf("shop", "self"))
	s := newPoisonDetector(&poisonDetector{
		self: model.NodeRef{ID: "self", Incarnation: 1}, peers: &fakeAgents{calls: make(map[string]int)}, fleet: f,
		clock: timer.NewManual(time.Unix(1000, 0)), logger: log.NewNopLogger(), publish: func([]model.PoisonEntry) {},
		isRunning: func(uint64) bool { return false },
	})
	defer s.close()
	target := model.TargetRef{Service: "shop", ID: "t"}
	s.Crashed(target, agent.Suspect{Service: "shop", Fingerprint: 1, Abandoned: true})
	s.Crashed(target, agent.Suspect{Service: "shop", Fingerprint: 2, Abandoned: true, Idempotent: true})
	s.Crashed(target, agent.Suspect{Service: "shop", Fingerprint: 3})
	require.Equal(t, agent.PoisonClear, s.Verdict("shop", 1))
	require.Equal(t, agent.PoisonSuspect, s.Verdict("shop", 2))
	require.Equal(t, agent.PoisonQuarantined, s.Verdict("shop", 3))
}
