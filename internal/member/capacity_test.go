package member

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
	"github.com/stretchr/testify/require"
)

// The stated limits of control work per node, and the fleet they are stated for.
const (
	limitBytesPerSecond = 5000
	limitCore           = 0.029
	limitUrgent         = 6 * time.Second
	limitMemory         = 128 << 20
	designNodes         = 670
	designTargets       = 7500
	restartsPerDay      = 2100
	failuresPerDay      = 11
	ticketsPerDay       = 750
)

// capacityVariable lists the numbers of nodes of TestCapacity, such as `10,100,670`, so that `make capacity` can run the design size.
const capacityVariable = "AUBURNWINCH_CAPACITY_NODES"

// Guards against control traffic, computing time and spreading times above the stated limits. It prints the figures;
// the default size keeps the unit tests short.
func TestCapacity(t *testing.T) {
	sizes := []int{10, 50}
	if text := os.Getenv(capacityVariable); text != "" {
		sizes = nil
		for part := range strings.SplitSeq(text, ",") {
			n, err := strconv.Atoi(part)
			require.NoError(t, err)
			sizes = append(sizes, n)
		}
	}
	for _, n := range sizes {
		t.Run(strconv.Itoa(n), func(t *testing.T) { measure(t, n) })
	}
}

func measure(t *testing.T, n int) {
	s := newSim(t, 1)
	s.fleet(n, (designTargets+designNodes-1)/designNodes)
	s.runUntil(5*time.Minute, "quiet", s.settled)
	figures := &capacityFigures{t: t, sim: s, nodes: n}
	figures.memory()
	figures.traffic("quiet", time.Minute)
	figures.urgent()
	figures.ticket()
	figures.ordinaryDay()
	figures.crash()
	figures.join()
	figures.regionStart()
	figures.storm()
}

// capacityFigures measures one simulated fleet and prints a line per figure.
type capacityFigures struct {
	t     *testing.T
	sim   *sim
	nodes int
}

func (c *capacityFigures) print(name, format string, args ...any) {
	fmt.Printf("capacity nodes=%d %s: %s\n", c.nodes, name, fmt.Sprintf(format, args...))
}

// memory prints the heap per module, the shared network of the simulation included.
func (c *capacityFigures) memory() {
	for _, n := range c.sim.nodes {
		n.module.Snapshot()
	}
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	perNode := stats.HeapAlloc / uint64(len(c.sim.nodes))
	c.print("memory", "%.2f MB of heap per node for records and snapshot", float64(perNode)/1e6)
	require.Less(c.t, perNode, uint64(limitMemory))
}

// traffic runs the fleet and prints bytes, headers included, and computing time per node and second.
func (c *capacityFigures) traffic(name string, d time.Duration) {
	c.sim.resetCounters()
	c.sim.run(d)
	var sent, got, worst, alive float64
	for _, n := range c.sim.running() {
		sent, got, alive = sent+float64(n.sent), got+float64(n.got), alive+1
		worst = max(worst, float64(n.sent), float64(n.got))
	}
	seconds := d.Seconds()
	core := c.sim.busy.Seconds() / seconds / alive
	var content, numbers float64
	for _, n := range c.sim.running() {
		content, numbers = content+float64(n.changes.content), numbers+float64(n.changes.numbers)
	}
	c.print(name+" messages", "%.3f datagrams/s per node, %.0f B/s between regions in all, %.4f snapshots/s per node after content, %.4f after numbers",
		float64(c.sim.datagrams)/seconds/alive, float64(c.sim.crossed)/seconds, content/alive/seconds, numbers/alive/seconds)
	c.print(name, "sent %.0f B/s, received %.0f B/s, worst node %.0f B/s, %.3f%% of a core (module and codec)",
		sent/alive/seconds, got/alive/seconds, worst/seconds, 100*core)
	require.Less(c.t, sent/alive/seconds, float64(limitBytesPerSecond))
	require.Less(c.t, worst/seconds, float64(limitBytesPerSecond))
	require.Less(c.t, core, limitCore)
}

// spread returns how long until all running nodes meet the condition, and how long until half of them do.
func (c *capacityFigures) spread(what string, knows func(*simNode) bool) (half, all time.Duration) {
	start := c.sim.now
	for {
		nodes := c.sim.running()
		count := 0
		for _, n := range nodes {
			if knows(n) {
				count++
			}
		}
		if half == 0 && 2*count >= len(nodes) {
			half = c.sim.now.Sub(start)
		}
		if count == len(nodes) {
			return half, c.sim.now.Sub(start)
		}
		require.Less(c.t, c.sim.now.Sub(start), limitUrgent, what)
		c.sim.run(5 * time.Millisecond)
	}
}

