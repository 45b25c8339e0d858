package agent

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a target that dies because the requests that it holds exceed its memory, and against a bound that a single
// request meets.
func TestUploadsAreBounded(t *testing.T) {
	const limit = 100
	var s uploads
	bodyless, ok := s.begin(limit, 0)
	require.True(t, ok)
	large, ok := s.begin(limit, 64*limit)
	require.True(t, ok)
	_, ok = s.begin(limit, 1)
	require.False(t, ok)
	_, ok = s.begin(limit, -1)
	require.False(t, ok, "nothing was sent, so it can go elsewhere")
	large.end()
	bodyless.end()

	chunked, ok := s.begin(limit, -1)
	require.True(t, ok)
	second, ok := s.begin(limit, limit)
	require.True(t, ok)
	third, ok := s.begin(limit, -1)
	require.True(t, ok)
	require.False(t, third.grow(1))
	require.True(t, chunked.grow(64*limit), "the oldest passes")
	for _, u := range []*upload{chunked, second, third} {
		u.end()
	}
	require.Zero(t, s.sum)
	require.Empty(t, s.running)
}
