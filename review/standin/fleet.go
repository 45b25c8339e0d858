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
	"syscall"
	"time"

	"github.com/auburnwinch/auburnwinch/platform/fake"
)

// The bounds of the small deployments on our pages.
const (
	heartbeatInterval = 1500 * time.Millisecond
	drainBound        = 2 * time.Second
	stableBound       = 3 * time.Second
)

// program is the program that the deploy file builds and runs.
const program = "target/auburnwinch"

const settingsText = `node=%[1]s
role=node
machineClass=sidecar
serves=sidecar
ip=%[2]s
zone=%[3]s
region=norte
zones.%[3]s=norte
listen.inbound=%[2]s:8300
listen.outbound=%[2]s:8304
listen.readyAddr=%[2]s:8302
listen.control=%[2]s:8306
portRange=7620,7635
seeds=
bootstrap=true
heartbeatMs=1500
contracts=base,drain,config,cost,retry,recover,health,platform
bounds=seedLagS=3,addrReuseS=2,stableMs=3000,ackMs=4000,catchUpS=4,drainMs=2000,graceS=6,lossSlackMs=200,configApplyMs=2000,rollbackSlackMs=250,maxStretchMs=5000,retryBudgetRatio=0.2,budgetWindowS=10,budgetExtra=58,recoveryS=15,probesPerS=3,minShare=0.7
appAddr=%[2]s:8301
service=%[4]s
platform.address=%[5]s
platform.form=table
platform.writesPerS=400
platform.readsPerS=2000
platform.txMs=5.0
platform.partitionWritesS=200
platform.rowBytes=65536
platform.historyS=20
`

// fleet is the stand-in of the platform with the machines of a small deployment.
type fleet struct {
	record   *record
	dir      string
	store    *fake.Store
	lossy    *lossyStore
	address  string
	network  string
	machines []*machine

	mu   sync.Mutex
	runs []run
}

// run is one request that an instance began to work on.
type run struct {
	at                                  time.Time
	id, instance, service, method, path string
	length                              int64
}

// machine holds one instance and the node beside it.
type machine struct {
	fleet    *fleet
	name     string
	ip       string
	service  string
	instance *instance
	boots    int
	process  *exec.Cmd
	started  time.Time
	exited   chan struct{}
	log      *os.File
}

func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, dir: dir, store: fake.NewStore(fake.Config{WritesPerSecond: 400, ReadsPerSecond: 2000})}
	f.network = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
	listener, err := net.Listen("tcp", f.network+".250:8309")
	if err != nil {
		return nil, err
	}
	f.address = listener.Addr().String()
	f.lossy = &lossyStore{store: f.store, record: r}
	go func() { _ = http.Serve(listener, f.lossy) }()
	return f, nil
}

// add starts a machine with a node and an instance that sends heartbeats.
func (f *fleet) add(zone, service string) (*machine, error) {
	number := len(f.machines) + 1
	m := &machine{fleet: f, name: fmt.Sprintf("sidecar-%s-%d", zone, number), ip: fmt.Sprintf("%s.%d", f.network, number), service: service}
	f.machines = append(f.machines, m)
	text := fmt.Sprintf(settingsText, m.name, m.ip, zone, service, f.address)
	if err := os.WriteFile(m.path("settings"), []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if m.log, err = os.Create(m.path("log")); err != nil {
		return nil, err
	}
	if err := m.start(); err != nil {
		return nil, err
	}
	m.instance, err = newInstance(m)
	return m, err
}

func (m *machine) path(kind string) string { return filepath.Join(m.fleet.dir, m.name+"."+kind) }

// start starts the node as the deploy file says.
func (m *machine) start() error {
	m.process = exec.Command(program, "hosted")
	m.process.Env = []string{"AUBURNWINCH_SETTINGS=" + m.path("settings"), "PATH=" + os.Getenv("PATH"), "HOME=" + m.fleet.dir}
	m.process.Stdout, m.process.Stderr = m.log, m.log
	if err := m.process.Start(); err != nil {
		return err
	}
	m.started = time.Now()
	process, exited := m.process, make(chan struct{})
	m.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	m.fleet.record.printf("start the node of %s", m.name)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.fleet.record.printf("signal %q to the node of %s", s, m.name)
	_ = m.process.Process.Signal(s)
}

// kill ends the node at once and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

func (m *machine) ready() bool {
	response, err := http.Get("http://" + m.ip + ":8302/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the node is ready.
func (m *machine) awaitReady() error {
	for end := time.Now().Add(5 * time.Second); !m.ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return errNotReady
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.process != nil && m.process.Process != nil {
			_ = m.process.Process.Signal(syscall.SIGCONT)
			_ = m.process.Process.Kill()
			<-m.exited
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(f.dir, keep)
	}
	_ = os.RemoveAll(f.dir)
}

var errNotReady = errors.New("the nodes did not get ready; look at their logs")

// awaitReady waits until all nodes are ready and each serves each host.
func (f *fleet) awaitReady(hosts ...string) error {
	for _, m := range f.machines {
		if err := m.awaitReady(); err != nil {
			return err
		}
	}
	end := time.Now().Add(15 * time.Second)
	for _, m := range f.machines {
		for i, host := range hosts {
			for m.get(host, "/read/1", fmt.Sprintf("warm-%s-%d-%d", m.name, i, time.Now().UnixNano())).status != http.StatusOK {
				if time.Now().After(end) {
					return errNotReady
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return nil
}

// configure writes a desired state, with an idempotent and a non-idempotent route for each service. The service of host
// NAME.example is services[NAME].
func (f *fleet) configure(version int, services map[string]string) {
	var resources []string
	seen := map[string]bool{}
	for name, service := range services {
		for kind, prefix := range map[string]string{"idempotent": "read", "non_idempotent": "order"} {
			resources = append(resources, fmt.Sprintf(`{"resourceType":"routes","metadata":{"name":"r-%s-%s"},"spec":{"host":"%s.example","prefix":"/%s/",`+
				`"kind":"%s","timeoutMs":4000,"targetLatencyMs":2500,"priority":1,"service":"%s","maxAttempts":2}}`, name, prefix, name, prefix, kind, service))
		}
		if !seen[service] {
			seen[service] = true
			resources = append(resources, fmt.Sprintf(`{"resourceType":"services","metadata":{"name":"%s"},"spec":{"healthPath":"/health",`+
				`"maxConnections":330,"protocol":"h1","tls":false}}`, service))
		}
	}
	resources = append(resources, `{"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
	f.store.Put("op", "", "config", fmt.Appendf(nil, `{"version":"r%d","resources":[%s]}`, version, strings.Join(resources, ",")))
	f.record.printf("the operator's version r%d is acknowledged: %v", version, services)
}

func (f *fleet) addRun(r run) {
	f.mu.Lock()
	f.runs = append(f.runs, r)
	f.mu.Unlock()
	f.record.printf("run    %s at %s: %s %s, body of %d bytes", r.id, r.instance, r.method, r.path, r.length)
}

// runsOf returns the runs of a request.
func (f *fleet) runsOf(id string) []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var runs []run
	for _, r := range f.runs {
		if r.id == id {
			runs = append(runs, r)
		}
	}
	return runs
}