// urgent measures drains of one target, started at several nodes one after the other.
func (c *capacityFigures) urgent() {
	var worst, worstHalf time.Duration
	for i := range 10 {
		n := c.sim.nodes[i*len(c.sim.nodes)/10]
		half, all := c.drain(n)
		worst, worstHalf = max(worst, all), max(worstHalf, half)
		c.sim.run(20 * time.Second)
	}
	c.print("urgent change", "half of the nodes after %v, all after %v (worst of 10)", worstHalf, worst)
}

// ticket measures a ticket that one node has in force first; each node fetches it in 100 ms.
func (c *capacityFigures) ticket() {
	c.file(c.sim.nodes[0], 2)
	half, all := c.spread("ticket in force everywhere", func(n *simNode) bool { return n.module.self.record.Ticket >= 2 })
	start := c.sim.now.Add(-all)
	c.sim.runUntil(5*time.Minute, "numbers known everywhere", func() bool {
		for _, n := range c.sim.running() {
			for _, e := range n.module.table.sorted {
				if !e.status.gone() && e.record.Ticket < 2 {
					return false
				}
			}
		}
		return true
	})
	c.print("ticket", "in force on half of the nodes after %v, on all after %v; every node knows the number of every other after %v",
		half, all, c.sim.now.Sub(start))
}

func (c *capacityFigures) file(n *simNode, number uint64) {
	local := n.module.local
	local.Ticket = number
	c.sim.update(n, LocalMsg{Now: c.sim.now, Local: local})
}

// ordinaryDay runs a part of a day with restarts, failures and tickets at the stated rates, in proportion to the size.
func (c *capacityFigures) ordinaryDay() {
	share := float64(c.nodes) / designNodes
	restart := time.Duration(float64(24*time.Hour) / restartsPerDay / share)
	failure := time.Duration(float64(24*time.Hour) / failuresPerDay / share)
	part := max(10*time.Minute, 2*restart)
	number := uint64(10)
	c.repeat(part, 24*time.Hour/ticketsPerDay, func() {
		number++
		c.file(c.pick(), number)
	})
	c.repeat(part, restart, func() { c.restart(c.pick(), true) })
	c.repeat(part, min(failure, part/2), func() { c.restart(c.pick(), false) })
	c.traffic("ordinary day", part)
}

func (c *capacityFigures) repeat(total, interval time.Duration, run func()) {
	for at := interval / 2; at < total; at += interval {
		c.sim.after(at, run)
	}
}

func (c *capacityFigures) pick() *simNode {
	nodes := c.sim.running()
	return nodes[c.sim.random.IntN(len(nodes))]
}

// restart ends a node, with its leaving record when it is graceful, and starts it again after 30 s. Its targets come
// up one after the other.
func (c *capacityFigures) restart(n *simNode, graceful bool) {
	i := slices.IndexFunc(c.sim.nodes[:c.nodes], func(o *simNode) bool { return o.node.Ref.ID == n.node.Ref.ID })
	down := func() {
		if graceful {
			c.sim.update(n, LeaveMsg{Now: c.sim.now})
		}
		n.up = false
		c.sim.after(30*time.Second, func() { c.start(i) })
	}
	if !graceful {
		down()
		return
	}
	local := n.module.local
	local.Leaving = true
	c.sim.update(n, LocalMsg{Now: c.sim.now, Local: local})
	c.sim.after(5*time.Second, down)
}

func (c *capacityFigures) start(i int) *simNode {
	n := c.sim.add(i)
	c.sim.join(n, c.pick())
	targets := simTargets(i, 12)
	for j := range targets {
		c.sim.after(time.Duration(j)*300*time.Millisecond, func() {
			if n.up {
				local := n.module.local
				local.Targets = targets[:j+1]
				c.sim.update(n, LocalMsg{Now: c.sim.now, Local: local})
			}
		})
	}
	return n
}

// crash measures nodes that stop without a word, one after the other, until the others hold them dead.
func (c *capacityFigures) crash() {
	var halves, alls []time.Duration
	for range 10 {
		victim := c.pick()
		i := slices.IndexFunc(c.sim.nodes[:c.nodes], func(o *simNode) bool { return o.node.Ref.ID == victim.node.Ref.ID })
		victim.up = false
		key, start := victim.module.self.key, c.sim.now
		know := func() (count int) {
			for _, n := range c.sim.running() {
				if e := n.module.table.byKey[key]; e == nil || e.status.gone() {
					count++
				}
			}
			return count
		}
		c.sim.runUntil(time.Minute, "crash known to half of the nodes", func() bool { return 2*know() >= len(c.sim.running()) })
		halves = append(halves, c.sim.now.Sub(start))
		c.sim.runUntil(time.Minute, "crash known everywhere", func() bool { return know() == len(c.sim.running()) })
		alls = append(alls, c.sim.now.Sub(start))
		c.start(i)
		c.sim.run(20 * time.Second)
	}
	slices.Sort(halves)
	slices.Sort(alls)
	c.print("crash", "dead on half of the nodes after %v (median) %v (worst of 10), on all after %v (median) %v (worst)",
		halves[len(halves)/2], halves[len(halves)-1], alls[len(alls)/2], alls[len(alls)-1])
}

