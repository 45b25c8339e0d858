package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/load"
	"github.com/auburnwinch/auburnwinch/internal/procs"
)

const (
	// soakExitTimeout is longer than the shutdown timeout of the nodes.
	soakExitTimeout = 30 * time.Second
	soakTogetherMax = 6
)

// inject carries out the sequence and returns when every fault has ended.
func (s *soak) inject(ctx context.Context, faults []soakFault) {
	var running sync.WaitGroup
	// Bounds the faults that wait for their subject.
	places := make(chan struct{}, soakTogetherMax)
	begin := time.Now()
	for i, f := range faults {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(begin.Add(f.at))):
			places <- struct{}{}
			running.Go(func() {
				defer func() { <-places }()
				s.run(ctx, i, f)
			})
		}
	}
	running.Wait()
}

func (s *soak) run(ctx context.Context, number int, f soakFault) {
	defer s.subjects.hold(f.subject())()
	times := 1
	if f.twice {
		times = 2
	}
	for range times {
		s.findings.logf("fault %d: %s", number, s.describe(f))
		if err := s.apply(ctx, number, f); err != nil {
			s.findings.logf("fault %d had no effect: %v", number, err)
		}
	}
	s.findings.logf("fault %d ended", number)
}

func (f soakFault) subject() string {
	switch f.kind {
	case soakKillNode, soakPauseNode, soakRestartNode:
		return fmt.Sprint("node ", f.index)
	case soakTargetFault:
		return fmt.Sprint("behaviour of target ", f.index)
	case soakPlatform, soakTickets, soakPoison:
		return string(f.kind)
	default:
		return fmt.Sprint("target ", f.index)
	}
}

func (s *soak) describe(f soakFault) string {
	subject := ""
	switch f.kind {
	case soakKillNode, soakPauseNode, soakRestartNode:
		subject = s.fleet.Plan.Nodes[f.index].Settings.Node.ID
	case soakPlatform:
		subject = f.name
	case soakTickets:
	case soakPoison:
		subject = s.fleet.Plan.Targets[f.index].Service
	default:
		subject = s.fleet.Plan.Targets[f.index].ID + " " + f.name
	}
	return fmt.Sprintf("%s %s for %s", f.kind, subject, f.duration.Round(time.Millisecond))
}

func (s *soak) apply(ctx context.Context, number int, f soakFault) error {
	switch f.kind {
	case soakKillNode, soakPauseNode, soakRestartNode:
		defer s.subjects.disturb(f.index)()
		return s.disturbProcess(ctx, f, s.fleet.Nodes[f.index], func() error { return s.fleet.StartNode(f.index) })
	case soakKillTarget, soakPauseTarget, soakRestartTarget:
		return s.disturbProcess(ctx, f, s.fleet.Targets[f.index], func() error { return s.fleet.StartTarget(f.index) })
	case soakTargetFault:
		if err := load.SetFault(ctx, s.fleet.Plan.Targets[f.index], f.target); err != nil {
			return err
		}
		pause(ctx, f.duration)
		return load.SetFault(ctx, s.fleet.Plan.Targets[f.index], load.Fault{})
	case soakPlatform:
		if err := load.SetPlatformFaults(ctx, s.fleet.Plan, f.platform); err != nil {
			return err
		}
		pause(ctx, f.duration)
		return load.SetPlatformFaults(ctx, s.fleet.Plan)
	case soakPoison:
		return s.poison(ctx, number, f)
	default:
		return s.tickets.race(ctx)
	}
}

// disturbProcess kills, pauses or restarts one process and leaves it running.
func (s *soak) disturbProcess(ctx context.Context, f soakFault, p *procs.Process, start func() error) error {
	switch f.kind {
	case soakPauseNode, soakPauseTarget:
		if err := p.Pause(); err != nil {
			return err
		}
		pause(ctx, f.duration)
		return p.Resume()
	case soakKillNode, soakKillTarget:
		if err := p.Kill(); err != nil {
			return err
		}
		p.Wait(soakExitTimeout)
		pause(ctx, f.duration)
		return start()
	default:
		// A process that has only just started has no signal handler yet, so that SIGTERM would end it as SIGKILL does.
		if !until(ctx, soakExitTimeout, func() bool { return !p.Running() || s.answers(ctx, f) }) {
			s.findings.add("shutdown", "%s does not answer within %s", p.Name, soakExitTimeout)
		}
		if err := p.Terminate(); err != nil {
			return err
		}
		if !p.Wait(soakExitTimeout) {
			s.findings.add("shutdown", "%s does not end within %s of SIGTERM", p.Name, soakExitTimeout)
			return nil
		}
		if code := p.ExitCode(); code != 0 {
			s.findings.add("shutdown", "%s ended with status %d after SIGTERM", p.Name, code)
		}
		return start()
	}
}

// answers reports whether the process of the fault serves.
func (s *soak) answers(ctx context.Context, f soakFault) bool {
	if f.kind == soakRestartNode {
		_, err := s.fleet.Candidates(ctx, f.index)
		return err == nil
	}
	_, err := load.CollectRunsOf(ctx, s.fleet.Plan.Targets[f.index])
	return err == nil
}

// heal ends everything that a fault may have left behind.
func (s *soak) heal(ctx context.Context) {
	for i, p := range s.fleet.Targets {
		if !p.Running() {
			if err := s.fleet.StartTarget(i); err != nil {
				s.findings.add("harness", "%s does not start: %v", p.Name, err)
			}
		}
		until(ctx, soakExitTimeout, func() bool { return load.SetFault(ctx, s.fleet.Plan.Targets[i], load.Fault{}) == nil })
	}
	if err := load.SetPlatformFaults(ctx, s.fleet.Plan); err != nil {
		s.findings.add("harness", "the platform does not take back its faults: %v", err)
	}
	s.findings.logf("all faults have ended")
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// until polls the condition and reports whether it held in time.
func until(ctx context.Context, timeout time.Duration, holds func() bool) bool {
	for end := time.Now().Add(timeout); ; pause(ctx, 20*time.Millisecond) {
		if holds() {
			return true
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return false
		}
	}
}
