package main

import (
	"os"
	"runtime/debug"
)

const (
	// collectorPercent lets the heap grow to five times what is live. A node with few targets keeps only a few megabytes
	// live; by default it would collect every couple of hundred requests, which shows in their 99th percentile.
	collectorPercent = 400
	// memoryLimit bounds the memory of the runtime, in bytes; near it the collector runs more often. The budget of a node
	// is 128 MB, and the rest is left for the program itself.
	memoryLimit = 100 << 20
)

// setCollector trades memory within the budget for fewer collections; GOGC and GOMEMLIMIT of the environment win.
func setCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
