package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/load"
	"github.com/auburnwinch/auburnwinch/internal/procs"
)

// networkChoices is the number of further networks that a run may take.
const networkChoices = 30

// errSoak reports that the run broke an invariant.
var errSoak = errors.New("an invariant was broken; see the findings above and the logs")

// soakCmd runs a fleet of processes under load and random faults and checks the invariants.
type soakCmd struct {
	Deployment string        `enum:"instituto,kleefwerk" default:"instituto" help:"Deployment to run."`
	Programs   string        `default:"bin" help:"Directory of the built programs."`
	Output     string        `default:"" help:"Directory for settings, records and logs; a temporary one, which a failed run keeps, by default."`
	Network    int           `default:"110" help:"Second byte of the loopback addresses; the next ones are tried when it is in use."`
	Targets    int           `default:"6" help:"Targets of each service."`
	Seed       uint64        `default:"1" help:"Seed of the sequence of faults."`
	Duration   time.Duration `default:"1m" help:"Time during which faults begin."`
	Callers    int           `default:"24" help:"Callers that send at the same time."`
	Recovery   time.Duration `default:"30s" help:"Time after the last fault within which each service must recover."`
}

// soak is one run.
type soak struct {
	command  *soakCmd
	fleet    *procs.Fleet
	began    time.Time
	findings *findings
	watch    *soakWatch
	tickets  *ticketRaces
	subjects *soakSubjects
	crashes  *crashWatch
}

// Run prints the seed, each fault and a table; it fails when an invariant was broken.
func (c *soakCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	directory := c.Output
	if directory == "" {
		var err error
		if directory, err = os.MkdirTemp("", "auburnwinch-soak-"); err != nil {
			return err
		}
	} else if err := os.MkdirAll(directory, 0o700); err != nil {
		return err
	}
	fmt.Printf("soak: seed %d, %s, deployment %s, records and logs in %s\n", c.Seed, c.Duration, c.Deployment, directory)
	network, claim, err := procs.ClaimNetwork(c.Network, c.Network+networkChoices)
	if err != nil {
		return err
	}
	defer func() { _ = claim.Close() }() // The process ends.
	plan, err := procs.LoadPlan(filepath.Join("examples", c.Deployment), procs.PlanConfig{
		Programs: c.Programs, Directory: directory, Network: network, TargetsPerService: c.Targets,
	})
	if err != nil {
		return err
	}
	fleet, err := procs.Start(ctx, plan)
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := c.prove(ctx, fleet); err != nil {
		return err
	}
	if c.Output == "" {
		return os.RemoveAll(directory)
	}
	return nil
}

func (c *soakCmd) prove(ctx context.Context, fleet *procs.Fleet) error {
	s := newSoak(c, fleet)
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	done := s.watch.start(watching)
	runner, finish := s.startLoad(ctx, "soak", nil)
	s.inject(ctx, drawFaults(rand.New(rand.NewPCG(c.Seed, c.Seed)), fleet.Plan, c.Duration))
	healed := time.Now()
	s.heal(ctx)
	s.recover(ctx, healed)
	finish()
	s.tickets.check(ctx)
	stopWatching()
	<-done
	if ctx.Err() != nil {
		return ctx.Err()
	}
	runs, err := load.CollectRuns(ctx, fleet)
	if err != nil {
		return err
	}
	return s.conclude(load.Check(fleet.Plan, runner.Operations(), runs))
}

func newSoak(c *soakCmd, fleet *procs.Fleet) *soak {
	s := &soak{command: c, fleet: fleet, began: time.Now(), subjects: newSubjects()}
	s.findings = &findings{began: s.began}
	s.watch = newWatch(fleet, s.findings, s.subjects)
	s.tickets = newTickets(fleet, s.watch, s.findings)
	s.crashes = &crashWatch{findings: s.findings, lost: make(map[string]map[string]int)}
	return s
}

// startLoad sends operations until the returned function is called.
func (s *soak) startLoad(ctx context.Context, prefix string, services []string) (*load.Runner, func()) {
	runner := load.New(load.Config{Fleet: s.fleet, Callers: s.command.Callers, Prefix: prefix, Services: services})
	ctx, stop := context.WithCancel(ctx)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		runner.Run(ctx)
	}()
	return runner, func() {
		stop()
		<-finished
	}
}

// conclude prints the table and the findings.
func (s *soak) conclude(report *load.Report) error {
	s.watch.checkLogs(s.fleet.Plan)
	for _, text := range report.Contradicted {
		s.findings.add("answer", "%s", text)
	}
	report.Contradicted = nil
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	s.findings.print()
	if len(s.findings.list) > 0 {
		return errSoak
	}
	return nil
}
