package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an agent that parses a class other than the edge wrote: a request that must not run twice would be
// taken for one that may.
func TestClassRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Class{
			Idempotent: rapid.Bool().Draw(t, "idempotent"), Nested: rapid.Bool().Draw(t, "call"), Forced: rapid.Bool().Draw(t, "forced"),
			Retry: rapid.Bool().Draw(t, "repeat"), HasProgress: rapid.Bool().Draw(t, "advanced"),
			Rank: rapid.IntRange(-5, 1000).Draw(t, "rank"),
		}
		parsed, ok := ParseClass(c.String())
		require.True(t, ok)
		require.Equal(t, c, parsed)
	})
	c, ok := ParseClass("novel,call,rank=1")
	require.True(t, ok, "unknown words are ignored")
	require.Equal(t, Class{Nested: true, Rank: 1}, c)
	_, ok = ParseClass("rank=x")
	require.False(t, ok)
}
