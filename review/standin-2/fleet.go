package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/auburnwinch/auburnwinch/platform/fake"
)

const (
	// program is the one that the deploy file starts.
	program      = "target/auburnwinch"
	startTimeout = 20 * time.Second
	grace        = 6 * time.Second
	heartbeat    = 1500 * time.Millisecond
	probePeriod  = 50 * time.Millisecond
	portTries    = 20
	// settleTime is how long the machines run in calm before a case begins; drainTime is drainMs of the settings.
	settleTime = 9500 * time.Millisecond
	drainTime  = 2 * time.Second
)

// Offsets of the ports of a machine from the first one.
const (
	portInbound = iota
	portApp
	portReady
	portOutbound
	portControl
	portStore
	portMetrics
	portPeer
	portCount
)

var errPorts = errors.New("no free ports on the loopback network")

// fleet is a small deployment: a store, and machines with a node and an instance each.
type fleet struct {
	record    *recorder
	directory string
	store     *fake.Store
	prefix    string
	firstPort int
	machines  []*machine
	servers   []*http.Server
}

// machine is one machine with its node and its instance.
type machine struct {
	fleet    *fleet
	name     string
	zone     string
	service  string
	ip       string
	instance *instance
	server   *http.Server
	// refused is set while the store turns the machine away.
	refused atomic.Bool

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// storeCalls holds the times of the calls of this machine to the store by name and table.
	storeCalls map[string][]time.Time
}

