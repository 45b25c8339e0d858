package procs

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/admin"
	"github.com/auburnwinch/auburnwinch/internal/timer"
)

const (
	readyTimeout  = 30 * time.Second
	readyInterval = 50 * time.Millisecond
	// platformTimeout bounds the start of the platform stand-in; platformPause is the time between two connections to it.
	platformTimeout = 15 * time.Second
	platformPause   = 10 * time.Millisecond
)

// Fleet is a running deployment; Nodes and Targets are in the order of the plan.
type Fleet struct {
	Plan     *Plan
	Platform *Process
	Nodes    []*Process
	Targets  []*Process
}

// viewState is the part of the state dump that lists the targets of each service.
type viewState struct {
	View struct {
		Services []struct {
			Candidates []json.RawMessage `json:"candidates"`
		} `json:"services"`
	} `json:"view"`
}

// Start starts the platform stand-in, the nodes and the targets, files the first ticket and waits until every node is
// ready and knows every target.
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

// Close terminates all processes, the targets first.
func (f *Fleet) Close() {
	groups := [][]*Process{f.Targets, f.Nodes, {f.Platform}}
	for _, group := range groups {
		for _, p := range group {
			if p != nil && p.Running() {
				_ = p.Resume()    // A stopped process does not handle SIGTERM.
				_ = p.Terminate() // The process may have exited meanwhile.
			}
		}
		for _, p := range group {
			if p != nil {
				p.Close()
			}
		}
	}
}

// StartNode restarts a node that has exited.
func (f *Fleet) StartNode(i int) error {
	p, err := f.Nodes[i].Restart()
	if err != nil {
		return err
	}
	f.Nodes[i] = p
	return nil
}

// StartTarget restarts a target that has exited.
func (f *Fleet) StartTarget(i int) error {
	p, err := f.Targets[i].Restart()
	if err != nil {
		return err
	}
	f.Targets[i] = p
	return nil
}

// FileTicket files a ticket with the auburnwinch command and returns the output of the command.
func (f *Fleet) FileTicket(ctx context.Context, path string) (string, error) {
	command := exec.CommandContext(ctx, filepath.Join(f.Plan.Programs, "auburnwinch"),
		"ticket", "file", path, "--settings", f.Plan.Nodes[0].Path)
	output, err := command.CombinedOutput()
	return string(output), eris.Wrapf(err, "file ticket %s: %s", path, output)
}

// Admin requests a path from the admin listener of a node and decodes the JSON response.
func (f *Fleet) Admin(ctx context.Context, node int, path string, result any) error {
	settings := f.Plan.Nodes[node].Settings
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+settings.Listeners.Admin+path, nil)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+settings.OperatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrapf(err, "request to node %s", settings.Node.ID)
	}
	// An error of Close adds nothing to the result of the decoder.
	defer func() { _ = response.Body.Close() }()
	return eris.Wrap(json.NewDecoder(response.Body).Decode(result), "decode response")
}

// WaitReady waits until every running node is ready and knows every running target.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range f.Nodes {
		for !f.isReady(ctx, i, f.runningTargets()) {
			select {
			case <-ctx.Done():
				return eris.Errorf("node %s did not become ready; see its log in %s", f.Nodes[i].Name, f.Plan.Directory)
			case <-time.After(readyInterval):
			}
		}
	}
	return nil
}

// Candidates returns the number of targets in the routing view of a node.
func (f *Fleet) Candidates(ctx context.Context, node int) (int, error) {
	var dump viewState
	if err := f.Admin(ctx, node, "/state?section=view", &dump); err != nil {
		return 0, err
	}
	count := 0
	for _, s := range dump.View.Services {
		count += len(s.Candidates)
	}
	return count, nil
}

// isReady reports whether a node is ready and knows at least the number of targets; an exited node counts as ready.
func (f *Fleet) isReady(ctx context.Context, node, targets int) bool {
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

func (f *Fleet) startPlatform(ctx context.Context) (err error) {
	f.Platform, err = startProcess("platform", f.Plan.Directory, f.program("standin"), "platform",
		"--table-address", f.Plan.address(0, tablePort),
		"--object-address", f.Plan.address(0, objectPort),
		"--control-address", f.Plan.PlatformControl())
	if err != nil {
		return err
	}
	return f.awaitPlatform(ctx)
}

// awaitPlatform waits until the platform accepts connections: the first ticket is refused before, and nodes go into backoff.
func (f *Fleet) awaitPlatform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	for _, port := range []int{tablePort, objectPort} {
		for {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", f.Plan.address(0, port))
			if err == nil {
				_ = conn.Close() // Nothing was sent.
				break
			}
			if !f.Platform.Running() || !timer.Sleep(ctx, platformPause) {
				return eris.Wrap(err, "the platform stand-in does not listen; see its log")
			}
		}
	}
	return nil
}

func (f *Fleet) startNodes(context.Context) error {
	if err := f.Plan.writeAllSettings(); err != nil {
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
			"--service-time", f.Plan.ServiceTime.String(), "--spread", strconv.FormatFloat(serviceTimeSigma, 'g', -1, 64))
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
