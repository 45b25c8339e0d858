package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a fit that is wrong at small sizes because the largest one outweighs them.
func TestFitOfALine(t *testing.T) {
	s := slope{samples: []sample{{10, 25}, {100, 70}, {670, 355}}}
	l := s.fit()
	require.InDelta(t, 20, l.fixed, 1e-6)
	require.InDelta(t, 0.5, l.per, 1e-9)
	require.InDelta(t, 0, l.residual, 1e-9)
	require.InDelta(t, 7, slope{samples: []sample{{1, 7}}}.fit().at(3), 1e-9)
}

// Guards against figures that are read from the wrong line or column of the output of measuring tests.
func TestReadMeasurements(t *testing.T) {
	directory := t.TempDir()
	_, err := readMeasurements(directory)
	require.ErrorContains(t, err, "make capacity")
	output := "=== RUN   TestCapacity\n" +
		"capacity nodes=670 ordinary day messages: 2.269 datagrams/s per node, 412288 B/s between regions in all, 0.1558 snapshots/s per node after content, 0.0562 after numbers\n" +
		"capacity nodes=100 ordinary day: sent 501 B/s, received 497 B/s, worst node 620 B/s, 0.001% of a core (module and codec)\n" +
		"capacity nodes=670 ordinary day: sent 1138 B/s, received 1134 B/s, worst node 2261 B/s, 0.008% of a core (module and codec)\n" +
		"BenchmarkApply/routes=15-10    \t   10000\t     30297 ns/op\t   27915 B/op\n" +
		"    bench_test.go:139: 600000 keys: 200 bytes per key, 120 MB\n" +
		"| norte-1-vm-01 | 1.03% | 30.3 | 285 | 284 | 1.93 | 0.0273% | 0.899 | 0.000 |\n"
	require.NoError(t, os.WriteFile(filepath.Join(directory, "all.txt"), []byte(output), 0o600))
	m, err := readMeasurements(directory)
	require.NoError(t, err)
	b, err := newBudget(&scaleFigures{}, m)
	require.NoError(t, err)
	require.Equal(t, []float64{1138, 1134, 2261}, []float64{b.sent, b.received, b.worst})
	require.InDelta(t, 0.00008, b.core, 1e-12)
	require.Equal(t, []float64{2.269, 412288, 0.1558, 0.0562}, []float64{b.datagrams, b.crossed, b.contentChanges, b.numberChanges})
	require.InDelta(t, 30297, m.benchmark("Apply/routes=15"), 0)
	require.Equal(t, []sample{{600000, 200}}, m.keys)
	require.InDelta(t, 0.0103, m.idleCore, 1e-12)
	require.InDelta(t, 30.3, m.idleMB, 1e-12)
	_, err = m.figures("capacity", "quiet", 670, 4)
	require.ErrorContains(t, err, "make capacity")
}
