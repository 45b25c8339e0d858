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
	// rackShare is the part of a failure domain that one rack or switch carries.
	rackShare = 3
	// settleLimit bounds the time from the fault until all nodes agree. It is the default shutdown-timeout: a node that
	// leaves must find a fleet that has settled.
	settleLimit = time.Minute
)

// Guards against bursts of control messages, and against a fleet that does not settle, after a rack, a failure domain
// or a region is lost and comes back. It prints the figures; the default size keeps the unit tests short.
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
	c.apart(apart)
	c.outage("region", func(n *simNode) bool { return n.node.Region == "region-0" })
}

// outage ends all nodes of a group at once and starts them again within one second after a minute.
func (c *capacityFigures) outage(name string, lost func(*simNode) bool) {
	var group []int
	for i := range c.nodes {
		if n := c.sim.byAddr[simModel(i, 0).PeerAddress]; n.up && lost(n) {
			group = append(group, i)
			n.up = false
		}
	}
	c.burst(name+" lost", len(group))
	c.sim.run(time.Minute)
	for _, i := range group {
		c.sim.after(time.Duration(c.sim.random.Int64N(int64(time.Second))), func() { c.start(i) })
	}
	c.burst(name+" starts", len(group))
	c.quiet(name)
}

// quiet waits until no rumour is passed on any more, so that the next fault starts from the steady state. The nodes agree
// long before: 224 new records of 500 bytes, nine times each in two datagrams per second, take five minutes.
func (c *capacityFigures) quiet(name string) {
	took := c.sim.runUntil(15*time.Minute, "quiet", c.sim.settled)
	c.print(name+" quiet", "rumours ended %v after the nodes agreed", took)
}

// apart cuts one region off while nodes on both sides restart at the ordinary rate, and then joins the sides.
func (c *capacityFigures) apart(d time.Duration) {
	c.sim.cut = func(a, b *simNode) bool {
		return a.node.Region != b.node.Region && (a.node.Region == "region-1" || b.node.Region == "region-1")
	}
	share := float64(c.nodes) / designNodes
	c.repeat(d, time.Duration(float64(24*time.Hour)/restartsPerDay/share), func() { c.restartApart(c.pick()) })
	c.sim.run(2 * time.Minute)
	c.traffic("region apart", d-2*time.Minute)
	c.sim.cut = func(_, _ *simNode) bool { return false }
	c.burst("region back", c.nodes/simRegions)
	c.quiet("region back")
}

// restartApart restarts a node by way of a seed on its own side.
func (c *capacityFigures) restartApart(n *simNode) {
	for i := range c.nodes {
		if simModel(i, 0).Ref.ID != n.node.Ref.ID {
			continue
		}
		n.up = false
		c.sim.after(30*time.Second, func() {
			again := c.sim.add(i)
			seed := c.pick()
			for c.sim.cut(again, seed) || seed == again {
				seed = c.pick()
			}
			c.sim.update(again, LocalMsg{Now: c.sim.now, Local: n.module.local})
			c.sim.join(again, seed)
		})
	}
}

// burst prints the time until all nodes agree and the busiest second on the way.
func (c *capacityFigures) burst(name string, nodes int) {
	var peakMean, peakNode, peakCrossed, peakDatagrams, total int
	var settled time.Duration
	changes := 0
	var parts simParts
	for second := time.Duration(0); settled == 0; second += time.Second {
		require.Less(c.t, second, settleLimit, name)
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
			peakMean, parts = mean, maps.Clone(c.sim.parts)
		}
		peakCrossed = max(peakCrossed, c.sim.crossed)
		peakDatagrams = max(peakDatagrams, c.sim.datagrams)
		if second >= 2*time.Second && c.sim.agree() {
			settled = second + time.Second
		}
	}
	c.print(name, "%d nodes, settled within %v, %d B sent per node in all; busiest second: %d B/s per node, worst node %d B, "+
		"%d datagrams/s in all, %d B between regions, %d snapshots at one node",
		nodes, settled, total/len(c.sim.running()), peakMean, peakNode, peakDatagrams, peakCrossed, changes)
	c.print(name+" parts", "bytes of all nodes in the busiest second: %v", parts)
}
