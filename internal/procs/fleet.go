package procs

import (
	"context"
	"encoding/json"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/admin"
)

const (
	readyTimeout  = 30 * time.Second
	readyInterval = 50 * time.Millisecond
)

// Fleet is a running deployment; Nodes and Targets have the order of the plan.
type Fleet struct {
	Plan     *Plan
	Platform *Process
	Nodes    []*Process
	Targets  []*Process
}

// viewDump is the part of the state dump that lists the targets of each service.
type viewDump struct {
	View struct {
		Services []struct {
			Candidates []json.RawMessage `json:"candidates"`
		} `json:"services"`
	} `json:"view"`
}

// Start starts platform, nodes and targets, files the first ticket and waits until every node serves every target.
func Start(ctx context.Context, plan *Plan) (*Fleet, error) {
	f := &Fleet{Plan: plan}
	for _, step := range []func(context.Context) error{
		f.startPlatform, f.startNodes, f.fileFirstTicket, f.startTargets, f.WaitReady,
	} {
		if err := step(ctx); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Close ends all processes, the targets first.
func (f *Fleet) Close() {
	groups := [][]*Process{f.Targets, f.Nodes, {f.Platform}}
	for _, group := range groups {
		for _, p := range group {
			if p != nil && p.Running() {
				_ = p.Resume()    // A paused process would not see the next signal.
				_ = p.Terminate() // It may have ended in between.
			}
		}
		for _, p := range group {
			if p != nil {
				p.Close()
			}
		}
	}
}

// StartNode starts the node again after it has ended.
func (f *Fleet) StartNode(i int) error {
	p, err := f.Nodes[i].Restart()
	if err != nil {
		return err
	}
	f.Nodes[i] = p
	return nil
}

// StartTarget starts the target again after it has ended.
func (f *Fleet) StartTarget(i int) error {
	p, err := f.Targets[i].Restart()
	if err != nil {
		return err
	}
	f.Targets[i] = p
	return nil
}

// FileTicket files a ticket by the command line and returns its output.
func (f *Fleet) FileTicket(ctx context.Context, path string) (string, error) {
	command := exec.CommandContext(ctx, filepath.Join(f.Plan.Programs, "auburnwinch"),
		"ticket", "file", path, "--settings", f.Plan.Nodes[0].Path)
	output, err := command.CombinedOutput()
	return string(output), eris.Wrapf(err, "file %s: %s", path, output)
}

// Admin reads JSON from the admin listener of a node.
func (f *Fleet) Admin(ctx context.Context, node int, path string, into any) error {
	settings := f.Plan.Nodes[node].Settings
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+settings.Listeners.Admin+path, nil)
	if err != nil {
		return eris.Wrap(err, "build the request")
	}
	request.Header.Set("Authorization", "Bearer "+settings.OperatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrapf(err, "ask node %s", settings.Node.ID)
	}
	// The answer is read in full, so an error of Close says nothing more.
	defer func() { _ = response.Body.Close() }()
	return eris.Wrap(json.NewDecoder(response.Body).Decode(into), "decode the answer")
}

// WaitReady waits until every running node is healthy and sees every running target of the plan.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range f.Nodes {
		for !f.sees(ctx, i, f.runningTargets()) {
			select {
			case <-ctx.Done():
				return eris.Errorf("node %s is not ready; see its log in %s", f.Nodes[i].Name, f.Plan.Directory)
			case <-time.After(readyInterval):
			}
		}
	}
	return nil
}

// Candidates returns the number of targets that the node knows.
func (f *Fleet) Candidates(ctx context.Context, node int) (int, error) {
	var dump viewDump
	if err := f.Admin(ctx, node, "/state?section=view", &dump); err != nil {
		return 0, err
	}
	count := 0
	for _, s := range dump.View.Services {
		count += len(s.Candidates)
	}
	return count, nil
}

func (f *Fleet) sees(ctx context.Context, node, targets int) bool {
	if !f.Nodes[node].Running() {
		return true
	}
	var health admin.Health
	if err := f.Admin(ctx, node, "/health", &health); err != nil || !health.Ready {
		return false
	}
	count, err := f.Candidates(ctx, node)
	return err == nil && count >= targets
}

func (f *Fleet) runningTargets() int {
	count := 0
	for _, t := range f.Targets {
		if t.Running() {
			count++
		}
	}
	return count
}

func (f *Fleet) startPlatform(context.Context) (err error) {
	f.Platform, err = startProcess("platform", f.Plan.Directory, f.program("standin"), "platform",
		"--table-address", f.Plan.address(0, tablePort),
		"--object-address", f.Plan.address(0, objectPort),
		"--control-address", f.Plan.PlatformControl())
	return err
}

func (f *Fleet) startNodes(context.Context) error {
	if err := f.Plan.write(); err != nil {
		return err
	}
	for _, n := range f.Plan.Nodes {
		p, err := startProcess(n.Settings.Node.ID, f.Plan.Directory, f.program("auburnwinch"), "node", "--settings", n.Path)
		if err != nil {
			return err
		}
		f.Nodes = append(f.Nodes, p)
	}
	return nil
}

func (f *Fleet) fileFirstTicket(ctx context.Context) error {
	_, err := f.FileTicket(ctx, f.Plan.TicketPath)
	return err
}

func (f *Fleet) startTargets(context.Context) error {
	for _, t := range f.Plan.Targets {
		p, err := startProcess(t.ID, f.Plan.Directory, f.program("standin"), "target",
			"--node", f.Plan.Nodes[t.Node].Settings.Listeners.Local, "--service", t.Service, "--id", t.ID,
			"--listen", t.Address, "--control", t.Control, "--records", t.Records, "--slots", strconv.Itoa(t.Slots),
			"--service-time", f.Plan.ServiceTime.String(), "--spread", strconv.FormatFloat(serviceSpread, 'g', -1, 64))
		if err != nil {
			return err
		}
		f.Targets = append(f.Targets, p)
	}
	return nil
}

func (f *Fleet) program(name string) string {
	return filepath.Join(f.Plan.Programs, name)
}
