package ticket

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

var startTime = time.Unix(1_700_000_000, 0)

func peer(n int) Source {
	return Source{Peer: model.NodeRef{ID: fmt.Sprintf("peer-%d", n), Incarnation: 1}}
}

// history is a sequence of accepted tickets with the configuration after each.
type history struct {
	tickets        []model.Ticket
	configurations []*model.Configuration
}

func newHistory(length int, random *rand.Rand) history {
	h := history{configurations: []*model.Configuration{{}}}
	for n := 1; n <= length; n++ {
		t := model.Ticket{Number: uint64(n), Author: "Ada"}
		name := fmt.Sprintf("service-%d", random.IntN(5))
		if random.IntN(4) == 0 {
			t.Remove = []string{name}
		} else {
			t.Services = []model.ServiceSpec{{
				Name: name, FloorSlots: n,
				Routes: []model.RouteSpec{{Name: "all", PathPrefix: "/" + name}},
			}}
		}
		h.tickets = append(h.tickets, t)
		h.configurations = append(h.configurations, Apply(h.configurations[n-1], t))
	}
	return h
}

func (h history) head() uint64 {
	return uint64(len(h.tickets))
}

// batch returns some tickets in any order, possibly repeated, and sometimes a snapshot.
func (h history) batch(t *rapid.T) BatchMsg {
	msg := BatchMsg{Source: rapid.SampledFrom([]Source{Platform, peer(1), peer(2), peer(3)}).Draw(t, "source")}
	for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(h.tickets)-1), 0, 6).Draw(t, "tickets") {
		msg.Tickets = append(msg.Tickets, h.tickets[i])
	}
	if rapid.IntRange(0, 9).Draw(t, "with snapshot") == 0 {
		msg.Snapshot = h.configurations[rapid.IntRange(0, len(h.tickets)).Draw(t, "snapshot")]
	}
	return msg
}

// Guards against a configuration that skips, repeats or reverts a ticket when tickets arrive late, early, twice or from
// several peers.
func TestAnyArrivalOrderLeadsToTheSameConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(rapid.IntRange(1, 40).Draw(t, "length"), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		m := New(Config{})
		last := uint64(0)
		deliver := func(msg Msg) {
			for _, cmd := range m.Update(msg) {
				if apply, ok := cmd.(ApplyCmd); ok {
					require.Greater(t, apply.Configuration.Number, last)
					last = apply.Configuration.Number
				}
			}
			require.Equal(t, last, m.Configuration().Number)
			require.Equal(t, h.configurations[last], m.Configuration())
		}
		for range rapid.IntRange(0, 40).Draw(t, "messages") {
			deliver(h.batch(t))
		}
		deliver(BatchMsg{Source: peer(1), Tickets: h.tickets})
		require.Equal(t, h.head(), last)
	})
}

// Guards against a node that stops catching up, or asks without a pause, while sources fail, lag, hang or announce
// wrong numbers.
func TestCatchUpReachesTheHeadThroughFailingSources(t *testing.T) {
	const tick = 250 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(rapid.IntRange(1, 100).Draw(t, "length"), rand.New(rand.NewPCG(1, 1)))
		healthy := New(Config{})
		healthy.Update(BatchMsg{Tickets: h.tickets})
		m := New(Config{})
		now := startTime
		asked := 0
		// answer executes the commands and those that follow from the replies.
		answer := func(cmds []Cmd, faulty bool) {
			for ; len(cmds) > 0; cmds = cmds[1:] {
				fetch, ok := cmds[0].(FetchCmd)
				if !ok {
					continue
				}
				asked++
				fault := 3
				if faulty {
					fault = rapid.IntRange(0, 3).Draw(t, "fault")
				}
				reply := healthy.After(fetch.After)
				reply.Source = fetch.Source
				switch {
				case fault == 0 || !faulty && fetch.Source != Platform:
					cmds = append(cmds, m.Update(FailedMsg{Source: fetch.Source})...)
				case fault == 1:
					// The source hangs.
				case fault == 2:
					cmds = append(cmds, m.Update(BatchMsg{Source: fetch.Source})...)
				default:
					cmds = append(cmds, m.Update(reply)...)
				}
			}
		}
		ticks := rapid.IntRange(0, 60).Draw(t, "faulty ticks")
		for range ticks {
			now = now.Add(tick)
			answer(m.Update(TickMsg{Now: now}), true)
			from := peer(rapid.IntRange(1, 12).Draw(t, "peer"))
			answer(m.Update(HeadMsg{Source: from, Number: rapid.Uint64Range(0, h.head()+5).Draw(t, "head")}), true)
		}
		pauses := 1 + ticks*int(tick)/int(retryWait)
		require.LessOrEqual(t, asked, pauses*maxSources+ticks, "sources are asked without a pause")
		// From here on the platform answers; the node has the 6 s of the requirement, of which a reader's interval
		// takes 1 s.
		for range (6*time.Second - ReaderInterval) / tick {
			now = now.Add(tick)
			answer(m.Update(TickMsg{Now: now}), false)
			answer(m.Update(HeadMsg{Source: Platform, Number: h.head()}), false)
		}
		require.Equal(t, h.head(), m.Configuration().Number)
	})
}

