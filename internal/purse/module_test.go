package purse

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// open opens connections with ids from..to-1 for callers.
func open(m *Module, from, to uint64, now time.Time) (cmds []Cmd) {
	for id := from; id < to; id++ {
		cmds = append(cmds, m.Update(OpenedMsg{ID: id, Listener: Callers, Peer: "10.0.0.1", Now: now})...)
	}
	return cmds
}

// Guards against a crowd of bodies that stop short which takes the memory of ordinary callers: the stopped ones go first.
func TestStoppedBodiesGoFirst(t *testing.T) {
	m := NewModule(Budget{Bytes: 1 << 20})
	require.Empty(t, open(m, 0, 9, at(0)))
	for id := range uint64(8) {
		require.Empty(t, m.Update(HeldMsg{ID: id, Bytes: 64 << 10, Now: at(0)}))
		m.Update(PhaseMsg{ID: id, Phase: PhaseBody, Now: at(0)})
	}
	m.Update(PhaseMsg{ID: 7, Phase: PhaseWork, Bytes: 64 << 10, Now: at(0)}) // Waits for the target.
	m.Update(PhaseMsg{ID: 8, Phase: PhaseWork, Now: at(0)})
	cmds := m.Update(HeldMsg{ID: 8, Bytes: 256 << 10, MayRefuse: true, Now: at(time.Second)})
	require.NotEmpty(t, cmds)
	for _, cmd := range cmds {
		require.Less(t, cmd.(CloseCmd).ID, uint64(7))
		require.Equal(t, ReasonSlowBody, cmd.(CloseCmd).Reason)
	}
}

// Guards against a body in single bytes that looks lively and against a steady one that looks slow because the node was
// slow to read it.
func TestStallCountsTheWaitForTheClient(t *testing.T) {
	m := NewModule(Budget{Bytes: 1 << 20})
	open(m, 0, 2, at(0))
	m.Update(PhaseMsg{ID: 0, Phase: PhaseWork, Now: at(0)})
	m.Update(PhaseMsg{ID: 1, Phase: PhaseWork, Now: at(0)})
	for i := range 10 {
		now := at(time.Duration(i) * time.Second)
		m.Update(PhaseMsg{ID: 0, Phase: PhaseBody, Now: now})
		m.Update(PhaseMsg{ID: 0, Phase: PhaseWork, Bytes: 1, Now: now.Add(time.Second)})
		m.Update(PhaseMsg{ID: 1, Phase: PhaseBody, Now: now})
		m.Update(PhaseMsg{ID: 1, Phase: PhaseWork, Bytes: 4096, Now: now.Add(50 * time.Millisecond)})
	}
	require.Greater(t, m.conns[0].stall(at(10*time.Second)), 9*time.Second)
	require.Zero(t, m.conns[1].stall(at(10*time.Second)))
}

// Pattern: clients begin a head of short fields, or a body, don't end it, and return 0.1 s after the node has closed the
// connection, while others download at 1 MB/s, keep idle connections and send requests. Guards against a crowd that is always too
// young to go, so that downloads are cut off, whose writes wait for a second at a time although their clients read, and ordinary
// requests are refused (LOST).
func TestCrowdThatReturnsDoesNotCutOffDownloads(t *testing.T) {
	for name, c := range map[string]struct {
		phase Phase
		size  int
		bytes int64
		piece int64 // The bytes that arrive at once.
	}{
		"heads":  {phase: PhaseHead, size: 300, bytes: 2*16384 + 3200*fieldBytes, piece: 16 << 10},
		"bodies": {phase: PhaseBody, size: 900, bytes: requestBytes + bodyBytes, piece: requestBytes + bodyBytes},
	} {
		t.Run(name, func(t *testing.T) {
			const downloads, ordinary, first = 6, 20, 1000
			m := NewModule(NewBudget(184<<20, 4100))
			id, refused, closed := uint64(first), 0, make(map[Phase]int)
			update := func(msg Msg) (isRefused bool) {
				for _, cmd := range m.Update(msg) {
					switch cmd := cmd.(type) {
					case RefuseCmd:
						isRefused = true
					case CloseCmd:
						if cmd.ID < downloads {
							closed[PhaseWrite]++
						} else if cmd.ID < first {
							closed[PhaseIdle]++
						}
					}
				}
				return isRefused
			}
			open(m, 0, ordinary, at(0))
			for k := range uint64(ordinary) {
				phase := PhaseIdle
				if k < downloads {
					phase = PhaseWrite
				}
				update(PhaseMsg{ID: k, Phase: phase, Now: at(0)})
			}
			sent, returns := make([]uint64, c.size), make([]time.Duration, c.size)
			for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
				for k := uint64(0); k < downloads && now%time.Second == 0; k++ {
					update(PhaseMsg{ID: k, Phase: PhaseWork, Bytes: 1 << 20, Now: at(now)})
					update(PhaseMsg{ID: k, Phase: PhaseWrite, Now: at(now)})
				}
				for i := range sent {
					switch {
					case sent[i] > 0 && m.conns[sent[i]] == nil:
						sent[i], returns[i] = 0, now+100*time.Millisecond
					case sent[i] == 0 && now >= returns[i]:
						id++
						sent[i] = id
						update(OpenedMsg{ID: id, Listener: Callers, Peer: "10.0.0.1", Now: at(now)})
						update(PhaseMsg{ID: id, Phase: c.phase, Now: at(now)})
						for held := int64(0); held < c.bytes; held += c.piece {
							if update(HeldMsg{ID: id, Bytes: c.piece, MayRefuse: c.phase == PhaseBody, Now: at(now)}) {
								update(ClosedMsg{ID: id})
							}
						}
					}
				}
				id++
				update(OpenedMsg{ID: id, Listener: Callers, Peer: "10.0.0.2", Now: at(now)})
				update(HeldMsg{ID: id, Bytes: 2*500 + 10*fieldBytes, Now: at(now)})
				update(PhaseMsg{ID: id, Phase: PhaseWork, Now: at(now)})
				update(ReleasedMsg{ID: id})
				if update(HeldMsg{ID: id, Bytes: requestBytes, MayRefuse: true, Starts: true, Now: at(now)}) || m.conns[id] == nil {
					refused++
				}
				update(ClosedMsg{ID: id})
			}
			require.Zero(t, closed[PhaseWrite], "downloads that were cut off")
			require.Zero(t, closed[PhaseIdle], "idle connections that were closed")
			require.Zero(t, refused, "ordinary requests that were refused")
		})
	}
}

