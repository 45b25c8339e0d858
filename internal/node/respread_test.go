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

// heardAgents notes which agents were told of a crash.
type heardAgents struct {
	mu    sync.Mutex
	away  bool
	calls map[string]int
}

func (h *heardAgents) Call(_ context.Context, node model.Node, _ string, _, _ any) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.away {
		return eris.New("not reached")
	}
	h.calls[node.Ref.ID]++
	return nil
}

func (h *heardAgents) heard(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls[id]
}

func (h *heardAgents) setAway(away bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.away = away
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

// Guards against a node that has just started and runs a request of which it was not told, because the record that names
// its targets is still on its way.
func TestCrashIsReportedToNodesThatJustStarted(t *testing.T) {
	peers, clock := &heardAgents{calls: make(map[string]int)}, timer.NewManual(time.Unix(1000, 0))
	f := &fleet{}
	snapshot := agentsOf("shop", "self", "a")
	snapshot.Records = append(snapshot.Records, member.NodeRecord{Node: model.Node{
		Ref: model.NodeRef{ID: "started", Incarnation: uint64(time.Unix(990, 0).UnixMicro())},
	}})
	f.members.Store(snapshot)
	published := make(chan []model.PoisonEntry, 10)
	s := newSuspicion(&suspicion{
		self: model.NodeRef{ID: "self", Incarnation: 1}, peers: peers, fleet: f, clock: clock, logger: log.NewNopLogger(),
		publish: func(entries []model.PoisonEntry) { published <- entries }, runs: func(uint64) bool { return false },
	})
	defer s.close()
	for fingerprint := range uint64(5) {
		s.Crashed(model.TargetRef{Service: "shop", ID: "t"}, agent.Suspect{Service: "shop", Fingerprint: fingerprint + 1, Idempotent: true})
	}
	require.Equal(t, 5, peers.heard("started"))
	clock.Advance(publishDelay)
	require.Len(t, <-published, 5, "the entries of a crash go out in one version of the record")
	require.Empty(t, published)
}

// Guards against an agent that never hears of a crash directly, because it joined right after it or could not be reached,
// and so runs the request until an ordinary rumour arrives.
func TestCrashIsReportedToAgentsThatComeLater(t *testing.T) {
	peers, clock := &heardAgents{calls: make(map[string]int)}, timer.NewManual(time.Unix(1000, 0))
	f := &fleet{}
	s := newSuspicion(&suspicion{
		self: model.NodeRef{ID: "self", Incarnation: 1}, peers: peers, fleet: f, clock: clock, logger: log.NewNopLogger(),
		publish: func([]model.PoisonEntry) {}, runs: func(uint64) bool { return false },
	})
	defer s.close()
	change := func(snapshot *member.Snapshot) {
		f.members.Store(snapshot)
		s.learn(snapshot)
	}
	change(agentsOf("shop", "self", "a"))
	s.Crashed(model.TargetRef{Service: "shop", ID: "t"}, agent.Suspect{Service: "shop", Fingerprint: 7, Idempotent: true})
	require.Equal(t, 1, peers.heard("a"))

	change(agentsOf("shop", "self", "a", "joined"))
	require.Eventually(t, func() bool { return peers.heard("joined") == 1 }, time.Second, time.Millisecond)

	peers.setAway(true)
	change(agentsOf("shop", "self", "a", "joined", "silent"))
	time.Sleep(20 * time.Millisecond)
	peers.setAway(false)
	clock.Advance(poisonTick)
	require.Eventually(t, func() bool { return peers.heard("silent") > 0 }, time.Second, time.Millisecond)

	// The report goes to all agents at once; the others may hear it a moment after the silent one.
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.spreading) == 0
	}, time.Second, time.Millisecond)
	calls := peers.heard("a")
	change(agentsOf("shop", "self", "a", "joined", "silent"))
	clock.Advance(poisonTick)
	time.Sleep(20 * time.Millisecond)
	require.Equal(t, calls, peers.heard("a"), "agents that know are not told again")
}
