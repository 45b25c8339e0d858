package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/platform/fake"
)

const (
	// defaultNodes is the number of node processes, unless AUBURNWINCH_SOAK_NODES is set.
	defaultNodes = 9
	// ciSeconds is how long faults are injected, unless AUBURNWINCH_SOAK_SECONDS is set.
	ciSeconds = 12
	// The fleet has recovered if it serves recoveredRatio of the requests of one second within recoveryTimeout after the
	// last fault.
	recoveryTimeout = 15 * time.Second
	recoveredRatio  = 0.9
	// shedDuration is long enough to exceed the retry budget if retries were not limited.
	shedDuration = 3 * time.Second
)

// ciSeeds are the seeds that CI runs; they include every seed that ever failed, listed here with the cause.
//
//   - 724: SIGHUP terminated a process that had just started and had not installed its signal handler yet.
var ciSeeds = []uint64{1, 724}

// Guards against violated guarantees when faults overlap: wrong responses to callers, non-idempotent requests (orders)
// that run twice, requests sent to draining targets, a return to an older configuration, retries beyond the budget, and
// requests beyond the rate limits that targets state, and requests with wrong accounts or without a valid key.
func TestSeeds(t *testing.T) {
	seeds := ciSeeds
	if text := os.Getenv("AUBURNWINCH_SOAK_SEEDS"); text != "" {
		seeds = parseSeeds(t, text)
	}
	program := filepath.Join(t.TempDir(), "auburnwinch")
	out, err := exec.Command("go", "build", "-o", program, "github.com/auburnwinch/auburnwinch/cmd/auburnwinch").CombinedOutput()
	require.NoError(t, err, string(out))
	faultsFor := time.Duration(setting(t, "AUBURNWINCH_SOAK_SECONDS", ciSeconds)) * time.Second
	nodes := setting(t, "AUBURNWINCH_SOAK_NODES", defaultNodes)
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed, program, nodes, faultsFor) })
	}
}

// setting returns a number from the environment, or the fallback if the variable is not set.
func setting(t *testing.T, name string, fallback int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	value, err := strconv.Atoi(text)
	require.NoError(t, err, name)
	return value
}

