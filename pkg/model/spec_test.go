package model

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against durations without a unit, which would be read as nanoseconds.
func TestDurationNeedsUnit(t *testing.T) {
	var d Duration
	require.Error(t, d.UnmarshalText([]byte("250")))
	require.NoError(t, d.UnmarshalText([]byte("250ms")))
	require.Equal(t, "250ms", d.String())
}
