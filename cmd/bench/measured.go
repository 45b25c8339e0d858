package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// measured is a line that a measuring test printed: `capacity nodes=670 quiet: sent 404 B/s, ...`.
type measured struct {
	source string
	nodes  int
	name   string
	text   string
}

var (
	measuredLine  = regexp.MustCompile(`^(capacity|loopback) nodes=(\d+) ([^:]+): (.*)$`)
	benchmarkLine = regexp.MustCompile(`^Benchmark(\S+?)(?:-\d+)?\s+\d+\s+([\d.]+) ns/op`)
	keysLine      = regexp.MustCompile(`(\d+) keys: (\d+) bytes per key`)
	idleLine      = regexp.MustCompile(`^\| \S+ \| ([\d.]+)% \| ([\d.]+) \| \d`)
	figureInText  = regexp.MustCompile(`\d+(?:\.\d+)?`)
)

// measurements hold the output of the measuring tests and benchmarks of the packages.
type measurements struct {
	lines      []measured
	benchmarks []sampleOf
	keys       []sample
	// idleCore and idleMB are those of the costliest idle process: share of a core and resident megabytes.
	idleCore, idleMB float64
}

type sampleOf struct {
	name  string
	value float64
}

// readMeasurements reads all text files of a directory; make capacity writes them.
func readMeasurements(directory string) (*measurements, error) {
	files, err := filepath.Glob(filepath.Join(directory, "*.txt"))
	if err != nil || len(files) == 0 {
		return nil, eris.Errorf("no measurements in %s; run make capacity", directory)
	}
	slices.Sort(files)
	m := &measurements{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, eris.Wrap(err, "read the measurements")
		}
		for line := range strings.Lines(string(data)) {
			m.take(strings.TrimSpace(line))
			m.takeIdle(line)
		}
	}
	return m, nil
}

func (m *measurements) take(line string) {
	if parts := measuredLine.FindStringSubmatch(line); parts != nil {
		nodes, _ := strconv.Atoi(parts[2]) // The pattern admits digits only.
		m.lines = append(m.lines, measured{source: parts[1], nodes: nodes, name: parts[3], text: parts[4]})
	}
	if parts := benchmarkLine.FindStringSubmatch(line); parts != nil {
		value, _ := strconv.ParseFloat(parts[2], 64) // The pattern admits numbers only.
		m.benchmarks = append(m.benchmarks, sampleOf{name: parts[1], value: value})
	}
	if parts := keysLine.FindStringSubmatch(line); parts != nil {
		keys, _ := strconv.ParseFloat(parts[1], 64)  // The pattern admits digits only.
		bytes, _ := strconv.ParseFloat(parts[2], 64) // The pattern admits digits only.
		m.keys = append(m.keys, sample{keys, bytes})
	}
}

func (m *measurements) takeIdle(line string) {
	if parts := idleLine.FindStringSubmatch(line); parts != nil {
		core, _ := strconv.ParseFloat(parts[1], 64)   // The pattern admits numbers only.
		memory, _ := strconv.ParseFloat(parts[2], 64) // The pattern admits numbers only.
		m.idleCore, m.idleMB = max(m.idleCore, core/100), max(m.idleMB, memory)
	}
}

// figures returns the numbers in the line of a measuring test, in order.
func (m *measurements) figures(source, name string, nodes, want int) ([]float64, error) {
	for _, l := range m.lines {
		if l.source != source || l.name != name || l.nodes != nodes {
			continue
		}
		var values []float64
		for _, text := range figureInText.FindAllString(l.text, -1) {
			value, _ := strconv.ParseFloat(text, 64) // The pattern admits numbers only.
			values = append(values, value)
		}
		if len(values) >= want {
			return values, nil
		}
	}
	return nil, eris.Errorf("no line %q of %d nodes in the measurements; run make capacity", name, nodes)
}

func (m *measurements) benchmark(name string) float64 {
	for _, b := range m.benchmarks {
		if b.name == name {
			return b.value
		}
	}
	return 0
}

// printMeasured prints what the tests of the packages measured, the largest size last.
func (m *measurements) printMeasured(source string) {
	fmt.Println("| nodes | what | measured |")
	fmt.Println("| --- | --- | --- |")
	for _, l := range m.lines {
		if l.source == source {
			fmt.Printf("| %d | %s | %s |\n", l.nodes, l.name, l.text)
		}
	}
}

func (m *measurements) printBenchmarks() {
	fmt.Println("| benchmark | µs per operation |")
	fmt.Println("| --- | --- |")
	for _, b := range m.benchmarks {
		fmt.Printf("| %s | %s |\n", b.name, short(b.value/1000))
	}
	for _, k := range m.keys {
		fmt.Printf("| TestMemoryPerKey, %.0f keys | %.0f B per key |\n", k.size, k.value)
	}
}
