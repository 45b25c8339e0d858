package search

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// grid is a model that moves right or down on a square board; reaching the forbidden cell is a violation.
type grid struct {
	size      int
	forbidden [2]int
}

func right() string { return "right" }

func down() string { return "down" }

func (grid) Initial() [2]int { return [2]int{} }

func (g grid) Next(s [2]int, visit func(func() string, [2]int)) {
	if s[0] < g.size-1 {
		visit(right, [2]int{s[0] + 1, s[1]})
	}
	if s[1] < g.size-1 {
		visit(down, [2]int{s[0], s[1] + 1})
	}
}

func (grid) Fingerprint(s [2]int) Fingerprint { return Fingerprint{uint64(s[0]), uint64(s[1])} }

func (g grid) Check(s [2]int) string {
	if s == g.forbidden {
		return "trap"
	}
	return ""
}

// Guards against a search that misses states or reports completeness too early.
func TestExploreReachesEveryState(t *testing.T) {
	r := Explore(grid{size: 30, forbidden: [2]int{-1, -1}}, Options{})
	require.True(t, r.Complete)
	require.Equal(t, 900, r.States)
	require.Equal(t, 2*30*29, r.Transitions)
	require.Nil(t, r.Violation)
}

// Guards against a violation that is missed or reported with the wrong steps.
func TestExploreReportsShortestPath(t *testing.T) {
	r := Explore(grid{size: 30, forbidden: [2]int{2, 0}}, Options{})
	require.Equal(t, &Violation{Problem: "trap", Steps: []string{"right", "right"}}, r.Violation)
}
