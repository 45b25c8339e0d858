package main

import (
	"bufio"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/procs"
)

const (
	soakPoll        = 100 * time.Millisecond
	soakPollTimeout = time.Second
)

// soakWatch polls the state dumps of all nodes.
type soakWatch struct {
	fleet    *procs.Fleet
	findings *findings
	subjects *soakSubjects
	mu       sync.Mutex
	nodes    []nodeWatch
}

// nodeWatch is what the dumps of one node showed.
type nodeWatch struct {
	number     uint64
	violations uint64
	// reached holds the time at which each number was first seen in force.
	reached map[uint64]time.Time
}

type ticketDump struct {
	Tickets struct {
		Number uint64 `json:"number"`
		Ready  bool   `json:"ready"`
	} `json:"tickets"`
}

type processDump struct {
	Process struct {
		Violations uint64 `json:"violations"`
	} `json:"process"`
}

func newWatch(fleet *procs.Fleet, f *findings, s *soakSubjects) *soakWatch {
	w := &soakWatch{fleet: fleet, findings: f, subjects: s, nodes: make([]nodeWatch, len(fleet.Nodes))}
	for i := range w.nodes {
		w.nodes[i].reached = make(map[uint64]time.Time)
	}
	return w
}

// start polls until the context ends; the channel is closed when the last poll has ended.
func (w *soakWatch) start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	var pollers sync.WaitGroup
	for i := range w.nodes {
		pollers.Go(func() {
			for ctx.Err() == nil {
				w.poll(ctx, i)
				pause(ctx, soakPoll)
			}
		})
	}
	go func() {
		defer close(done)
		pollers.Wait()
	}()
	return done
}

// poll reads one node; a node that is down or paused gives no answer.
func (w *soakWatch) poll(ctx context.Context, node int) {
	ctx, cancel := context.WithTimeout(ctx, soakPollTimeout)
	defer cancel()
	var process processDump
	if w.fleet.Admin(ctx, node, "/state?section=process", &process) == nil {
		w.seeViolations(node, process.Process.Violations)
	}
	var tickets ticketDump
	if w.fleet.Admin(ctx, node, "/state?section=tickets", &tickets) == nil && tickets.Tickets.Ready {
		w.seeNumber(node, tickets.Tickets.Number)
	}
}

func (w *soakWatch) seeViolations(node int, n uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n > w.nodes[node].violations {
		w.findings.add("invariant check", "%d failed checks on %s", n, w.name(node))
	}
	w.nodes[node].violations = n
}

func (w *soakWatch) seeNumber(node int, number uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := &w.nodes[node]
	if number < known.number {
		w.findings.add("ticket", "the number in force on %s went back from %d to %d", w.name(node), known.number, number)
	}
	for n := known.number + 1; n <= number; n++ {
		known.reached[n] = time.Now()
	}
	known.number = number
}

// reachedAt returns when the node was first seen with the number in force.
func (w *soakWatch) reachedAt(node int, number uint64) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.nodes[node].reached[number]
	return at, ok
}

func (w *soakWatch) name(node int) string {
	return w.fleet.Plan.Nodes[node].Settings.Node.ID
}

// checkLogs finds failed checks of nodes that ended before they were polled, and panics.
func (w *soakWatch) checkLogs(plan *procs.Plan) {
	for _, n := range plan.Nodes {
		file, err := os.Open(filepath.Join(plan.Directory, n.Settings.Node.ID+".log"))
		if err != nil {
			w.findings.add("harness", "%v", err)
			continue
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			if text := lines.Text(); strings.Contains(text, "invariant violated") || strings.HasPrefix(text, "panic:") {
				w.findings.add("log", "%s: %s", n.Settings.Node.ID, text)
			}
		}
		if err := lines.Err(); err != nil {
			w.findings.add("harness", "the log of %s can't be read: %v", n.Settings.Node.ID, err)
		}
		_ = file.Close() // It was only read.
	}
}
