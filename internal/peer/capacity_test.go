package peer

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/member"
	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/stretchr/testify/require"
)

// The stated limits of control work per node.
const (
	limitBytesPerSecond = 5000
	limitCore           = 0.029
	limitMemory         = 128 << 20
	limitUrgent         = 6 * time.Second
	targetsPerNode      = 12
)

// capacityVariable selects the number of nodes of TestLoopbackCapacity, so that `make capacity` can run larger fleets.
const capacityVariable = "AUBURNWINCH_CAPACITY_NODES"

func loopbackNodes(t *testing.T) int {
	text := os.Getenv(capacityVariable)
	if text == "" {
		return 10
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err)
	return n
}

func loopbackTargets(i int) []model.Target {
	targets := make([]model.Target, targetsPerNode)
	for j := range targets {
		targets[j] = model.Target{
			Ref:   model.TargetRef{Service: fmt.Sprintf("service-%03d", (i+j)%170), ID: fmt.Sprintf("t%04d-%02d", i, j), Incarnation: 1 << 50},
			Slots: 7, State: model.TargetServing,
		}
	}
	return targets
}

func startFleet(t *testing.T, n int) []*Peer {
	peers := make([]*Peer, n)
	for i := range peers {
		place := func(c *Config) {
			c.Self.Region, c.Self.Domain = fmt.Sprintf("region-%d", i%3), fmt.Sprintf("domain-%d", i%9)
			if i > 0 {
				c.Seeds = []string{peers[0].Self().PeerAddress, peers[i/2].Self().PeerAddress}
			}
		}
		peers[i] = startPeer(t, fmt.Sprintf("vm-%04d", i), place)
		peers[i].SetLocal(member.LocalState{Ticket: 1, Targets: loopbackTargets(i)})
	}
	return peers
}

func cpuTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// waitAll returns how long until the condition holds at all peers.
func waitAll(t *testing.T, peers []*Peer, limit time.Duration, what string, holds func(*Peer) bool) time.Duration {
	start := time.Now()
	for _, p := range peers {
		for !holds(p) {
			require.Less(t, time.Since(start), limit, what)
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start)
}

// Guards against bytes, computing time, memory and spreading times of whole nodes, sockets included, above the stated
// limits. It prints the figures. The nodes share one process, whose computing time is divided by their number.
func TestLoopbackCapacity(t *testing.T) {
	n := loopbackNodes(t)
	print := func(name, format string, args ...any) {
		fmt.Printf("loopback nodes=%d %s: %s\n", n, name, fmt.Sprintf(format, args...))
	}
	start := time.Now()
	peers := startFleet(t, n)
	waitAll(t, peers, 3*time.Minute, "all nodes known everywhere", func(p *Peer) bool {
		s := p.Snapshot()
		return len(s.Records) == n && len(s.Records[0].Targets) == targetsPerNode && len(s.Records[n-1].Targets) == targetsPerNode
	})
	print("start", "all nodes known everywhere after %v", time.Since(start).Round(time.Millisecond))
	waitAll(t, peers, time.Minute, "rumours passed on", func(p *Peer) bool {
		s := p.State().Members
		return s.PendingRumours == 0 && s.PendingNumbers == 0
	})
	measureSteady(t, peers, print)
	measureUrgent(t, peers, print)
}

func measureSteady(t *testing.T, peers []*Peer, print func(string, string, ...any)) {
	n, window := float64(len(peers)), 10*time.Second
	total := func() (sum Stats) {
		for _, p := range peers {
			s := p.Stats()
			sum.BytesSent, sum.BytesReceived = sum.BytesSent+s.BytesSent, sum.BytesReceived+s.BytesReceived
			sum.BusyNanoseconds += s.BusyNanoseconds
		}
		return sum
	}
	before, cpu := total(), cpuTime(t)
	time.Sleep(window)
	after, used := total(), cpuTime(t)-cpu
	perNode := func(v uint64) float64 { return float64(v) / n / window.Seconds() }
	sent, received := perNode(after.BytesSent-before.BytesSent), perNode(after.BytesReceived-before.BytesReceived)
	core := used.Seconds() / n / window.Seconds()
	print("steady", "sent %.0f B/s, received %.0f B/s, %.3f%% of a core by the process, %.3f%% by the own counter", sent, received,
		100*core, 100*perNode(after.BusyNanoseconds-before.BusyNanoseconds)/1e9)
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	print("memory", "%.2f MB per node", float64(stats.Sys)/n/1e6)
	require.Less(t, sent, float64(limitBytesPerSecond))
	require.Less(t, received, float64(limitBytesPerSecond))
	require.Less(t, core, limitCore)
	require.Less(t, float64(stats.Sys)/n, float64(limitMemory))
}

func measureUrgent(t *testing.T, peers []*Peer, print func(string, string, ...any)) {
	var worst time.Duration
	for round := range 5 {
		i := round * len(peers) / 5
		targets := loopbackTargets(i)
		targets[0].State = model.TargetDraining
		id := peers[i].Self().Ref.ID
		peers[i].SetLocal(member.LocalState{Ticket: 1, Targets: targets})
		worst = max(worst, waitAll(t, peers, limitUrgent, "drain known everywhere", func(p *Peer) bool {
			r := p.Snapshot().Record(id)
			return r != nil && r.Targets[0].State == model.TargetDraining
		}))
		time.Sleep(time.Second)
	}
	print("urgent change", "known everywhere after %v (worst of 5)", worst.Round(time.Millisecond))
}

// BenchmarkSeal measures encoding and authentication of a datagram with two full records.
func BenchmarkSeal(b *testing.B) {
	s, d := newSealer([]byte(testSecret), nil), benchmarkDatagram(b)
	for b.Loop() {
		_, _ = s.seal(d)
	}
}

// BenchmarkOpen measures authentication and decoding of the same datagram.
func BenchmarkOpen(b *testing.B) {
	s := newSealer([]byte(testSecret), nil)
	packet, err := s.seal(benchmarkDatagram(b))
	require.NoError(b, err)
	b.SetBytes(int64(len(packet)))
	for b.Loop() {
		_, _ = s.open(packet)
	}
}

func benchmarkDatagram(b *testing.B) *member.Datagram {
	record := make([]byte, 450)
	d := &member.Datagram{Kind: member.KindPing, From: model.NodeRef{ID: "vm-0001", Incarnation: 1 << 50}, Root: 1 << 60}
	for i := range uint64(2) {
		d.Rumours = append(d.Rumours, member.Rumour{Key: 1<<60 + i, Version: 9, ContentVersion: 8, Status: member.StatusAlive, Record: record})
	}
	return d
}
