package ticket

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// designSizeNodes returns the nodes of the design size: 670 in 9 failure domains.
func designSizeNodes() []model.Node {
	var nodes []model.Node
	for i := range 670 {
		nodes = append(nodes, model.Node{Ref: model.NodeRef{ID: fmt.Sprintf("vm-%03d", i), Incarnation: 1}, Domain: fmt.Sprintf("domain-%d", i%9)})
	}
	return nodes
}

// Guards against more reads of the head row than the 18 + 22 per second of the design, against bursts, and against a
// failure domain without a reader. All nodes start at once, which is the worst case for bursts.
func TestReadsPerSecondAtDesignSize(t *testing.T) {
	const (
		seconds     = 300
		ticksPerSec = 4
		// planned is 18 readers each second and 652 others each 30 s; the test allows 5% for jitter.
		planned = 18.0 + 652.0/30
		// platformReads is the total number of reads per second that the platform supports.
		platformReads = 2000
	)
	nodes := designSizeNodes()
	require.Len(t, Readers(nodes), 18)
	var modules []*Module
	for i, n := range nodes {
		m := New(Config{Random: rand.New(rand.NewPCG(uint64(i), 7))})
		m.Update(ReaderMsg{Reader: IsReader(n, nodes)})
		modules = append(modules, m)
	}
	reads := make([]int, seconds)
	for tick := range seconds * ticksPerSec {
		now := startTime.Add(time.Duration(tick) * time.Second / ticksPerSec)
		for _, m := range modules {
			for _, cmd := range m.Update(TickMsg{Now: now}) {
				if _, ok := cmd.(ReadHeadCmd); ok {
					reads[tick/ticksPerSec]++
				}
			}
		}
	}
	total, peak := 0, 0
	for _, n := range reads[60:] {
		total += n
		peak = max(peak, n)
	}
	mean := float64(total) / float64(seconds-60)
	t.Logf("reads/s at 670 nodes: first second %d, then mean %.1f, peak %d", reads[0], mean, peak)
	require.InEpsilon(t, planned, mean, 0.05)
	require.Less(t, reads[0], platformReads/2)
}

// Guards against more or fewer than two platform readers per failure domain, and against views that disagree.
func TestTwoReadersPerDomain(t *testing.T) {
	nodes := designSizeNodes()
	shuffled := slices.Clone(nodes)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	require.Equal(t, Readers(nodes), Readers(shuffled))
	readers := map[string]int{}
	for _, n := range nodes {
		readers[n.Domain] += 0
		if IsReader(n, shuffled) {
			readers[n.Domain]++
		}
	}
	require.Len(t, readers, 9)
	for domain, count := range readers {
		require.Equal(t, 2, count, domain)
	}
}

// Guards against a failure domain that stays without readers after they fail, and against needless changes of readers.
func TestReadersFollowTheMembership(t *testing.T) {
	nodes := designSizeNodes()
	before := Readers(nodes)
	removed := before[0]
	var rest []model.Node
	for _, n := range nodes {
		if n.Ref != removed {
			rest = append(rest, n)
		}
	}
	after := Readers(rest)
	require.Len(t, after, 18)
	kept := 0
	for _, r := range after {
		for _, b := range before {
			if r == b {
				kept++
			}
		}
	}
	require.Equal(t, 17, kept)
}

// Guards against a node that becomes a reader and keeps the long interval of its previous role.
func TestPromotedReaderReadsWithinOneInterval(t *testing.T) {
	m := New(Config{})
	require.Contains(t, m.Update(TickMsg{Now: startTime}), ReadHeadCmd{})
	m.Update(ReaderMsg{Reader: true})
	require.Contains(t, m.Update(TickMsg{Now: startTime.Add(ReaderInterval)}), ReadHeadCmd{})
}
