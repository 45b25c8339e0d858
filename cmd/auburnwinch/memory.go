package main

import (
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
)

const (
	// collectorPercent lets the heap grow to five times what is live. A node with few targets keeps only a few megabytes
	// live; by default it would collect every couple of hundred requests, which shows in their 99th percentile.
	collectorPercent = 400
	// memoryLimit bounds the memory of the runtime, in bytes; near it the collector runs more often. The budget of a node
	// is 128 MB, and the rest is left for the program itself.
	memoryLimit = 100 << 20
	// leastGrowth is the part of the live heap, one in this many, by which the heap may always grow between two collections.
	// Without it a live heap of 77 MB made the collector take two cores.
	leastGrowth = 4
)

// setCollector trades memory within the budget for fewer collections; GOGC and GOMEMLIMIT of the environment win.
func setCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
		keepHeadroom(memoryLimit)
	}
}

// keepHeadroom raises the memory limit after each collection as far as the live heap needs, and lowers it again. The
// returned function ends that.
func keepHeadroom(limit int64) (stop func()) {
	var stopped atomic.Bool
	afterCollection(func() bool {
		if !stopped.Load() {
			debug.SetMemoryLimit(max(limit, neededMemory()))
		}
		return !stopped.Load()
	})
	return func() { stopped.Store(true) }
}

// neededMemory returns the memory of the runtime with the least growth of the heap, in bytes.
func neededMemory() int64 {
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
	return live + live/leastGrowth + other
}

// afterCollection runs the function after each collection while it returns true.
func afterCollection(run func() bool) {
	// A pointer-free object of few bytes would share its memory with others and might never be collected.
	mark := new(*byte)
	runtime.SetFinalizer(mark, func(**byte) {
		if run() {
			afterCollection(run)
		}
	})
}
