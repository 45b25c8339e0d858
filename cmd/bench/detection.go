package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/sourcegraph/conc/iter"
)

const (
	warmUp = 20 * time.Second
	// window is how long a fault is observed.
	window = 40 * time.Second
	// shareMin is the share of the target's requests from which an edge counts as one of its choosers.
	shareMin = 0.03
	all      = "all"
	// usualLoad is the default of --load.
	usualLoad = 0.5
)

// faultNames are the faults whose detection is timed.
var faultNames = []string{"stalled", "slow", "erroring", "half-erroring", "flapping", "probe-answering", "one-way-path"}

// quietNames are the conditions under which every ejection is false.
var quietNames = []string{"noise", "overload", "shared-slow", "store-outage"}

type detectionCmd struct {
	Deployment   string        `enum:"all,instituto,kleefwerk" default:"all" help:"Deployment to simulate."`
	Setting      string        `default:"all" help:"Setting to measure, or all."`
	Fault        string        `default:"all" help:"Fault or condition to measure, or all."`
	Runs         int           `default:"10" help:"Runs per row; run n uses seed+n."`
	Seed         uint64        `default:"1" help:"Seed of the first run."`
	Load         float64       `default:"0.5" help:"Rate of requests in relation to the capacity."`
	Gossip       time.Duration `default:"3s" help:"Longest time in which a claim reaches another node."`
	SharedFactor float64       `default:"5" help:"Factor of the shared slowness."`
	Workers      int           `default:"4" help:"Runs at the same time."`
	Plot         string        `help:"File for the trade-off curve, such as docs/detection.svg."`
}

// detectionRow is the figure of one deployment, setting and fault.
type detectionRow struct {
	deployment deployment
	setting    setting
	fault      string
	times      []time.Duration
	missed     int
	wrong      int
	requests   int
	failed     int
}

// Run prints the tables of the detection times, of the false ejections, and of the curve.
func (c *detectionCmd) Run() error {
	var rows []*detectionRow
	for _, d := range deployments {
		for _, s := range settings {
			for _, fault := range slices.Concat(faultNames, quietNames) {
				if c.wants(c.Deployment, d.name) && c.wants(c.Setting, s.name) && c.wants(c.Fault, fault) {
					rows = append(rows, &detectionRow{deployment: d, setting: s, fault: fault})
				}
			}
		}
	}
	if len(rows) == 0 {
		return fmt.Errorf("no setting %q with fault %q; run with --setting all --fault all to see the names", c.Setting, c.Fault)
	}
	iterator := iter.Iterator[*detectionRow]{MaxGoroutines: c.Workers}
	iterator.ForEach(rows, func(r **detectionRow) { c.measure(*r) })
	c.printTimes(rows)
	c.printFalse(rows)
	curve := curveOf(rows)
	printCurve(curve)
	if c.Plot != "" {
		return plotCurve(curve, c.Plot)
	}
	return nil
}

func (c *detectionCmd) wants(selected, name string) bool { return selected == all || selected == name }

func (c *detectionCmd) measure(r *detectionRow) {
	for n := range c.Runs {
		if slices.Contains(quietNames, r.fault) {
			c.runQuiet(r, c.Seed+uint64(n))
		} else {
			c.runFault(r, c.Seed+uint64(n))
		}
	}
}

func (c *detectionCmd) config(r *detectionRow, seed uint64) fleetConfig {
	return fleetConfig{
		deployment: r.deployment, policy: r.setting.policy, thresholds: r.setting.thresholds, load: c.Load, seed: seed,
		gossip: c.Gossip, commonFactor: c.SharedFactor,
	}
}