// Guards against a source that is asked forever because it announces tickets and never delivers them.
func TestSourceWithoutDeliveryIsForgotten(t *testing.T) {
	m := New(Config{})
	now := startTime
	m.Update(TickMsg{Now: now})
	asked := 0
	answer := func(cmds []Cmd) {
		for ; len(cmds) > 0; cmds = cmds[1:] {
			if fetch, ok := cmds[0].(FetchCmd); ok {
				asked++
				require.LessOrEqual(t, asked, maxFailures)
				cmds = append(cmds, m.Update(BatchMsg{Source: fetch.Source})...)
			}
		}
	}
	answer(m.Update(HeadMsg{Source: peer(1), Number: 1 << 40}))
	require.Equal(t, 1, asked, "the next attempt waits")
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		answer(m.Update(TickMsg{Now: now}))
	}
	require.Equal(t, maxFailures, asked)
}

// Guards against a node that spends its 6 s on outdated announcements of nodes that have left.
func TestSourceHeardLastIsAskedFirst(t *testing.T) {
	m := New(Config{})
	m.Update(TickMsg{Now: startTime})
	require.Equal(t, []Cmd{FetchCmd{Source: peer(1)}}, m.Update(HeadMsg{Source: peer(1), Number: 2}))
	for _, n := range []int{2, 3, 4, 2} {
		require.Empty(t, m.Update(HeadMsg{Source: peer(n), Number: 2}), "one source is asked at a time")
	}
	for i, n := range []int{2, 4, 3} {
		cmds := m.Update(TickMsg{Now: startTime.Add(time.Duration(i+1) * fetchTimeout)})
		require.Contains(t, cmds, FetchCmd{Source: peer(n)})
	}
}

// Guards against a peer's ticket with wrong content that replaces the platform's ticket.
func TestPlatformWinsOverAPeerWithOtherContent(t *testing.T) {
	h := newHistory(3, rand.New(rand.NewPCG(1, 1)))
	forged := h.tickets[1]
	forged.Summary = "forged"
	m := New(Config{})
	m.Update(BatchMsg{Source: peer(1), Tickets: []model.Ticket{forged}})
	cmds := m.Update(BatchMsg{Source: Platform, Tickets: []model.Ticket{h.tickets[1]}})
	require.Contains(t, cmds, RejectCmd{Source: Platform, Number: 2, Reason: "two tickets of different content carry this number"})
	m.Update(BatchMsg{Source: Platform, Tickets: h.tickets})
	require.Equal(t, h.configurations[3], m.Configuration())
	cmds = m.Update(BatchMsg{Source: peer(1), Tickets: []model.Ticket{forged}})
	require.Contains(t, cmds, RejectCmd{Source: peer(1), Number: 2, Reason: "another ticket with this number is in force"})
	require.Equal(t, h.configurations[3], m.Configuration())
}

// Guards against a starting node that serves with an outdated configuration although a source with a newer one answers.
func TestStartTakesTheLargestOfPlatformAndPeers(t *testing.T) {
	h := newHistory(3, rand.New(rand.NewPCG(1, 1)))
	peers := []model.NodeRef{peer(1).Peer, peer(2).Peer, peer(3).Peer, peer(4).Peer}
	m := New(Config{})
	m.Update(TickMsg{Now: startTime})
	require.Len(t, m.Update(PeersMsg{Peers: peers}), 3, "three peers are asked")
	m.Update(HeadMsg{Source: Platform, Number: 0})
	m.Update(BatchMsg{Source: peer(1), Tickets: h.tickets[:2]})
	m.Update(BatchMsg{Source: peer(2)})
	require.False(t, m.Ready())
	require.Equal(t, []Cmd{FetchCmd{Source: peer(4), After: 2}}, m.Update(FailedMsg{Source: peer(3)}), "another peer replaces it")
	m.Update(BatchMsg{Source: peer(4), Tickets: h.tickets})
	require.True(t, m.Ready())
	require.Equal(t, h.configurations[3], m.Configuration())
}

