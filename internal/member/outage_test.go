package member

import (
	"maps"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// rackShare is the divisor for the part of a failure domain that one rack or switch serves: every third node.
	rackShare = 3
	// convergenceLimit bounds the time from the fault until all nodes agree. It equals the default shutdown-timeout,
	// because a leaving node must find a fleet whose nodes agree.
	convergenceLimit = time.Minute
)

// Guards against bursts of control messages, and against a fleet that does not converge, after a rack, a failure domain
// or a region fails and recovers. It prints the figures; the default size keeps the unit tests short.
func TestBadDays(t *testing.T) {
	n, apart := 30, 5*time.Minute
	if text := os.Getenv(capacityVariable); text != "" {
		var err error
		n, err = strconv.Atoi(text)
		require.NoError(t, err)
		apart = time.Hour
	}
	s := newSim(t, 1)
	s.fleet(n, (designTargets+designNodes-1)/designNodes)
	s.runUntil(5*time.Minute, "quiet", s.settled)
	c := &capacityFigures{t: t, sim: s, nodes: n}
	domain := s.nodes[0].node.Domain
	inDomain := 0
	c.outage("rack", func(n *simNode) bool {
		if n.node.Domain == domain {
			inDomain++
		}
		return n.node.Domain == domain && inDomain%rackShare == 0
	})
	c.outage("failure domain", func(n *simNode) bool { return n.node.Domain == domain })
	c.partition(apart)
	c.outage("region", func(n *simNode) bool { return n.node.Region == "region-0" })
}

// outage stops a group of nodes at the same time and starts them again after a minute, spread over one second.
func (c *capacityFigures) outage(name string, lost func(*simNode) bool) {
	var group []int
	for i := range c.nodes {
		if n := c.sim.byAddr[simModel(i, 0).PeerAddress]; n.up && lost(n) {
			group = append(group, i)
			n.up = false
		}
	}
	c.measureConvergence(name+" lost", len(group))
	c.sim.run(time.Minute)
	for _, i := range group {
		c.sim.after(time.Duration(c.sim.random.Int64N(int64(time.Second))), func() { c.start(i) })
	}
	c.measureConvergence(name+" starts", len(group))
	c.waitQuiet(name)
}

// waitQuiet waits until no rumour is being gossiped, so that the next fault starts from the steady state. The nodes
// agree long before: sending 224 new records of 500 bytes nine times each, at two datagrams per second, takes five
// minutes.
func (c *capacityFigures) waitQuiet(name string) {
	took := c.sim.runUntil(15*time.Minute, "quiet", c.sim.settled)
	c.print(name+" quiet", "rumours ended %v after the nodes agreed", took)
}

// partition isolates one region while nodes on both sides restart at the ordinary rate, and then heals the partition.
func (c *capacityFigures) partition(d time.Duration) {
	c.sim.isCut = func(a, b *simNode) bool {
		return a.node.Region != b.node.Region && (a.node.Region == "region-1" || b.node.Region == "region-1")
	}
	share := float64(c.nodes) / designNodes
	c.scheduleEvery(d, time.Duration(float64(24*time.Hour)/restartsPerDay/share), func() { c.restartInPartition(c.randomNode()) })
	c.sim.run(2 * time.Minute)
	c.traffic("region apart", d-2*time.Minute)
	c.sim.isCut = func(_, _ *simNode) bool { return false }
	c.measureConvergence("region back", c.nodes/simRegions)
	c.waitQuiet("region back")
}

// restartInPartition restarts a node with a seed on its own side of the partition.
func (c *capacityFigures) restartInPartition(n *simNode) {
	for i := range c.nodes {
		if simModel(i, 0).Ref.ID != n.node.Ref.ID {
			continue
		}
		n.up = false
		c.sim.after(30*time.Second, func() {
			again := c.sim.add(i)
			seed := c.randomNode()
			for c.sim.isCut(again, seed) || seed == again {
				seed = c.randomNode()
			}
			c.sim.update(again, LocalMsg{Now: c.sim.now, Local: n.module.local})
			c.sim.join(again, seed)
		})
	}
}

// measureConvergence prints the time until all nodes agree and the figures of the busiest second until then.
func (c *capacityFigures) measureConvergence(name string, nodes int) {
	var peakMean, peakNode, peakCrossRegion, peakDatagrams, total int
	var settled time.Duration
	changes := 0
	var parts simByteCounts
	for second := time.Duration(0); settled == 0; second += time.Second {
		require.Less(c.t, second, convergenceLimit, name)
		c.sim.resetCounters()
		c.sim.run(time.Second)
		sum := 0
		for _, n := range c.sim.running() {
			sum += n.sent
			peakNode = max(peakNode, n.sent, n.got)
			changes = max(changes, n.changes.content)
		}
		total += sum
		if mean := sum / len(c.sim.running()); mean > peakMean {
			peakMean, parts = mean, maps.Clone(c.sim.bytesByKind)
		}
		peakCrossRegion = max(peakCrossRegion, c.sim.crossRegionBytes)
		peakDatagrams = max(peakDatagrams, c.sim.datagrams)
		if second >= 2*time.Second && c.sim.agree() {
			settled = second + time.Second
		}
	}
	c.print(name, "%d nodes, settled within %v, %d B sent per node in all; busiest second: %d B/s per node, worst node %d B, "+
		"%d datagrams/s in all, %d B between regions, %d snapshots at one node",
		nodes, settled, total/len(c.sim.running()), peakMean, peakNode, peakDatagrams, peakCrossRegion, changes)
	c.print(name+" parts", "bytes of all nodes in the busiest second: %v", parts)
}
