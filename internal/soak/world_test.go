package soak

import (
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

// Ports of each node; every node has a loopback address of its own.
const (
	portCallers = 18304
	portRelay   = 18300
	portReady   = 18302
	portLocal   = 18306
	portMetrics = 18310
)

const (
	retryRatio  = 0.2
	retryExtra  = 58
	retryWindow = 10 * time.Second
	grace       = 6 * time.Second
)

var services = []string{"kassa", "vitrine", "archief"}

// world is one run: the stand-ins, the processes, and what they did.
type world struct {
	seed       uint64
	directory  string
	program    string
	store      *fake.Store
	server     *httptest.Server
	nodes      []*node
	ledger     *ledger
	lastTarget int
	version    atomic.Int64

	mu       sync.Mutex
	findings []string
}

// node is one process with its target, and the path of the process to the store.
type node struct {
	world    *world
	name     string
	ip       string
	service  string
	domain   string
	target   *target
	toStore  *proxy
	settings string

	mu      sync.Mutex
	process *procs.Process
	// wanted tells that the process must run; life counts its starts.
	wanted bool
	life   int
}

func newWorld(seed uint64, program, directory string, nodes int) (*world, error) {
	w := &world{seed: seed, directory: directory, program: program, store: fake.NewStore(fake.Config{}), ledger: newLedger()}
	w.server = httptest.NewServer(w.store)
	w.configure()
	for i := range nodes {
		n := &node{
			world: w, name: fmt.Sprintf("node-%d", i), ip: fmt.Sprintf("127.%d.%d.%d", 80+seed%100, seed/100%200, i+1),
			service: services[i%len(services)], domain: fmt.Sprintf("domain-%d", i/len(services)%2),
		}
		var err error
		if n.toStore, err = newProxy(strings.TrimPrefix(w.server.URL, "http://")); err != nil {
			return nil, err
		}
		if err = n.writeSettings(); err != nil {
			return nil, err
		}
		if err = n.start(); err != nil {
			return nil, err
		}
		if n.target, err = newTarget(w, n); err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	return w, nil
}

// find notes a broken promise.
func (w *world) find(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.findings = append(w.findings, fmt.Sprintf(format, args...))
}

// configure writes the next configuration.
func (w *world) configure() { w.putConfiguration(w.version.Add(1)) }

// putConfiguration writes a configuration. Each has the routes of all services and one that only it has.
func (w *world) putConfiguration(version int64) {
	var resources []string
	route := func(name, host, prefix, kind, service string) {
		resources = append(resources, fmt.Sprintf(`{"resourceType":"routes","metadata":{"name":"%s"},"spec":{"host":"%s","prefix":"%s",`+
			`"kind":"%s","timeoutMs":2000,"targetLatencyMs":500,"priority":1,"service":"%s","maxAttempts":2}}`, name, host, prefix, kind, service))
	}
	for _, s := range services {
		route(s+"-read", s+".example", "/read/", "idempotent", s)
		route(s+"-order", s+".example", "/order/", "non_idempotent", s)
		resources = append(resources, fmt.Sprintf(`{"resourceType":"services","metadata":{"name":"%s"},"spec":{}}`, s))
	}
	route("only", "only.example", fmt.Sprintf("/only-%d/", version), "idempotent", services[0])
	w.store.Put("op", "", "config", fmt.Appendf(nil, `{"version":"r%d","resources":[%s]}`, version, strings.Join(resources, ",")))
}

func (w *world) close() {
	var group sync.WaitGroup
	for _, n := range w.nodes {
		group.Go(func() {
			n.target.close()
			n.mu.Lock()
			n.wanted = false
			p := n.process
			n.mu.Unlock()
			_ = p.Resume() // A process that has ended needs none.
			_ = p.Kill()   // The run is over; nothing is checked any more.
			p.Close()
			n.toStore.close()
		})
	}
	group.Wait()
	w.server.CloseClientConnections()
	w.server.Close()
}

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

func (n *node) writeSettings() error {
	n.settings = filepath.Join(n.world.directory, n.name+".conf")
	text := fmt.Sprintf("node=%s\nip=%s\nzone=%s\nregion=region\nservice=%s\nlisten.outbound=%s\nlisten.inbound=%s\nlisten.readyAddr=%s\n"+
		"listen.control=%s\nportRange=%d,%d\nplatform.address=%s\nbounds=graceS=%d,retryBudgetRatio=%v,budgetExtra=%d,budgetWindowS=%d\n",
		n.name, n.ip, n.domain, n.service, n.address(portCallers), n.address(portRelay), n.address(portReady), n.address(portLocal),
		portMetrics, portMetrics, n.toStore.address(), int(grace.Seconds()), retryRatio, retryExtra, int(retryWindow.Seconds()))
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process; it is called while no other one of the node runs.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, err := procs.Launch(n.name, n.world.directory, n.world.program, "hosted", "--settings", n.settings)
	if err != nil {
		return err
	}
	n.process, n.wanted = p, true
	n.life++
	return nil
}

// restart ends the process by the signal and starts it again; a graceful end that takes too long is a finding.
func (n *node) restart(end func(*procs.Process) error, within time.Duration) {
	n.mu.Lock()
	p := n.process
	if !n.wanted {
		n.mu.Unlock()
		return
	}
	n.wanted = false
	n.mu.Unlock()
	_ = p.Resume() // A paused process would not see the signal.
	_ = end(p)     // One that has ended by itself is found by the watch.
	if !p.Wait(within) {
		n.world.find("%s did not end within %s after SIGTERM", n.name, within)
		_ = p.Kill()
	}
	p.Close()
	if err := n.start(); err != nil {
		n.world.find("%s does not start again: %v", n.name, err)
	}
}

// running returns the process that is to run, and the count of starts.
func (n *node) running() (*procs.Process, int, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process, n.life, n.wanted
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
