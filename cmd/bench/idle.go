package main

import (
	"context"
	"fmt"
	"time"
)

type idleCmd struct {
	processesConfig
	Window time.Duration `default:"60s" help:"Time over which the nodes are observed."`
}

// idleSettle lets announcements, rumours and the first reads end before the observation.
const idleSettle = 30 * time.Second

// Run starts the nodes and targets of a deployment and prints what idle nodes use.
func (c *idleCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), idleSettle+c.Window+2*time.Minute)
	defer cancel()
	fleet, stop, err := c.startProcesses(ctx, 0)
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(idleSettle)
	before := make([]usage, len(fleet.Nodes))
	begin := time.Now()
	for i := range before {
		if before[i], err = nodeUsage(ctx, fleet, i); err != nil {
			return err
		}
	}
	time.Sleep(c.Window)
	seconds := time.Since(begin).Seconds()
	fmt.Printf("%d nodes, %d targets, %.0f s without requests\n\n", len(fleet.Nodes), len(fleet.Targets), seconds)
	fmt.Println("| node | of a core | resident MB | sent B/s | received B/s | datagrams/s | control work, of a core | table reads/s | table writes/s |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for i, b := range before {
		a, err := nodeUsage(ctx, fleet, i)
		if err != nil {
			return err
		}
		rate := func(after, before uint64) float64 { return float64(after-before) / seconds }
		fmt.Printf("| %s | %.2f%% | %.1f | %.0f | %.0f | %.2f | %.4f%% | %.3f | %.3f |\n", fleet.Nodes[i].Name,
			100*(a.cpu-b.cpu).Seconds()/seconds, a.resident, rate(a.control.BytesSent, b.control.BytesSent),
			rate(a.control.BytesReceived, b.control.BytesReceived), rate(a.control.DatagramsSent, b.control.DatagramsSent),
			100*rate(a.control.BusyNanoseconds, b.control.BusyNanoseconds)/1e9, rate(a.table.Reads, b.table.Reads),
			rate(a.table.Writes, b.table.Writes))
	}
	return nil
}