func newFleet(r *recorder) (*fleet, error) {
	directory, err := os.MkdirTemp("", "auburnwinch-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, directory: directory, store: fake.NewStore(fake.Config{WritesPerSecond: 400, ReadsPerSecond: 2000})}
	for range portTries {
		f.prefix = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		f.firstPort = 20000 + portCount*rand.IntN(1000)
		if f.portsFree() {
			return f, nil
		}
	}
	return nil, errPorts
}

// portsFree reports whether no other process listens on the ports.
func (f *fleet) portsFree() bool {
	for i := range portCount {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", f.prefix, f.firstPort+i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// serve serves the handler until the fleet is closed.
func (f *fleet) serve(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// add adds a machine with an instance of the service, starts its node and lets the instance send pings.
func (f *fleet) add(zone, service string) (*machine, error) {
	m, err := f.addSilent(zone, service)
	if err == nil {
		go m.instance.sendHeartbeats()
	}
	return m, err
}

// addSilent adds a machine whose instance sends no pings by itself.
func (f *fleet) addSilent(zone, service string) (*machine, error) {
	m := &machine{
		fleet: f, name: fmt.Sprintf("sidecar-%s-%d", zone, len(f.machines)+1), zone: zone, service: service,
		ip: fmt.Sprintf("%s.%d", f.prefix, len(f.machines)+1), storeCalls: make(map[string][]time.Time),
	}
	if err := f.serve(m.address(portStore), http.HandlerFunc(m.serveStore)); err != nil {
		return nil, err
	}
	if err := m.writeSettings(); err != nil {
		return nil, err
	}
	m.instance = newInstance(m)
	if err := m.serveInstance(); err != nil {
		return nil, err
	}
	if err := m.start(); err != nil {
		return nil, err
	}
	f.machines = append(f.machines, m)
	return m, nil
}

// serveInstance serves the requests to the instance.
func (m *machine) serveInstance() error {
	l, err := net.Listen("tcp", m.address(portApp))
	if err != nil {
		return err
	}
	m.server = &http.Server{Handler: m.instance, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = m.server.Serve(l) }()
	return nil
}

// serveAgain ends the instance as a crash does, and starts it again under the same id after the time.
func (m *machine) serveAgain(after time.Duration) error {
	m.instance.stop()
	_ = m.server.Close() // It has no connections that must end well.
	time.Sleep(after)
	again := newInstance(m)
	again.id = m.instance.id
	m.instance = again
	return m.serveInstance()
}

// serveStore notes the call and passes it to the store.
func (m *machine) serveStore(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, "/api/") + " " + r.URL.Query().Get("table")
	m.mu.Lock()
	m.storeCalls[name] = append(m.storeCalls[name], time.Now())
	m.mu.Unlock()
	if m.refused.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	m.fleet.store.ServeHTTP(w, r)
}

// callsSince returns the number of calls of the machine to the store since the time.
func (m *machine) callsSince(name string, since time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, at := range m.storeCalls[name] {
		if at.After(since) {
			count++
		}
	}
	return count
}

func (m *machine) address(port int) string {
	return fmt.Sprintf("%s:%d", m.ip, m.fleet.firstPort+port)
}

func (m *machine) settings() string {
	return filepath.Join(m.fleet.directory, m.name+".conf")
}

// writeSettings writes the settings as DEPLOY.md shows them for a deployment in sites/.
func (m *machine) writeSettings() error {
	text := fmt.Sprintf("node=%s\nrole=node\nmachineClass=sidecar\nserves=sidecar\nip=%s\nzone=%s\nregion=norte\nzones.%s=norte\n"+
		"listen.inbound=%s\nlisten.outbound=%s\nlisten.readyAddr=%s\nlisten.control=%s\nportRange=%d,%d\nseeds=\nbootstrap=true\n"+
		"limits.cpuShare=0.32\nlimits.cpuCores=1\nlimits.memoryMb=284\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n"+
		"discovery=static\nentry=static\nheartbeatMs=%d\ncontracts=base,drain,config,cost,retry,recover,health,platform\n"+
		"bounds=seedLagS=3,addrReuseS=2,stableMs=3000,ackMs=4000,catchUpS=4,drainMs=2000,graceS=%d,lossSlackMs=200,configApplyMs=2000,"+
		"rollbackSlackMs=250,maxStretchMs=5000,retryBudgetRatio=0.2,budgetWindowS=10,budgetExtra=58,recoveryS=15,probesPerS=3,minShare=0.7\n"+
		"appAddr=%s\nservice=%s\nplatform.address=%s\nplatform.form=table\nplatform.writesPerS=400\nplatform.readsPerS=2000\n"+
		"platform.rowBytes=65536\nplatform.historyS=20\n",
		m.name, m.ip, m.zone, m.zone, m.address(portInbound), m.address(portOutbound), m.address(portReady), m.address(portControl),
		m.fleet.firstPort+portMetrics, m.fleet.firstPort+portPeer, heartbeat.Milliseconds(), int(grace.Seconds()), m.address(portApp), m.service,
		m.address(portStore))
	return os.WriteFile(m.settings(), []byte(text), 0o600)
}

// start starts the node with the command of the deploy file.
func (m *machine) start() error {
	log, err := os.OpenFile(filepath.Join(m.fleet.directory, m.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, "hosted")
	command.Env = append(os.Environ(), "AUBURNWINCH_SETTINGS="+m.settings())
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	m.mu.Lock()
	m.command, m.exited = command, exited
	m.mu.Unlock()
	return nil
}

// signal sends a signal to the process of the node.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.command.Process.Signal(s) // It fails if the process has exited.
}

// wait waits until the process has exited.
func (m *machine) wait(timeout time.Duration) bool {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// restart kills the process and starts another one, as the platform does.
func (m *machine) restart() error {
	m.signal(syscall.SIGKILL)
	m.wait(startTimeout)
	return m.start()
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.address(portReady) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady() bool {
	return eventually(startTimeout, func() bool {
		for _, m := range f.machines {
			if !m.ready() {
				return false
			}
		}
		return true
	})
}

// eventually reports whether the condition comes true within the timeout.
func eventually(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(probePeriod) {
		if condition() {
			return true
		}
	}
	return false
}

// close ends all processes and removes the directory.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.instance.stop()
		_ = m.server.Close()
		m.signal(syscall.SIGKILL)
		m.signal(syscall.SIGCONT)
		m.wait(startTimeout)
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.directory)
	}
}

// route is one route of a desired state.
type route struct {
	name, host, prefix, kind, service string
	timeoutMs                         int
	maxAttempts                       int
}

// configure writes a desired state as the operator does, and returns when the store has taken it.
func (f *fleet) configure(version int, services []string, routes []route, more ...string) time.Time {
	var resources []string
	for _, r := range routes {
		resources = append(resources, fmt.Sprintf(`{"resourceType":"routes","metadata":{"name":%q},"spec":{"host":%q,"prefix":%q,"kind":%q,`+
			`"timeoutMs":%d,"targetLatencyMs":2500,"priority":1,"service":%q,"maxAttempts":%d}}`,
			r.name, r.host, r.prefix, r.kind, r.timeoutMs, r.service, r.maxAttempts))
	}
	for _, s := range services {
		resources = append(resources, fmt.Sprintf(`{"resourceType":"services","metadata":{"name":%q},"spec":{"healthPath":"/health",`+
			`"maxConnections":330,"protocol":"h1","tls":false}}`, s))
	}
	resources = append(resources, more...)
	resources = append(resources, `{"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,`+
		`"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
	f.store.Put("op", "", "config", fmt.Appendf(nil, `{"version":"r%d","resources":[%s]}`, version, strings.Join(resources, ",")))
	return time.Now()
}
