package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/procs"
)

// demoCmd starts deployments, serves requests through faults and checks every answer.
type demoCmd struct {
	Deployments []string      `arg:"" optional:"" help:"Directories with settings and first ticket; both examples by default."`
	Programs    string        `default:"bin" help:"Directory of the built programs."`
	Output      string        `default:"" help:"Directory for settings and logs; a temporary one by default."`
	Network     int           `default:"31" help:"Second byte of the loopback addresses of the first deployment."`
	Duration    time.Duration `default:"10s" help:"Time of the load per deployment."`
}

// Run serves the deployments one after the other; it fails when an answer was not true.
func (c *demoCmd) Run() error {
	if c.Output == "" {
		directory, err := os.MkdirTemp("", "auburnwinch-demo-")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(directory) }()
		c.Output = directory
	}
	if len(c.Deployments) == 0 {
		c.Deployments = []string{"examples/instituto", "examples/kleefwerk"}
	}
	for i, examples := range c.Deployments {
		if err := c.serve(examples, c.Network+i); err != nil {
			return fmt.Errorf("%s: %w", examples, err)
		}
	}
	return nil
}

func (c *demoCmd) serve(examples string, network int) error {
	directory := filepath.Join(c.Output, filepath.Base(examples))
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return err
	}
	plan, err := procs.LoadPlan(examples, procs.PlanConfig{Programs: c.Programs, Directory: directory, Network: network})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Duration+2*time.Minute)
	defer cancel()
	// A demo that is told to stop must not leave processes behind.
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	fmt.Printf("%s: starting 1 platform stand-in, %d nodes, %d targets\n", plan.Name, len(plan.Nodes), len(plan.Targets))
	fleet, err := procs.Start(ctx, plan)
	if err != nil {
		return err
	}
	defer fleet.Close()
	return runScenario(ctx, fleet, c.Duration)
}
