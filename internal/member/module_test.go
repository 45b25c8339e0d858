package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// rumourGen draws updates of a few runs of two nodes.
func rumourGen(t *rapid.T) Rumour {
	id := rapid.SampledFrom([]int{1, 2}).Draw(t, "node")
	node := simModel(id, rapid.Uint64Range(1, 3).Draw(t, "incarnation"))
	content := rapid.Uint64Range(1, 6).Draw(t, "content")
	r := Rumour{
		Key: refKey(node.Ref), ContentVersion: content, Version: content + rapid.Uint64Range(0, 3).Draw(t, "later"),
		Status: Status(rapid.IntRange(1, 4).Draw(t, "status")), Ticket: rapid.Uint64Range(0, 5).Draw(t, "ticket"),
	}
	if rapid.Bool().Draw(t, "with record") {
		r.Record = encodeRecord(&NodeRecord{Node: node, Targets: simTargets(id, int(content))})
	}
	return r
}

// Guards against records that go back in incarnation, version, content or ticket number, whatever arrives.
func TestRecordsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		m := New(Config{Self: simModel(0, 1), Seed: 1, Now: now})
		m.Update(BootstrapMsg{Now: now})
		before := map[string]NodeRecord{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			m.Update(FetchReplyMsg{Now: now, Reply: FetchReply{Rumours: []Rumour{rumourGen(t)}}})
			m.Update(TickMsg{Now: now})
			for _, e := range m.table.sorted {
				r, old := e.record, before[e.record.Node.Ref.ID]
				require.GreaterOrEqual(t, r.Node.Ref.Incarnation, old.Node.Ref.Incarnation)
				if r.Node.Ref == old.Node.Ref {
					require.GreaterOrEqual(t, r.Version, old.Version)
					require.GreaterOrEqual(t, r.ContentVersion, old.ContentVersion)
					require.GreaterOrEqual(t, r.Ticket, old.Ticket)
				}
				before[r.Node.Ref.ID] = r
			}
		}
	})
}

// Guards against a table whose state depends on the order in which updates arrive.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		rumours := rapid.SliceOfN(rapid.Custom(rumourGen), 1, 20).Draw(t, "rumours")
		for i := range rumours {
			rumours[i].Status = StatusAlive
			node := simModel(1, 1)
			rumours[i].Key = refKey(node.Ref)
			rumours[i].Record = encodeRecord(&NodeRecord{Node: node, Targets: simTargets(1, int(rumours[i].ContentVersion))})
		}
		var roots []uint64
		for _, order := range [][]Rumour{rumours, rapid.Permutation(rumours).Draw(t, "order")} {
			m := New(Config{Self: simModel(0, 1), Seed: 1, Now: now})
			for _, r := range order {
				m.Update(FetchReplyMsg{Now: now, Reply: FetchReply{Rumours: []Rumour{r}}})
			}
			roots = append(roots, m.table.root(), m.table.numbers)
		}
		require.Equal(t, roots[:2], roots[2:])
	})
}

// Guards against nodes that stay dead or split after a partition of any shape, one-way ones included, ends.
func TestConvergenceAfterPartition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt, rapid.Uint64().Draw(rt, "seed"))
		n := rapid.IntRange(4, 14).Draw(rt, "nodes")
		s.fleet(n, 2)
		s.loss = rapid.SampledFrom([]float64{0, 0, 0.1}).Draw(rt, "loss")
		for range rapid.IntRange(1, 3).Draw(rt, "partitions") {
			side := rapid.SliceOfN(rapid.Bool(), n, n).Draw(rt, "side")
			oneWay := rapid.Bool().Draw(rt, "one-way")
			group := map[string]bool{}
			for i, node := range s.nodes {
				group[node.node.Ref.ID] = side[i]
			}
			s.cut = func(from, to *simNode) bool {
				a, b := group[from.node.Ref.ID], group[to.node.Ref.ID]
				return a != b && (!oneWay || a)
			}
			s.run(time.Duration(rapid.IntRange(1, 60).Draw(rt, "seconds")) * time.Second)
		}
		s.cut, s.loss = func(_, _ *simNode) bool { return false }, 0
		s.runUntil(2*time.Minute, "agreement after the partition", s.agree)
	})
}