// join measures one node that is added to the running fleet.
func (c *capacityFigures) join() {
	c.sim.run(2 * time.Minute)
	c.sim.resetCounters()
	seed := c.pick()
	n := c.sim.add(c.nodes)
	c.sim.join(n, seed)
	took := c.sim.runUntil(limitUrgent, "joined", func() bool { return n.module.joined })
	c.print("join", "%v until the records are there, %d B received, %d B sent by the seed", took, n.got, seed.sent)
	known := c.sim.runUntil(time.Minute, "new node known everywhere", func() bool {
		for _, other := range c.sim.running() {
			if other.module.table.byKey[n.module.self.key] == nil {
				return false
			}
		}
		return true
	})
	c.print("join", "known on every node after %v", known+took)
}

// regionStart ends all nodes of a region, waits until they are dead, and starts them again within one second.
func (c *capacityFigures) regionStart() {
	var region []int
	for i, n := range c.sim.nodes[:c.nodes] {
		if n.node.Region == "region-1" {
			region = append(region, i)
		}
	}
	for _, n := range c.sim.nodes {
		n.up = n.up && n.node.Region != "region-1"
	}
	dead := c.sim.runUntil(time.Minute, "region dead", c.sim.agree)
	c.print("region fails", "all %d nodes dead on every survivor after %v", len(region), dead)
	c.sim.resetCounters()
	for _, i := range region {
		c.sim.after(time.Duration(c.sim.random.Int64N(int64(time.Second))), func() { c.start(i) })
	}
	c.sim.run(2 * time.Second)
	took := c.sim.runUntil(5*time.Minute, "region known everywhere", c.sim.agree) + 2*time.Second
	var total, worst int
	for _, n := range c.sim.running() {
		total, worst = total+n.sent, max(worst, n.sent, n.got)
	}
	c.print("region starts", "all nodes agree after %v; %d B sent per node, worst node %d B", took,
		total/len(c.sim.running()), worst)
}

// storm lets one target on each of many nodes flap twice a second, which makes every change urgent.
func (c *capacityFigures) storm() {
	c.sim.run(time.Minute)
	const flapping = 20
	nodes := c.sim.running()
	end := c.sim.now.Add(10 * time.Minute)
	for i := range min(flapping, len(nodes)) {
		c.flap(nodes[i], end)
	}
	c.sim.run(3 * time.Minute)
	c.traffic("storm of urgent changes", 5*time.Minute)
	c.drainInStorm(nodes[len(nodes)-1])
	c.sim.run(end.Sub(c.sim.now))
	c.print("storm of urgent changes", "all nodes agree %v after its end", c.sim.runUntil(2*time.Minute, "agreement", c.sim.agree))
}

// drainInStorm measures the drain of a target of a node that does not flap.
func (c *capacityFigures) drainInStorm(n *simNode) {
	half, all := c.drain(n)
	c.print("storm of urgent changes", "another drain known to half of the nodes after %v, to all after %v", half, all)
}

func (c *capacityFigures) drain(n *simNode) (half, all time.Duration) {
	local := n.module.local
	local.Targets = slices.Clone(local.Targets)
	i := slices.IndexFunc(local.Targets, func(t model.Target) bool { return t.State == model.TargetServing })
	local.Targets[i].State = model.TargetDraining
	c.sim.update(n, LocalMsg{Now: c.sim.now, Local: local})
	content, key := n.module.self.record.ContentVersion, n.module.self.key
	return c.spread("drain known everywhere", func(other *simNode) bool {
		return other.module.table.byKey[key].record.ContentVersion >= content
	})
}

func (c *capacityFigures) flap(n *simNode, end time.Time) {
	if c.sim.now.After(end) {
		return
	}
	local := n.module.local
	local.Targets = slices.Clone(local.Targets)
	local.Targets[0].State = model.TargetServing + model.TargetDraining - local.Targets[0].State
	c.sim.update(n, LocalMsg{Now: c.sim.now, Local: local})
	c.sim.after(500*time.Millisecond, func() { c.flap(n, end) })
}
