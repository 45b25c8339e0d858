package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"
)

type capacityCmd struct {
	Measurements string `help:"Directory with the output of the measuring tests, as make capacity writes it."`
}

// Run measures the slopes of this machine and prints the tables of the fleet of gossip, tickets and keys.
func (c *capacityCmd) Run() error {
	printMachine()
	figures, err := measureScale()
	if err != nil {
		return err
	}
	fmt.Println("\n### Slopes of one node's state")
	fmt.Println()
	printSlopes(figures.slopes())
	if c.Measurements == "" {
		return nil
	}
	tests, err := readMeasurements(c.Measurements)
	if err != nil {
		return err
	}
	b, err := newBudget(figures, tests)
	if err != nil {
		return err
	}
	if err := b.print(); err != nil {
		return err
	}
	fmt.Println("\n### Fleets in simulated time")
	fmt.Println()
	tests.printMeasured("capacity")
	fmt.Println("\n### Fleets of real sockets in one process")
	fmt.Println()
	tests.printMeasured("loopback")
	fmt.Println("\n### Parts")
	fmt.Println()
	tests.printBenchmarks()
	return nil
}

// printMachine names what the figures depend on.
func printMachine() {
	fmt.Printf("%d cores, %s of memory, %s %s/%s, GOMAXPROCS %d.\n", runtime.NumCPU(), machineMemory(), runtime.Version(),
		runtime.GOOS, runtime.GOARCH, runtime.GOMAXPROCS(0))
}

func machineMemory() string {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return "unknown size"
	}
	for line := range strings.Lines(string(data)) {
		var kilobytes float64
		if n, _ := fmt.Sscanf(line, "MemTotal: %f kB", &kilobytes); n == 1 {
			return fmt.Sprintf("%.0f GiB", kilobytes/(1<<20))
		}
	}
	return "unknown size"
}
