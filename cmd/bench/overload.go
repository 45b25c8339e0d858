package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/limit"
)

const (
	overloadFactor   = 2
	overloadDeadline = time.Second
	overloadLength   = 30 * time.Second
	refusalSamples   = 200_000
	refusalCallers   = 8
)

type overloadCmd struct {
	Seed uint64 `default:"1" help:"Seed of the first run."`
	Runs int    `default:"5" help:"Runs per row; run n uses seed+n."`
}

// Run prints goodput and retries at twice the capacity in simulated time, and the cost of a refusal in real time.
func (c *overloadCmd) Run() error {
	fmt.Println("| deployment | setting | offered | goodput | retries per first attempt | refused | failed | command |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, d := range deployments {
		for _, s := range []setting{profile(d.profile), {name: "round-robin", policy: newPlain(0)}, {name: "plain-5", policy: newPlain(5)}} {
			c.print(d, s, false)
		}
		c.print(d, setting{name: "round-robin, no admission", policy: newPlain(0)}, true)
	}
	printRefusals()
	return nil
}

func (c *overloadCmd) print(d deployment, s setting, unlimited bool) {
	var sum counts
	for n := range c.Runs {
		f := newFleet(fleetConfig{
			deployment: d, policy: s.policy, thresholds: s.thresholds, fault: noFault{}, load: overloadFactor,
			deadline: overloadDeadline, seed: c.Seed + uint64(n), unlimited: unlimited,
		})
		f.runUntil(f.start.Add(warmUp))
		before := f.counts
		f.runUntil(f.now.Add(overloadLength))
		sum.requests += f.counts.requests - before.requests
		sum.done += f.counts.done - before.done
		sum.retries += f.counts.retries - before.retries
		sum.refused += f.counts.refused - before.refused
		sum.failed += f.counts.failed - before.failed
	}
	capacity := float64(sum.requests) / overloadFactor
	fmt.Printf("| %s | %s | %.2f | %.1f%% of capacity | %.2f%% | %d | %d | `bench overload --runs %d --seed %d` |\n",
		d.name, s.name, float64(overloadFactor), 100*float64(sum.done)/capacity,
		100*float64(sum.retries)/float64(sum.requests), sum.refused, sum.failed, c.Runs, c.Seed)
}

// printRefusals measures refusals of one full limiter by concurrent callers in real time.
func printRefusals() {
	l := limit.New(limit.Config{Settings: limit.Settings{Slots: 7, Places: 7}})
	for range 7 {
		if _, err := l.Acquire(context.Background(), limit.Request{Account: "holder"}); err != nil {
			fmt.Println("slot not granted:", err)
			return
		}
	}
	samples := make([][]time.Duration, refusalCallers)
	var wg sync.WaitGroup
	for i := range samples {
		wg.Go(func() {
			for range refusalSamples / refusalCallers {
				begin := time.Now()
				_, _ = l.Acquire(context.Background(), limit.Request{Account: "refused"})
				samples[i] = append(samples[i], time.Since(begin))
			}
		})
	}
	wg.Wait()
	sorted := slices.Concat(samples...)
	slices.Sort(sorted)
	fmt.Println("\n| refusals | concurrent callers | median | 99th percentile |")
	fmt.Println("| --- | --- | --- | --- |")
	fmt.Printf("| %d | %d | %s | %s |\n", len(sorted), refusalCallers, sorted[len(sorted)/2], sorted[len(sorted)*99/100])
}