// Guards against a node that never becomes ready because the platform or peers are unavailable, and against one that
// becomes ready without a configuration.
func TestStartIsBounded(t *testing.T) {
	alone := New(Config{})
	alone.Update(TickMsg{Now: startTime})
	alone.Update(PeersMsg{})
	alone.Update(HeadMsg{Source: Platform})
	require.True(t, alone.Ready(), "the first node of a fleet needs no peer")

	outage := New(Config{})
	outage.Update(TickMsg{Now: startTime})
	outage.Update(PeersMsg{Peers: []model.NodeRef{peer(1).Peer}})
	outage.Update(BatchMsg{Source: peer(1)})
	require.False(t, outage.Ready(), "the platform may know a larger number")
	outage.Update(FailedMsg{Source: Platform})
	require.True(t, outage.Ready())

	// Two nodes that start together while the platform is unavailable have no configuration that either could confirm.
	together := New(Config{})
	together.Update(TickMsg{Now: startTime})
	together.Update(PeersMsg{Peers: []model.NodeRef{peer(1).Peer}})
	together.Update(FailedMsg{Source: Platform})
	together.Update(BatchMsg{Source: peer(1), Starting: true})
	together.Update(TickMsg{Now: startTime.Add(time.Hour)})
	require.False(t, together.Ready(), "the only source is starting itself")
	together.Update(HeadMsg{Source: Platform})
	together.Update(TickMsg{Now: startTime.Add(time.Hour + time.Second)})
	require.True(t, together.Ready())
	require.True(t, New(Config{}).After(0).Starting, "a starting node sets Starting")

	silent := New(Config{})
	silent.Update(TickMsg{Now: startTime})
	silent.Update(TickMsg{Now: startTime.Add(time.Hour)})
	require.False(t, silent.Ready(), "nobody answered")
	silent.Update(HeadMsg{Source: Platform})
	silent.Update(TickMsg{Now: startTime.Add(time.Hour + time.Second)})
	require.True(t, silent.Ready())
}

// Guards against snapshots that are saved by every node, or by none.
func TestReadersSaveSnapshots(t *testing.T) {
	h := newHistory(SnapshotEvery, rand.New(rand.NewPCG(1, 1)))
	for _, reader := range []bool{true, false} {
		m := New(Config{})
		m.Update(ReaderMsg{Reader: reader})
		saved := 0
		for _, cmd := range m.Update(BatchMsg{Tickets: h.tickets}) {
			if save, ok := cmd.(SaveSnapshotCmd); ok {
				saved++
				require.Equal(t, h.configurations[SnapshotEvery], save.Configuration)
			}
		}
		require.Equal(t, reader, saved == 1)
	}
}

// Guards against a snapshot boundary at which no snapshot is saved because every reader passed it with the snapshot of
// a peer.
func TestReadersThatSkipABoundarySaveThePeersSnapshot(t *testing.T) {
	h := newHistory(2*SnapshotEvery+3, rand.New(rand.NewPCG(1, 1)))
	for name, c := range map[string]struct {
		reader bool
		source Source
		number int
		saves  int
	}{
		"reader, peer":                 {reader: true, source: peer(1), number: SnapshotEvery + 3, saves: 1},
		"reader, two boundaries":       {reader: true, source: peer(1), number: 2*SnapshotEvery + 3, saves: 1},
		"reader, no boundary":          {reader: true, source: peer(1), number: SnapshotEvery - 1},
		"reader, snapshot of platform": {reader: true, source: Platform, number: SnapshotEvery},
		"other node, peer":             {source: peer(1), number: SnapshotEvery + 3},
	} {
		m := New(Config{})
		m.Update(ReaderMsg{Reader: c.reader})
		saved := 0
		for _, cmd := range m.Update(BatchMsg{Source: c.source, Snapshot: h.configurations[c.number]}) {
			if save, ok := cmd.(SaveSnapshotCmd); ok {
				saved++
				require.Equal(t, h.configurations[c.number], save.Configuration, name)
			}
		}
		require.Equal(t, c.saves, saved, name)
	}
}

// Guards against a peer that returns tickets with a gap, or far more than the node is missing.
func TestAfterServesTicketsOrASnapshot(t *testing.T) {
	h := newHistory(200, rand.New(rand.NewPCG(1, 1)))
	m := New(Config{})
	m.Update(BatchMsg{Tickets: h.tickets})
	require.Equal(t, BatchMsg{Starting: true}, m.After(200))
	require.Equal(t, h.tickets[198:], m.After(198).Tickets)
	require.Equal(t, h.configurations[200], m.After(0).Snapshot)
	require.Equal(t, h.configurations[200], m.After(140).Snapshot, "60 tickets hold more routes than the configuration")
}
