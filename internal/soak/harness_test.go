package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/platform/fake"
)

// Ports of each node; every node has its own loopback address.
const (
	portCallers = 18304
	portRelay   = 18300
	portReady   = 18302
	portLocal   = 18306
	portMetrics = 18310
	// portPeer lets the nodes of a failure domain follow each other; without it each reads the store.
	portPeer = 18311
)

const (
	retryRatio    = 0.2
	retryExtra    = 58
	retryWindow   = 10 * time.Second
	shutdownGrace = 6 * time.Second
)

var services = []string{"kassa", "vitrine", "archief"}

// harness holds the stand-ins and node processes of one run and the guarantees that they violated.
type harness struct {
	seed         uint64
	directory    string
	program      string
	store        *fake.Store
	server       *httptest.Server
	nodes        []*node
	ledger       *ledger
	notices      *notices
	poison       poison
	lastTargetID int
	version      atomic.Int64

	mu         sync.Mutex
	violations []string
}

// node is a node process with its target and its proxy to the store.
type node struct {
	harness    *harness
	name       string
	ip         string
	service    string
	domain     string
	target     *target
	storeProxy *proxy
	settings   string

	mu      sync.Mutex
	process *procs.Process
	// shouldRun is false while the process is being stopped or restarted; starts counts its starts.
	shouldRun bool
	starts    int
}

func newHarness(seed uint64, program, directory string, nodes int) (*harness, error) {
	h := &harness{seed: seed, directory: directory, program: program, store: fake.NewStore(fake.Config{}), ledger: newLedger(), notices: newNotices()}
	h.server = httptest.NewServer(h.store)
	h.writeNextConfiguration()
	for i := range nodes {
		n := &node{
			harness: h, name: fmt.Sprintf("node-%d", i), ip: fmt.Sprintf("127.%d.%d.%d", 80+seed%100, seed/100%200, i+1),
			service: services[i%len(services)], domain: fmt.Sprintf("domain-%d", i/len(services)%2),
		}
		var err error
		if n.storeProxy, err = newProxy(strings.TrimPrefix(h.server.URL, "http://")); err != nil {
			return nil, err
		}
		if err = n.writeSettings(); err != nil {
			return nil, err
		}
		if err = n.start(); err != nil {
			return nil, err
		}
		if n.target, err = newTarget(h, n); err != nil {
			return nil, err
		}
		h.nodes = append(h.nodes, n)
	}
	return h, nil
}

// addViolation records a violated guarantee.
func (h *harness) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// writeNextConfiguration writes a configuration with the next version.
func (h *harness) writeNextConfiguration() { h.writeConfiguration(h.version.Add(1)) }

// writeConfiguration writes a configuration that has the routes of all services and one route unique to its version.
func (h *harness) writeConfiguration(version int64) {
	var resources []string
	timeouts := map[string]int{pausePath: 5000}
	route := func(name, host, prefix, kind, service string) {
		resources = append(resources, fmt.Sprintf(`{"resourceType":"routes","metadata":{"name":"%s"},"spec":{"host":"%s","prefix":"%s","kind":"%s",`+
			`"timeoutMs":%d,"targetLatencyMs":500,"priority":1,"service":"%s","maxAttempts":2,"public":%t}}`,
			name, host, prefix, kind, cmp.Or(timeouts[prefix], 2000), service, strings.HasPrefix(prefix, onlyPrefix)))
	}
	for _, s := range services {
		route(s+"-read", s+".example", "/read/", "idempotent", s)
		route(s+"-order", s+".example", "/order/", "non_idempotent", s)
		route(s+"-pause", s+".example", pausePath, "non_idempotent", s)
		resources = append(resources, fmt.Sprintf(`{"resourceType":"services","metadata":{"name":"%s"},"spec":{}}`, s))
	}
	route("only", "only.example", fmt.Sprintf(onlyPrefix+"%d/", version), "idempotent", services[0])
	resources = append(resources, accountResource(version))
	h.store.Put("op", "", "config", fmt.Appendf(nil, `{"version":"r%d","resources":[%s]}`, version, strings.Join(resources, ",")))
}

func (h *harness) close() {
	var group sync.WaitGroup
	for _, n := range h.nodes {
		group.Go(func() {
			n.target.close()
			n.mu.Lock()
			n.shouldRun = false
			p := n.process
			n.mu.Unlock()
			_ = p.Resume() // It fails for a process that has exited.
			_ = p.Kill()   // The run is over; nothing is checked from here on.
			p.Close()
			n.storeProxy.close()
		})
	}
	group.Wait()
	h.server.CloseClientConnections()
	h.server.Close()
}

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

func (n *node) writeSettings() error {
	n.settings = filepath.Join(n.harness.directory, n.name+".conf")
	text := fmt.Sprintf("node=%s\nip=%s\nzone=%s\nregion=region\nservice=%s\nlisten.outbound=%s\nlisten.inbound=%s\nlisten.readyAddr=%s\n"+
		"listen.control=%s\nportRange=%d,%d\nplatform.address=%s\nbounds=graceS=%d,retryBudgetRatio=%v,budgetExtra=%d,budgetWindowS=%d\n",
		n.name, n.ip, n.domain, n.service, n.address(portCallers), n.address(portRelay), n.address(portReady), n.address(portLocal),
		portMetrics, portPeer, n.storeProxy.address(), int(shutdownGrace.Seconds()), retryRatio, retryExtra, int(retryWindow.Seconds()))
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process; the caller ensures that no other process of the node is running.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, err := procs.Launch(n.name, n.harness.directory, n.harness.program, "hosted", "--settings", n.settings)
	if err != nil {
		return err
	}
	n.process, n.shouldRun = p, true
	n.harness.notices.disturb(n.name)
	n.starts++
	return nil
}

// restart stops the process by calling stop and starts it again; a stop that takes longer than the timeout is a
// violation.
func (n *node) restart(stop func(*procs.Process) error, timeout time.Duration) {
	n.mu.Lock()
	p := n.process
	if !n.shouldRun {
		n.mu.Unlock()
		return
	}
	n.shouldRun = false
	n.mu.Unlock()
	_ = p.Resume() // A paused process would not handle the signal.
	_ = stop(p)    // checkProcesses reports a process that exited unexpectedly.
	if !p.Wait(timeout) {
		n.harness.addViolation("%s did not exit within %s after the signal", n.name, timeout)
		_ = p.Kill()
	}
	p.Close()
	if err := n.start(); err != nil {
		n.harness.addViolation("%s failed to restart: %v", n.name, err)
	}
}

// currentProcess returns the process, the number of starts, and whether the process should be running.
func (n *node) currentProcess() (*procs.Process, int, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process, n.starts, n.shouldRun
}

func (n *node) ready() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.address(portReady) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
