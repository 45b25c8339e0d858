package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a seed that serves the whole state to each node that joins by it, and against a joining node that never
// finishes, or suspects others, because some of the nodes that it asks are down.
func TestSeedIsSpared(t *testing.T) {
	const fleet = partRecords + 20
	s := newSim(t, 1)
	s.fleet(fleet, 4)
	s.run(10 * time.Second)
	s.resetCounters()
	for i := range s.nodes {
		s.nodes[i].up = i%8 != 1
	}
	seed, others := s.nodes[0], s.running()
	var joining []*simNode
	for i := range 20 {
		n := s.add(fleet + i)
		s.join(n, seed)
		joining = append(joining, n)
	}
	s.runUntil(limitUrgent, "all joined", func() bool {
		for _, n := range joining {
			if !n.module.joined {
				return false
			}
		}
		return true
	})
	all := s.encodedSize(FetchReply{Rumours: allRumours(seed)})
	require.Less(t, seed.sent, len(joining)*all/4, "bytes sent by the seed")
	s.run(30 * time.Second)
	s.runUntil(time.Minute, "agreement", s.agree)
	for _, n := range others {
		require.True(t, n.up && n.module.self.status == StatusAlive && n.module.counts.Refuted == 0, "suspected by a joining node")
	}
}

func allRumours(n *simNode) (rumours []Rumour) {
	for _, e := range n.module.table.sorted {
		rumours = append(rumours, n.module.rumourOf(e, true, false))
	}
	return rumours
}

// Guards against a node that gave up taking records in parts and then withholds the missing buckets from others for ever.
func TestAloneEndsTheTakeover(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(Config{Self: simModel(0, 1), Seed: 1, Now: now})
	m.Update(SyncReplyMsg{Now: now, Reply: SyncReply{From: simModel(1, 1).Ref, Records: 3 * partRecords}})
	require.False(t, m.Joined())
	m.Update(BootstrapMsg{Now: now})
	request := SyncRequest{Self: Rumour{Key: 1, Version: 1, Status: StatusAlive}, Full: true}
	for _, cmd := range m.Update(SyncRequestMsg{Now: now, Request: request}) {
		if reply, ok := cmd.(SyncReplyCmd); ok {
			require.Equal(t, uint64(AllBuckets), reply.Reply.Given)
			return
		}
	}
	require.Fail(t, "no answer")
}
