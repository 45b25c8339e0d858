package main

import (
	"math"
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against garbage collection thrashing when the live heap is near the memory limit: a node that had used most
// pairs of target and route spent two cores on garbage collection.
func TestGCDoesNotThrashAtMemoryLimit(t *testing.T) {
	const limit, block = 32 << 20, 16 << 10
	before := debug.SetMemoryLimit(limit)
	defer debug.SetMemoryLimit(before)
	defer adjustMemoryLimit(limit, math.MaxInt64)()
	live := make([][]byte, 2*limit/block)
	for i := range live {
		live[i] = make([]byte, block)
	}
	var start, end runtime.MemStats
	runtime.ReadMemStats(&start)
	for range 4 * limit / block {
		live[0] = make([]byte, block)
	}
	runtime.ReadMemStats(&end)
	runtime.KeepAlive(live)
	require.Less(t, end.NumGC-start.NumGC, uint32(16), "number of collections while four times the limit is allocated")
}