// runFault breaks one target or path and times how long each edge that uses it goes on choosing it.
func (c *detectionCmd) runFault(r *detectionRow, seed uint64) {
	config := c.config(r, seed)
	broken := int(seed % targetCount)
	onlyEdge := -1
	if r.fault == "one-way-path" {
		onlyEdge = targetCount + broken%domainCount
		from, to := r.deployment.node(onlyEdge).Ref, r.deployment.node(broken).Ref
		if seed%2 == 0 {
			from, to = to, from
		}
		config.fault = pathFault{from: from, to: to, onset: warmUp}
	} else {
		config.fault = targetFault{target: broken, onset: warmUp, serveF: targetFaults[r.fault]}
	}
	f := newFleet(config)
	sent, total := make([]int, len(f.nodes)), 0
	f.onSend = func(edge, target int) {
		if target == broken {
			sent[edge]++
			total++
		}
	}
	f.onEject = func(edge, target int) {
		if target != broken || f.elapsed() < warmUp || onlyEdge >= 0 && edge != onlyEdge {
			r.wrong++
		}
	}
	f.runUntil(f.start.Add(warmUp))
	f.onSend = nil
	before := f.counts
	var watched []int
	for edge, n := range sent {
		if float64(n) >= shareMin*float64(total) && (onlyEdge < 0 || edge == onlyEdge) {
			watched = append(watched, edge)
		}
	}
	for f.elapsed() < warmUp+window {
		f.runUntil(f.now.Add(judgeInterval))
		watched = slices.DeleteFunc(watched, func(edge int) bool {
			out := f.nodes[edge].policy.out(broken)
			if out {
				r.times = append(r.times, f.elapsed()-warmUp)
			}
			return out
		})
	}
	r.missed += len(watched)
	r.requests += f.counts.requests
	r.failed += f.counts.failed - before.failed
}

// runQuiet counts the ejections while no single target is at fault.
func (c *detectionCmd) runQuiet(r *detectionRow, seed uint64) {
	config := c.config(r, seed)
	switch r.fault {
	case "noise":
		config.fault = noise{}
	case "overload":
		config.fault, config.load, config.deadline = noFault{}, 1.5, time.Second
	default:
		config.fault = common{onset: warmUp, serveF: commonFaults[r.fault]}
	}
	f := newFleet(config)
	f.onEject = func(int, int) { r.wrong++ }
	f.runUntil(f.start.Add(warmUp + window))
	r.requests += f.counts.requests
	r.failed += f.counts.failed
}

func (c *detectionCmd) command(r *detectionRow) string {
	line := fmt.Sprintf("bench detection --deployment %s --setting %s --fault %s --runs %d --seed %d",
		r.deployment.name, r.setting.name, r.fault, c.Runs, c.Seed)
	if c.Load != usualLoad {
		line += fmt.Sprintf(" --load %g", c.Load)
	}
	if c.Gossip != usualGossip {
		line += fmt.Sprintf(" --gossip %s", c.Gossip)
	}
	if c.SharedFactor != usualFactor {
		line += fmt.Sprintf(" --shared-factor %g", c.SharedFactor)
	}
	return "`" + line + "`"
}

func (c *detectionCmd) printTimes(rows []*detectionRow) {
	fmt.Println("\n| deployment | setting | fault | median | worst | not detected | failed per run | command |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range rows {
		if slices.Contains(faultNames, r.fault) {
			median, worst := r.summary()
			fmt.Printf("| %s | %s | %s | %s | %s | %d of %d | %.1f | %s |\n", r.deployment.name, r.setting.name, r.fault,
				median, worst, r.missed, r.missed+len(r.times), float64(r.failed)/float64(c.Runs), c.command(r))
		}
	}
}

func (c *detectionCmd) printFalse(rows []*detectionRow) {
	fmt.Println("\n| deployment | setting | condition | false ejections | requests | per million | failed per run | command |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range rows {
		if slices.Contains(quietNames, r.fault) {
			fmt.Printf("| %s | %s | %s | %d | %d | %.1f | %.1f | %s |\n", r.deployment.name, r.setting.name, r.fault,
				r.wrong, r.requests, perMillion(r.wrong, r.requests), float64(r.failed)/float64(c.Runs), c.command(r))
		}
	}
}

// summary returns the median and the worst time; a chooser that did not detect counts as the whole window.
func (r *detectionRow) summary() (median, worst string) {
	if len(r.times)+r.missed == 0 {
		return "-", "-"
	}
	times := slices.Clone(r.times)
	for range r.missed {
		times = append(times, window)
	}
	slices.Sort(times)
	return seconds(times[len(times)/2]), seconds(times[len(times)-1])
}

func seconds(d time.Duration) string {
	if d >= window {
		return fmt.Sprintf("> %.0f s", window.Seconds())
	}
	return fmt.Sprintf("%.2f s", d.Seconds())
}

func perMillion(n, requests int) float64 {
	return float64(n) * 1e6 / float64(max(1, requests))
}
