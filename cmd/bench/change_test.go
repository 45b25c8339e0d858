package main

import (
	"testing"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/view"
)

// BenchmarkChange measures what a node of the design size computes after one change, by part. The full rebuild, which
// starts each view from the beginning, is measured for comparison.
func BenchmarkChange(b *testing.B) {
	for _, c := range fleetChanges(designNodes) {
		for _, full := range []bool{true, false} {
			b.Run(c.name+map[bool]string{true: "/full", false: "/changed"}[full], func(b *testing.B) { benchmarkChange(b, c, full) })
		}
	}
}

func benchmarkChange(b *testing.B, c fleetChange, full bool) {
	r := newRebuilder(full)
	defer r.close()
	r.apply(c.states[0])
	var parts [4]time.Duration
	timed := func(part int, call func()) {
		begin := time.Now()
		call()
		parts[part] += time.Since(begin)
	}
	for n := 1; b.Loop(); n++ {
		s := c.states[n%2]
		var v *view.View
		timed(0, func() { v = r.view(s) })
		timed(1, func() { r.edge.SetView(v) })
		timed(2, func() { r.agent.SetView(v) })
		timed(3, func() { r.picker.SetView(v) })
	}
	for i, name := range []string{"view-µs", "edge-µs", "agent-µs", "picker-µs"} {
		b.ReportMetric(float64(parts[i].Microseconds())/float64(b.N), name)
	}
}