// Guards against a small region that holds an old record for tens of seconds after it missed the rumours of a change:
// with two nodes, most of their synchronisations are among themselves.
func TestSmallRegionCatchesUp(t *testing.T) {
	const limit = 10 * time.Second
	for seed := range uint64(100) {
		s := newSim(t, seed)
		s.fleet(6, 2)
		s.runUntil(time.Minute, "settled", s.settled)
		small := s.nodes[0].node.Region
		s.cut = func(from, to *simNode) bool { return (from.node.Region == small) != (to.node.Region == small) }
		s.update(s.nodes[1], LocalMsg{Now: s.now, Local: LocalState{Targets: simTargets(1, 3)}})
		s.run(3 * time.Second)
		s.cut = func(_, _ *simNode) bool { return false }
		s.runUntil(limit, fmt.Sprintf("agreement, seed %d", seed), s.agree)
	}
}

// Guards against a node that is paused and resumed but stays dead for the others, or takes them for dead itself.
func TestPausedNodeRefutes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt, rapid.Uint64().Draw(rt, "seed"))
		s.fleet(rapid.IntRange(3, 20).Draw(rt, "nodes"), 2)
		s.run(5 * time.Second)
		victim := s.nodes[1]
		incarnation := victim.module.Self().Ref.Incarnation
		victim.paused = true
		s.run(time.Duration(rapid.IntRange(1, 300).Draw(rt, "seconds")) * time.Second)
		s.resume(victim)
		s.runUntil(time.Minute, "return of the paused node", s.agree)
		require.Equal(rt, incarnation, victim.module.Self().Ref.Incarnation)
		s.run(10 * time.Second)
		for _, n := range s.nodes {
			require.Len(rt, n.module.Snapshot().Records, len(s.nodes))
		}
	})
}

// Guards against a failure of a whole failure domain that is not seen, or that takes survivors with it.
func TestDomainFails(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt, rapid.Uint64().Draw(rt, "seed"))
		s.fleet(36, 1)
		s.run(5 * time.Second)
		for _, n := range s.nodes {
			n.up = n.node.Domain != "domain-4"
		}
		died := false
		s.runUntil(30*time.Second, "all nodes of the domain dead", func() bool {
			for _, n := range s.running() {
				for _, other := range s.running() {
					e := n.module.table.byKey[other.module.self.key]
					died = died || e.status.gone()
				}
			}
			return s.agree()
		})
		require.False(rt, died, "a survivor was taken for dead")
	})
}

// Guards against an earlier run of a node that stays or returns after the node restarted.
func TestRejoinWithNewIncarnation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt, rapid.Uint64().Draw(rt, "seed"))
		s.fleet(rapid.IntRange(3, 15).Draw(rt, "nodes"), 2)
		s.run(3 * time.Second)
		if rapid.Bool().Draw(rt, "graceful") {
			s.update(s.nodes[1], LeaveMsg{Now: s.now})
		}
		s.nodes[1].up = false
		s.run(time.Duration(rapid.IntRange(0, 20).Draw(rt, "seconds")) * time.Second)
		fresh := s.add(1)
		s.join(fresh, s.nodes[2])
		s.runUntil(time.Minute, "agreement on the new run", s.agree)
		s.run(20 * time.Second)
		for _, n := range s.running() {
			require.Equal(rt, fresh.module.Self().Ref, n.module.Snapshot().Record(fresh.node.Ref.ID).Node.Ref)
		}
	})
}

// Guards against a clock that went back over a restart: the new run must exceed the incarnation that peers report, also
// when a node of a large fleet takes the records in parts.
func TestIncarnationRisesAboveReported(t *testing.T) {
	for n, limit := range map[int]time.Duration{3: time.Second, partRecords + 20: limitUrgent} {
		s := newSim(t, 1)
		s.fleet(n, 1)
		old := s.nodes[1].module.Self().Ref
		s.nodes[1].up = false
		fresh := s.addRun(1, old.Incarnation-uint64(time.Hour.Microseconds()))
		s.join(fresh, s.nodes[2])
		s.runUntil(limit, "joined", func() bool { return fresh.module.joined })
		require.Greater(t, fresh.module.Self().Ref.Incarnation, old.Incarnation)
		s.runUntil(time.Minute, "agreement on the new run", s.agree)
	}
}

