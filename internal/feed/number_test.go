package feed_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// numbers holds the configuration numbers of a node: the one in force, and the highest one that others had in force.
type numbers struct{ inForce, heard atomic.Uint64 }

func (n *numbers) Number() uint64 { return n.inForce.Load() }

func (n *numbers) Observe(number uint64) {
	if number > n.heard.Load() {
		n.heard.Store(number)
	}
}

// Guards against followers that hear of a new configuration only when their calls end, and against calls without pause of
// a follower that has heard of one but can't get it.
func TestFollowersHearOfANewConfigurationAtOnce(t *testing.T) {
	f := newFleet(t, 6)
	for _, n := range f.nodes {
		n.numbers.inForce.Store(1)
	}
	require.Eventually(t, func() bool {
		following := 0
		for _, n := range f.nodes {
			if n.table.Follows() {
				following++
			}
		}
		return following == len(f.nodes)-2
	}, 10*time.Second, 10*time.Millisecond)
	time.Sleep(2500 * time.Millisecond) // The calls that began before the numbers were set have ended.
	for _, n := range f.nodes {
		if !n.table.Follows() {
			n.numbers.inForce.Store(2)
			n.table.NumberChanged()
		}
	}
	begin, calls := time.Now(), int64(0)
	for _, n := range f.nodes {
		if n.table.Follows() {
			require.Eventually(t, func() bool { return n.numbers.heard.Load() == 2 }, 300*time.Millisecond, time.Millisecond,
				"%s has not heard of it after %v", n.id, time.Since(begin))
			calls -= n.table.PeerCalls()
		}
	}
	time.Sleep(time.Second)
	for _, n := range f.nodes {
		if n.table.Follows() {
			calls += n.table.PeerCalls()
		}
	}
	require.Less(t, calls, int64(3*len(f.nodes)), "calls within a second after they have heard of it")
}
