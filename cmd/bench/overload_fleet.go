package main

import (
	"context"
	"errors"
	"fmt"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/load"
	"github.com/auburnwinch/auburnwinch/internal/procs"
)

// overloadFleetCmd measures a fleet of processes under open loads.
type overloadFleetCmd struct {
	Deployment  string        `enum:"instituto,kleefwerk" default:"instituto" help:"Deployment to run."`
	Programs    string        `default:"bin" help:"Directory of the built programs."`
	Network     int           `default:"130" help:"Second byte of the loopback addresses; the next ones are tried when it is in use."`
	Seed        uint64        `default:"1" help:"Seed of the arrivals; step n uses seed+n."`
	Targets     int           `default:"12" help:"Targets of the service."`
	ServiceTime time.Duration `default:"100ms" help:"Median service time of the targets, which sleep."`
	Steps       []float64     `default:"0.5,1,1.5,2,4" help:"Loads relative to the announced capacity."`
	Rows        []string      `default:"healthy,overstated,stalled" enum:"healthy,overstated,stalled" help:"Kinds of rows; the last two run at twice the capacity."`
	Step        time.Duration `default:"22s" help:"Time of each step."`
	Warm        time.Duration `default:"2s" help:"Start of each step that is not counted."`
	Calm        time.Duration `default:"8s" help:"Time of half the capacity after each step."`
	Deadline    time.Duration `default:"1s" help:"Time that a caller waits."`
}

// overloadRow is one step with its conditions.
type overloadRow struct {
	name   string
	factor float64
	// capacity is relative to the announced one.
	capacity float64
	disturb  func(context.Context) error
	heal     func(context.Context) error
}

const (
	overloadNetworks = 9
	// overloadAccounts and greedyWeight make one account send nine tenths of the load.
	overloadAccounts = 5
	greedyWeight     = 36
	overloadTwice    = 2
)

// overloadServices are the services of the deployments that serve reads.
var overloadServices = map[string]string{"instituto": "courtview", "kleefwerk": "vitrine"}

// errOverload reports that an answer does not agree with the records of the targets.
var errOverload = errors.New("answers do not agree with the records of the targets; see the table")

// Run prints a row per step.
func (c *overloadFleetCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	network, claim, err := procs.ClaimNetwork(c.Network, c.Network+overloadNetworks)
	if err != nil {
		return err
	}
	defer func() { _ = claim.Close() }() // The process ends.
	service := overloadServices[c.Deployment]
	fleet, end, err := startFleet(ctx, filepath.Join("examples", c.Deployment), procs.PlanConfig{
		Programs: c.Programs, Network: network, TargetsPerService: c.Targets, ServiceTime: c.ServiceTime,
		Services: []string{service},
	})
	if err != nil {
		return err
	}
	defer end()
	return c.measure(ctx, fleet, service)
}

func (c *overloadFleetCmd) measure(ctx context.Context, fleet *procs.Fleet, service string) error {
	fmt.Printf("service %s, %d targets, announced capacity %.0f requests/s, callers wait %s, seed %d\n\n", service,
		len(fleet.Plan.Targets), fleet.Plan.Capacity(service), c.Deadline, c.Seed)
	fmt.Println("| deployment | targets | offered | goodput | answered in time | served median | served p99 | refusal median | refusal p99 | without Retry-After | retries per first attempt | fairness | limit of slots | recovery | untrue |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	untrue := 0
	for i, row := range c.rows(fleet.Plan) {
		report, err := load.RunStep(ctx, load.Step{
			Open: load.OpenConfig{
				Fleet: fleet, Service: service, Accounts: accounts(), Deadline: c.Deadline,
				Prefix: fmt.Sprintf("step-%d", i), Seed: c.Seed + uint64(i),
			},
			Factor: row.factor, Capacity: row.capacity * fleet.Plan.Capacity(service),
			Duration: c.Step, WarmUp: c.Warm, ReducedDuration: c.Calm, InjectFault: row.disturb, RemoveFault: row.heal,
		})
		if err != nil {
			return err
		}
		c.print(row, report)
		untrue += len(report.Contradicted)
	}
	if untrue > 0 {
		return errOverload
	}
	return nil
}

func (c *overloadFleetCmd) rows(plan *procs.Plan) []overloadRow {
	var rows []overloadRow
	if slices.Contains(c.Rows, "healthy") {
		for _, factor := range c.Steps {
			rows = append(rows, overloadRow{name: "healthy", factor: factor, capacity: 1})
		}
	}
	if slices.Contains(c.Rows, "overstated") {
		rows = append(rows, overstated(plan))
	}
	if slices.Contains(c.Rows, "stalled") {
		rows = append(rows, stalled(plan))
	}
	return rows
}

// overstated lets the service time of one target double above half of its slots, so that it serves half of what it
// announces.
func overstated(plan *procs.Plan) overloadRow {
	target := plan.Targets[0]
	return overloadRow{
		name: "one states too many slots", factor: overloadTwice, capacity: 1 - 0.5/float64(len(plan.Targets)),
		disturb: func(ctx context.Context) error {
			return load.SetFault(ctx, target, load.Fault{SlowAbove: int64(target.Slots / 2)})
		},
		heal: func(ctx context.Context) error { return load.SetFault(ctx, target, load.Fault{}) },
	}
}

// stalled lets one target hold all requests until the load falls back.
func stalled(plan *procs.Plan) overloadRow {
	target := plan.Targets[1]
	return overloadRow{
		name: "one stalls", factor: overloadTwice, capacity: 1 - 1/float64(len(plan.Targets)),
		disturb: func(ctx context.Context) error { return load.SetFault(ctx, target, load.Fault{Stall: true}) },
		heal:    func(ctx context.Context) error { return load.SetFault(ctx, target, load.Fault{}) },
	}
}

func accounts() []load.AccountLoad {
	list := []load.AccountLoad{{Name: "greedy", Weight: greedyWeight}}
	for i := range overloadAccounts - 1 {
		list = append(list, load.AccountLoad{Name: fmt.Sprintf("modest-%d", i+1), Weight: 1})
	}
	return list
}

func (c *overloadFleetCmd) print(row overloadRow, r *load.StepReport) {
	const precision = 100 * time.Microsecond
	counted := (c.Step - c.Warm).Seconds()
	fmt.Printf("| %s | %s | %.2f | %.1f%% | %.2f%% | %s | %s | %s | %s | %d | %.2f%% | %.1f%% | %d of %d | %.2f s | %d |\n",
		c.Deployment, row.name, r.Offered/r.Step.Capacity, 100*r.Goodput/r.Step.Capacity, 100*r.InTime(),
		r.DoneTimes.Median.Round(precision), r.DoneTimes.P99.Round(precision), r.RefusalTimes.Median.Round(precision),
		r.RefusalTimes.P99.Round(precision), r.NoRetryAfter, 100*float64(r.Retries)/float64(max(1, r.FirstAttempts)),
		100*r.Fairness(r.Step.Capacity*counted), r.Limit, r.Slots, r.Recovery.Seconds(), len(r.Contradicted))
}
