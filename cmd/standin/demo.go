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

// demoCmd starts deployments, injects faults under load and verifies every response.
type demoCmd struct {
	Deployments []string      `arg:"" optional:"" help:"Directories with settings and first ticket; both examples by default."`
	Programs    string        `default:"bin" help:"Directory of the built programs."`
	Output      string        `default:"" help:"Directory for settings and logs; a temporary one by default."`
	Network     int           `default:"31" help:"Second byte of the loopback addresses of the first deployment."`
	Duration    time.Duration `default:"10s" help:"Time of the load per deployment."`
}

// Run runs the deployments one after the other; it fails when the records of the targets contradict a response.
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
		if err := c.runDeployment(examples, c.Network+i); err != nil {
			return fmt.Errorf("%s: %w", examples, err)
		}
	}
	return nil
}

func (c *demoCmd) runDeployment(examples string, network int) error {
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
	// An interrupted demo must not leave processes running.
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
