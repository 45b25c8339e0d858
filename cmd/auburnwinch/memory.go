package main

import (
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
)

const (
	// gcPercent lets the heap grow to five times the live heap. A node with few targets has a live heap of only a few
	// megabytes; with the default GOGC it would run a collection every couple of hundred requests, which is visible in
	// their 99th percentile latency.
	gcPercent = 400
	// limitedPercent is used by a process whose memory is limited: its peak matters more there than a few more collections.
	limitedPercent = 100
	// memoryLimit is the soft memory limit of the Go runtime, in bytes; near it the collector runs more often. A node has
	// a memory budget of 128 MB, and the remainder is left for the binary itself.
	memoryLimit = 100 << 20
	// heapGrowthDivisor sets the minimum heap growth between two collections to the live heap divided by this number.
	// Without a minimum, a live heap of 77 MB made the collector use two cores.
	heapGrowthDivisor = 4
	// limitShare and ceilingShare bound the soft limit in percent of the memory of the process, if that is limited.
	limitShare   = 55
	ceilingShare = 75
)

// configureGC trades memory within the budget for fewer collections; the environment variables GOGC and GOMEMLIMIT take
// precedence.
//
// memory is the limit of the process in bytes, or 0; the heap must leave room for stacks and for what lives until the next
// collection.
func configureGC(memory int64) {
	percent, limit, ceiling := gcPercent, int64(memoryLimit), int64(math.MaxInt64)
	if memory > 0 {
		percent, limit, ceiling = limitedPercent, min(limit, memory*limitShare/100), memory*ceilingShare/100
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(limit)
		adjustMemoryLimit(limit, ceiling)
	}
}

// adjustMemoryLimit sets the memory limit after each collection to what the live heap requires, but never below limit
// or above ceiling. The returned function stops the adjustment.
func adjustMemoryLimit(limit, ceiling int64) (stop func()) {
	var stopped atomic.Bool
	afterGC(func() bool {
		if !stopped.Load() {
			debug.SetMemoryLimit(min(ceiling, max(limit, requiredMemory())))
		}
		return !stopped.Load()
	})
	return func() { stopped.Store(true) }
}

// requiredMemory returns the memory that the runtime needs with the minimum heap growth, in bytes.
func requiredMemory() int64 {
	samples := []metrics.Sample{
		{Name: "/gc/heap/live:bytes"},
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/heap/free:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
	}
	metrics.Read(samples)
	value := func(i int) int64 { return int64(samples[i].Value.Uint64()) }
	live := value(0)
	other := value(1) - value(2) - value(3) - value(4)
	return live + live/heapGrowthDivisor + other
}

// afterGC calls run after each collection until run returns false.
func afterGC(run func() bool) {
	// The sentinel contains a pointer because the tiny allocator packs small pointer-free objects into shared blocks, so
	// that their finalizers might never run.
	sentinel := new(*byte)
	runtime.SetFinalizer(sentinel, func(**byte) {
		if run() {
			afterGC(run)
		}
	})
}