// Guards against a node that fails soon after its start and is not probed before the next round of all nodes.
func TestNewNodeIsProbed(t *testing.T) {
	s := newSim(t, 1)
	s.fleet(100, 1)
	s.run(10 * time.Second)
	fresh := s.add(100)
	s.join(fresh, s.nodes[0])
	s.runUntil(10*time.Second, "new node known", s.agree)
	fresh.up = false
	s.runUntil(20*time.Second, "new node dead", s.agree)
}

// Guards against a leaving node without successor, or one whose successor is forgotten with its exit.
func TestLeavingNamesSuccessor(t *testing.T) {
	s := newSim(t, 1)
	s.fleet(12, 1)
	leaver := s.nodes[4]
	s.update(leaver, LocalMsg{Now: s.now, Local: LocalState{Ticket: 1, Leaving: true}})
	s.run(2 * time.Second)
	want, ok := s.nodes[0].module.Snapshot().SuccessorOf(leaver.module.Self().Ref)
	require.True(t, ok)
	require.NotEqual(t, leaver.module.Self().Ref, want)
	s.update(leaver, LeaveMsg{Now: s.now})
	leaver.up = false
	s.runUntil(3*time.Second, "exit known everywhere", s.agree)
	for _, n := range s.running() {
		got, ok := n.module.Snapshot().SuccessorOf(leaver.module.Self().Ref)
		require.True(t, ok)
		require.Equal(t, want, got)
	}
}

// Guards against an exit that the others take for hearsay and hold up with a suspicion.
func TestExitIsBelievedAtOnce(t *testing.T) {
	s := newSim(t, 1)
	s.fleet(30, 1)
	s.run(5 * time.Second)
	s.update(s.nodes[3], LeaveMsg{Now: s.now})
	s.nodes[3].up = false
	s.runUntil(3*time.Second, "exit known everywhere", s.agree)
}

// Guards against the word of a node that was cut off taking nodes out of service that others still reach.
func TestHearsayDoesNotKill(t *testing.T) {
	s := newSim(t, 1)
	s.fleet(30, 1)
	s.run(5 * time.Second)
	lone := s.nodes[7]
	s.cut = func(from, to *simNode) bool { return from == lone || to == lone }
	s.run(2 * time.Minute)
	require.Equal(t, 1, lone.module.table.alive)
	s.cut = func(_, _ *simNode) bool { return false }
	for range 600 {
		s.run(100 * time.Millisecond)
		for _, n := range s.nodes {
			if n != lone {
				require.GreaterOrEqual(t, n.module.table.alive, len(s.nodes)-1)
			}
		}
	}
	require.True(t, s.agree(), s.dump())
}

// Guards against tombstones that are forgotten early or kept for ever by anti-entropy.
func TestTombstonesExpire(t *testing.T) {
	s := newSim(t, 1)
	s.fleet(5, 1)
	s.nodes[4].up = false
	s.run(50 * time.Minute)
	require.Len(t, s.nodes[0].module.Snapshot().Departed, 1)
	s.run(15 * time.Minute)
	for _, n := range s.running() {
		require.Empty(t, n.module.Snapshot().Departed)
	}
}

// Guards against a record above the size of a datagram that never spreads.
func TestLargeRecordSpreads(t *testing.T) {
	s := newSim(t, 1)
	s.fleet(10, 1)
	s.run(3 * time.Second)
	targets := simTargets(0, 60)
	targets[59].State = model.TargetDraining
	s.update(s.nodes[0], LocalMsg{Now: s.now, Local: LocalState{Ticket: 1, Targets: targets}})
	s.runUntil(30*time.Second, "large record known everywhere", s.agree)
	for _, n := range s.nodes {
		require.Len(t, n.module.Snapshot().Record(s.nodes[0].node.Ref.ID).Targets, 60)
	}
}