// parseSeeds parses a seed such as `7` or a range such as `100-149`.
func parseSeeds(t *testing.T, text string) []uint64 {
	t.Helper()
	first, last, isRange := strings.Cut(text, "-")
	if !isRange {
		last = first
	}
	from, err := strconv.ParseUint(first, 10, 64)
	require.NoError(t, err)
	to, err := strconv.ParseUint(last, 10, 64)
	require.NoError(t, err)
	var seeds []uint64
	for seed := from; seed <= to; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

func runSeed(t *testing.T, seed uint64, program string, nodes int, faultsFor time.Duration) {
	directory, err := os.MkdirTemp("", fmt.Sprintf("auburnwinch-soak-%d-", seed))
	require.NoError(t, err)
	h, err := newHarness(seed, program, directory, nodes)
	require.NoError(t, err)
	defer h.close()
	require.Eventually(t, func() bool {
		for _, n := range h.nodes {
			if !n.ready() {
				return false
			}
		}
		return true
	}, 20*time.Second, 50*time.Millisecond, "logs in %s", directory)
	c := startCallers(h)
	f := &faultInjector{harness: h, rng: rand.New(rand.NewPCG(seed, 7)), limits: rand.New(rand.NewPCG(seed, 8)), departures: rand.New(rand.NewPCG(seed, 9)), upsets: rand.New(rand.NewPCG(seed, 10))}
	f.run(faultsFor)
	f.leaving.Wait()
	recovered := f.waitRecovered(c)
	c.close()
	time.Sleep(callerTimeout) // Requests that timed out at the caller may still reach a target.
	if recovered {
		checkCalm(h)
	}
	violations := append(append(h.violations, h.ledger.check()...), h.notices.check()...)
	if !recovered {
		violations = append(violations, fmt.Sprintf("less than %v of the requests were served within %s after the last fault", recoveredRatio, recoveryTimeout))
	}
	t.Logf("seed %d: %d of %d requests served; faults: %s", seed, c.served.Load(), c.total.Load(), strings.Join(f.injected, ", "))
	require.Empty(t, violations, "logs in %s", directory)
	require.NoError(t, os.RemoveAll(directory))
}

// faultInjector injects faults that start at random times, last for random durations, and overlap.
type faultInjector struct {
	harness  *harness
	rng      *rand.Rand
	injected []string
	// limits draws the rate limits, so that they don't change the other faults of a seed.
	limits *rand.Rand
	// departures draws the targets that deregister, for the same reason.
	departures *rand.Rand
	// upsets draws the lost responses of the store, the uploads that are reset and the crashes of targets.
	upsets *rand.Rand
	// leaving holds the targets that deregister and the restarts of their nodes.
	leaving sync.WaitGroup
}

func (f *faultInjector) run(total time.Duration) {
	for end := time.Now().Add(total); time.Now().Before(end); {
		f.inject()
		f.limitTarget()
		f.deregisterTarget()
		f.upset()
		time.Sleep(time.Duration(100+f.rng.IntN(500)) * time.Millisecond)
		f.checkProcesses()
	}
}

// inject starts a random fault and schedules its end.
func (f *faultInjector) inject() {
	n := f.harness.nodes[f.rng.IntN(len(f.harness.nodes))]
	duration := time.Duration(300+f.rng.IntN(3000)) * time.Millisecond
	name := ""
	switch f.rng.IntN(12) {
	case 0:
		name = "pause " + n.name
		if p, _, shouldRun := n.currentProcess(); shouldRun && p.Pause() == nil {
			time.AfterFunc(duration, func() {
				f.harness.notices.disturb(n.name)
				_ = p.Resume() // The process may have been killed meanwhile.
			})
		}
	case 1:
		name = "kill " + n.name
		go n.restart((*procs.Process).Kill, shutdownGrace)
	case 2:
		name = "terminate " + n.name
		go n.restart((*procs.Process).Terminate, shutdownGrace)
	case 3:
		name = "reload " + n.name
		if p, _, shouldRun := n.currentProcess(); shouldRun {
			_ = p.Reload() // The process may have exited meanwhile.
		}
	case 4:
		mode := pathMode(1 + f.rng.IntN(int(pathModeCount)-1))
		name = fmt.Sprintf("store path %d of %s", mode, n.name)
		n.storeProxy.setMode(mode)
		time.AfterFunc(duration, func() { n.storeProxy.setMode(pathOpen) })
	case 5:
		mode := pathMode(1 + f.rng.IntN(int(pathModeCount)-1))
		name = fmt.Sprintf("target path %d of %s", mode, n.name)
		n.target.path().setMode(mode)
		time.AfterFunc(duration, func() { n.target.path().setMode(pathOpen) })
	case 6, 7:
		b := behavior(1 + f.rng.IntN(int(behaviorCount)-1))
		name = fmt.Sprintf("behavior %d of %s", b, n.name)
		n.target.setBehavior(b)
		time.AfterFunc(duration, func() { n.target.setBehavior(behaviorNormal) })
	case 8:
		name = "drain " + n.name
		n.target.drain(drainGrace + duration)
	case 9:
		name = f.injectStoreFault(duration)
	case 10:
		name = f.shedLoad(n.service, shedDuration+duration)
	case 11:
		// A delayed write by the operator arrives after newer ones.
		name = "late write of an older configuration"
		f.harness.writeConfiguration(max(1, f.harness.version.Load()-1))
		time.AfterFunc(duration, func() { f.harness.writeConfiguration(f.harness.version.Load()) })
	}
	f.injected = append(f.injected, name)
}

// limitTarget makes a random target state a rate limit in one of three steps.
func (f *faultInjector) limitTarget() {
	n, rate := f.harness.nodes[f.limits.IntN(len(f.harness.nodes))], []float64{0, 0.5, 1, 2, 4.5}[f.limits.IntN(5)]
	duration := time.Duration(5000+f.limits.IntN(5000)) * time.Millisecond
	if f.limits.IntN(3) == 0 {
		n.target.limit(rate, duration)
		f.injected = append(f.injected, fmt.Sprintf("limit %g of %s", rate, n.name))
	}
}

// deregisterTarget makes a random target deregister, with delayed heartbeats afterwards. Its node may be killed or terminated
// before that or as soon as it has acknowledged it.
func (f *faultInjector) deregisterTarget() {
	if f.departures.IntN(4) > 0 {
		return
	}
	n, end := f.harness.nodes[f.departures.IntN(len(f.harness.nodes))], f.departures.IntN(5)
	delays := []time.Duration{f.delay(), f.delay(), f.delay()}
	kill := func() { n.restart((*procs.Process).Kill, shutdownGrace) }
	terminate := func() { n.restart((*procs.Process).Terminate, shutdownGrace) }
	before, acked := func() {}, func() {}
	switch end {
	case 0:
		acked = kill
	case 1:
		acked = func() { f.leaving.Go(terminate) }
	case 2:
		before = kill
	case 3:
		before = func() {
			f.leaving.Go(terminate)
			time.Sleep(delays[0])
		}
	}
	f.leaving.Go(func() {
		before()
		n.target.leave(acked, delays)
	})
	f.injected = append(f.injected, fmt.Sprintf("deregistration %d at %s", end, n.name))
}

func (f *faultInjector) delay() time.Duration {
	return time.Duration(f.departures.IntN(1500)) * time.Millisecond
}

// shedLoad makes all targets of a service shed requests, so that nearly every request needs a retry.
func (f *faultInjector) shedLoad(service string, duration time.Duration) string {
	for _, n := range f.harness.nodes {
		if n.service == service {
			n.target.setBehavior(behaviorShedding)
			time.AfterFunc(duration, func() { n.target.setBehavior(behaviorNormal) })
		}
	}
	return "overload of " + service
}

// injectStoreFault writes a new configuration, drops the history of the store, or makes the store fail for all nodes.
func (f *faultInjector) injectStoreFault(duration time.Duration) string {
	switch kind := f.rng.IntN(5); kind {
	case 0, 1:
		f.harness.writeNextConfiguration()
		return "configuration"
	case 2:
		f.harness.store.DropHistory()
		return "history"
	default:
		fault := fake.Fault{Status: http.StatusServiceUnavailable}
		if kind == 4 {
			fault = fake.Fault{DropResponse: true}
		}
		f.harness.store.SetFault(func(fake.Call) fake.Fault { return fault })
		time.AfterFunc(duration, func() { f.harness.store.SetFault(nil) })
		return fmt.Sprintf("store %d", kind)
	}
}

// checkProcesses reports and restarts processes that have exited unexpectedly.
func (f *faultInjector) checkProcesses() {
	for _, n := range f.harness.nodes {
		if p, _, shouldRun := n.currentProcess(); shouldRun && !p.Running() {
			f.harness.addViolation("%s exited unexpectedly with code %d", n.name, p.ExitCode())
			n.restart((*procs.Process).Kill, shutdownGrace)
		}
	}
}

// waitRecovered waits until all faults have ended and reports whether the fleet has recovered.
func (f *faultInjector) waitRecovered(c *callers) bool {
	time.Sleep(shedDuration + 3500*time.Millisecond + shutdownGrace)
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); {
		served, total := c.served.Load(), c.total.Load()
		time.Sleep(time.Second)
		if float64(c.served.Load()-served) >= recoveredRatio*float64(c.total.Load()-total) {
			return true
		}
	}
	return false
}