// Guards against a flood of connections that keeps probes and heartbeats out: their listeners have room of their own, in
// which the connection that waits longest goes.
func TestServiceListenersHaveRoom(t *testing.T) {
	b := NewBudget(64<<20, 500)
	m := NewModule(b)
	open(m, 0, 1000, at(0))
	require.Equal(t, b.listenerSockets(Callers), m.Open())
	require.Equal(t, []Cmd{RefuseCmd{ID: 2000, Listener: Callers, Peer: "p", Reason: ReasonConnections}},
		m.Update(OpenedMsg{ID: 2000, Listener: Callers, Peer: "p", Now: at(0)}))
	for i := range 100 {
		now := at(time.Duration(i) * time.Microsecond)
		for _, cmd := range m.Update(OpenedMsg{ID: uint64(3000 + i), Listener: Ready, Peer: "p", Now: now}) {
			require.Less(t, cmd.(CloseCmd).ID, uint64(3000+i))
			require.Equal(t, Ready, cmd.(CloseCmd).Listener)
		}
		require.Contains(t, m.conns, uint64(3000+i))
	}
	require.LessOrEqual(t, m.Open(), b.Sockets)
}

// Guards against limits that a client inside the published ones meets in calm: a head of 4,000 fields, also beside idle
// connections, is served.
func TestSingleLargeHeadIsServed(t *testing.T) {
	m := NewModule(NewBudget(184<<20, 4100))
	require.Empty(t, open(m, 0, 500, at(0)))
	require.Empty(t, m.Update(HeldMsg{ID: 3, Bytes: 2*16384 + 4000*fieldBytes, Now: at(0)}))
	require.Empty(t, m.Update(ReleasedMsg{ID: 3}))
	require.Empty(t, m.Update(HeldMsg{ID: 3, Bytes: requestBytes + bodyBytes + 4000*fieldBytes, MayRefuse: true, Now: at(0)}))
}

// Guards against an account that drifts: whatever happens, the sums match the connections and the bounds hold.
func TestSumsMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(8<<20, 400)
		m, now, id := NewModule(b), start, uint64(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			known := uint64(rapid.IntRange(0, int(id)).Draw(t, "id"))
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				id++
				listener := rapid.SampledFrom([]string{Callers, Relay, Ready, Peer}).Draw(t, "listener")
				m.Update(OpenedMsg{ID: id, Listener: listener, Peer: listener, Outbound: rapid.Bool().Draw(t, "out"), Now: now})
			case 1:
				m.Update(ClosedMsg{ID: known})
			case 2:
				m.Update(PhaseMsg{ID: known, Phase: Phase(rapid.IntRange(0, 4).Draw(t, "phase")), Bytes: 100, Now: now})
			case 3:
				m.Update(HeldMsg{ID: known, Bytes: int64(rapid.IntRange(0, 1<<20).Draw(t, "bytes")), MayRefuse: rapid.Bool().Draw(t, "may"), Now: now})
			case 4:
				m.Update(ReleasedMsg{ID: known})
			}
			held, unfinished, peers := int64(0), int64(0), int64(0)
			for _, c := range m.conns {
				held += c.held
				if c.isUnfinished() {
					unfinished += c.held
				}
			}
			for _, p := range m.peers {
				peers += p
			}
			if held != m.held || unfinished != m.unfinished || peers != held {
				t.Fatalf("connections hold %d, sum %d, by peer %d; unfinished messages hold %d, sum %d", held, m.held, peers, unfinished, m.unfinished)
			}
		}
	})
}
