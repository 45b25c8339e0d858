package access

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against withdrawn keys that a node without contact accepts beyond the bound, and against keys that are refused
// where the operator prefers the last known ones.
func TestFreshness(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	f := Freshness{}
	f.Update(ConfirmedMsg{Number: 3, At: at(0)})
	require.True(t, f.Reliable(at(100)), "not strict")
	require.False(t, f.Due(at(100)))
	f.Update(RevocationMsg{Revocation{Strict: true, Bound: 5 * time.Second}})
	require.True(t, f.Reliable(at(5)))
	require.False(t, f.Reliable(at(5.01)))
	require.False(t, f.Due(at(2.5)))
	require.True(t, f.Due(at(2.6)))
	f.Update(ConfirmedMsg{Number: 3, At: at(4)})
	f.Update(ConfirmedMsg{Number: 3, At: at(1)})
	require.True(t, f.Reliable(at(9)), "an older confirmation changes nothing")
	f.Update(ConfirmedMsg{Number: 2, At: at(8)})
	require.False(t, f.Reliable(at(9.5)), "another node confirms a configuration that is not in force here any more")
	f.Update(ConfirmedMsg{Number: 4, At: at(9)})
	require.True(t, f.Reliable(at(14)))
	empty := Freshness{}
	empty.Update(RevocationMsg{Revocation{Strict: true, Bound: 5 * time.Second}})
	require.False(t, empty.Reliable(at(0)))
}
