package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/peer"
	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/internal/store"
)

// clockTick is the unit of processor time in /proc, which Linux fixes for programs.
const clockTick = 10 * time.Millisecond

// processesConfig is common to the experiments that start real processes.
type processesConfig struct {
	Examples string `default:"examples/instituto" help:"Directory with settings and first ticket."`
	Programs string `default:"bin" help:"Directory of the built programs."`
	Network  int    `default:"47" help:"Second byte of the loopback addresses."`
}

// usage is what a process has used and what a node has counted so far.
type usage struct {
	cpu      time.Duration
	resident float64
	// heap is in megabytes, allocations counts objects.
	heap        float64
	allocations uint64
	control     peer.Stats
	table       store.Stats
}

func (c processesConfig) startProcesses(ctx context.Context, targetsPerService int) (*procs.Fleet, func(), error) {
	return startFleet(ctx, c.Examples, procs.PlanConfig{
		Programs: c.Programs, Network: c.Network, TargetsPerService: targetsPerService,
	})
}

// startFleet starts a deployment in a temporary directory; the returned function ends it and removes its files.
func startFleet(ctx context.Context, examples string, c procs.PlanConfig) (*procs.Fleet, func(), error) {
	directory, err := os.MkdirTemp("", "auburnwinch-bench-")
	if err != nil {
		return nil, nil, eris.Wrap(err, "make a directory for settings and logs")
	}
	remove := func() { _ = os.RemoveAll(directory) } // A leftover in the temporary directory does no harm.
	c.Directory = directory
	plan, err := procs.LoadPlan(examples, c)
	if err != nil {
		remove()
		return nil, nil, err
	}
	fleet, err := procs.Start(ctx, plan)
	if err != nil {
		remove()
		return nil, nil, err
	}
	return fleet, func() { fleet.Close(); remove() }, nil
}

// nodeUsage reads the counters of one node from /proc and from its state dump.
func nodeUsage(ctx context.Context, fleet *procs.Fleet, node int) (usage, error) {
	u, err := processUsage(fleet.Nodes[node].PID())
	if err != nil {
		return usage{}, err
	}
	var dump struct {
		Process struct {
			Allocations uint64 `json:"allocations"`
			HeapBytes   uint64 `json:"heap-bytes"`
		} `json:"process"`
		Control  peer.Stats `json:"control"`
		Platform struct {
			Table store.Stats `json:"table"`
		} `json:"platform"`
	}
	for _, section := range []string{"process", "control", "platform"} {
		if err := fleet.Admin(ctx, node, "/state?section="+section, &dump); err != nil {
			return usage{}, err
		}
	}
	u.control, u.table = dump.Control, dump.Platform.Table
	u.allocations, u.heap = dump.Process.Allocations, float64(dump.Process.HeapBytes)/1e6
	return u, nil
}

// processUsage returns processor time and resident megabytes of a process.
func processUsage(pid int) (usage, error) {
	directory := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(directory, "stat"))
	if err != nil {
		return usage{}, eris.Wrap(err, "read the processor time; the process may have ended")
	}
	// The name of the program is in parentheses and may contain spaces; state is the first field after it.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const userField, systemField = 11, 12
	var user, system int64
	if len(fields) <= systemField {
		return usage{}, eris.Errorf("read the processor time: %d fields", len(fields))
	}
	if _, err := fmt.Sscan(fields[userField]+" "+fields[systemField], &user, &system); err != nil {
		return usage{}, eris.Wrap(err, "read the processor time")
	}
	u := usage{cpu: time.Duration(user+system) * clockTick}
	status, err := os.ReadFile(filepath.Join(directory, "status"))
	if err != nil {
		return usage{}, eris.Wrap(err, "read the resident memory")
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kilobytes); n == 1 {
			u.resident = kilobytes * 1024 / 1e6
		}
	}
	return u, nil
}
