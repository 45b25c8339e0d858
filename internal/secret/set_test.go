package secret

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/timer"
)

// Guards against a state dump that hides which secret is still in use, or that reveals the secret.
func TestStateReportsUsesByFingerprint(t *testing.T) {
	start := time.Unix(1000, 0).UTC()
	s := NewSet(Config{Secrets: [][]byte{[]byte("first"), []byte("second")}, Clock: timer.NewManual(start)})
	for range 2 {
		i, ok := s.Match(func(i int) bool { return i == 1 })
		require.True(t, ok)
		require.Equal(t, 1, i)
	}
	_, ok := s.Match(func(int) bool { return false })
	require.False(t, ok)
	require.EqualValues(t, 2, s.Uses())
	require.Equal(t, []Use{
		{Fingerprint: Fingerprint([]byte("first"))},
		{Fingerprint: Fingerprint([]byte("second")), Uses: 2, LastUsed: &start},
	}, s.State())
	require.NotContains(t, Fingerprint([]byte("second")), "second")
	require.NotEqual(t, Fingerprint([]byte("first")), Fingerprint([]byte("second")))
}

// Guards against a nil dereference in a node without accepted secrets.
func TestNilSetIsEmpty(t *testing.T) {
	var s *Set
	require.Empty(t, s.Secrets())
	require.Zero(t, s.Uses())
	_, ok := s.Match(func(int) bool { return true })
	require.False(t, ok)
	require.Empty(t, s.State())
}
