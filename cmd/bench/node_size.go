package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"github.com/auburnwinch/auburnwinch/internal/peer"
	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/internal/store"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

type nodeCmd struct {
	Programs string        `default:"bin" help:"Directory of the built programs."`
	Seed     uint64        `default:"1" help:"Seed of the members and callers."`
	Window   time.Duration `default:"60s" help:"Time of each case."`
	Settle   time.Duration `default:"20s" help:"Time between the start or a change and the next case."`
	Warm     time.Duration `default:"15s" help:"Time of requests before a case with requests is observed."`
	WarmRate float64       `default:"269" help:"Requests per second of the warm-up."`
	Factor   float64       `default:"20" help:"How much faster than on an ordinary day the fleet changes."`
	Rate     float64       `default:"269" help:"Requests per second at the edge, and at the agent."`
	Case     []string      `help:"Cases to run; all by default." enum:"idle,own,all,day,rack"`
	Profile  string        `type:"path" help:"Directory for a profile of each case."`
}

const (
	// firstSized and lastSized bound the second byte of the loopback addresses.
	firstSized = 140
	lastSized  = 149
	// rackDown is the part of the window for which the nodes of a rack stay lost.
	rackDown     = 0.5
	restartPause = 5 * time.Second
)

// sizedCase is one state in which the node is observed.
type sizedCase struct {
	name, title string
	rate        float64
	// oneDomain makes every target one of the own failure domain, so that the edge uses all of them.
	oneDomain bool
	change    func(*nodeCmd, context.Context, *sizedNode) error
}

func (c *nodeCmd) cases() []sizedCase {
	return []sizedCase{
		{name: "idle", title: "idle"},
		{name: "day", title: fmt.Sprintf("ordinary day, %.0f times as fast", c.Factor), change: (*nodeCmd).day},
		{name: "rack", title: "rack of 25 lost and back", change: (*nodeCmd).rack},
		{name: "own", title: "requests, targets of the own failure domain", rate: c.Rate},
		{name: "all", title: "requests, all targets", rate: c.Rate, oneDomain: true},
	}
}

// Run observes one real node in a fleet of the design size.
func (c *nodeCmd) Run() error {
	printMachine()
	fmt.Printf("Seed %d, %s per case, load average %s at the start.\n\n", c.Seed, c.Window, loadAverage())
	fmt.Println("| case | user, of a core | system, of a core | in all | above idle | waits for a core | resident MB, at most | live heap MB | control sent B/s, mean / busiest second | control received B/s, mean / busiest second | rebuilds | callers B/s | relay and targets B/s | direct p50 / p99 | in the quiet quarter | edge: added p50 / p99 | in the quiet quarter | agent: added p50 / p99 | in the quiet quarter | requests / refused at the edge, at the agent | load |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, oneDomain := range []bool{false, true} {
		if err := c.runFleet(oneDomain); err != nil {
			return err
		}
	}
	return nil
}

func (c *nodeCmd) wanted(s sizedCase) bool {
	if len(c.Case) == 0 {
		return true
	}
	for _, name := range c.Case {
		if name == s.name {
			return true
		}
	}
	return false
}

// runFleet starts a fleet and runs its cases, each fleet with its own idle case as the baseline.
func (c *nodeCmd) runFleet(oneDomain bool) error {
	var cases []sizedCase
	for _, s := range c.cases() {
		if c.wanted(s) && s.oneDomain == oneDomain {
			cases = append(cases, s)
		}
	}
	if len(cases) == 0 {
		return nil
	}
	if oneDomain {
		cases = append([]sizedCase{{name: "idle-one-domain", title: "idle, all targets in one failure domain", oneDomain: true}}, cases...)
	}
	network, claim, err := procs.ClaimNetwork(firstSized, lastSized)
	if err != nil {
		return err
	}
	defer func() { _ = claim.Close() }() // It only frees the network.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := startSized(ctx, network, oneDomain, c.Seed)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := c.start(ctx, s); err != nil {
		return err
	}
	var idle float64
	for i, one := range cases {
		time.Sleep(c.Settle)
		core, err := c.observe(ctx, s, one, idle)
		if err != nil {
			return err
		}
		if i == 0 {
			idle = core
		}
	}
	return nil
}

func (c *nodeCmd) start(ctx context.Context, s *sizedNode) error {
	served, complete, err := s.startNode(ctx, c.Programs)
	if err != nil {
		return err
	}
	u, err := s.usage(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("| own start: serves after %s, %d targets of others after %s | %s user | %s system | | | | %.1f | %.1f | %d B | %d B | %d | | | | | | | | | | %s |\n",
		served.Round(time.Millisecond), designTargets-len(s.targets), complete.Round(time.Millisecond), u.user, u.system, u.resident, u.heap,
		u.control.BytesSent, u.control.BytesReceived, u.rebuilds, loadAverage())
	return nil
}

// observe prints the row of a case and returns the share of a core.
func (c *nodeCmd) observe(ctx context.Context, s *sizedNode, one sizedCase, idle float64) (float64, error) {
	load := newSizedLoad(s, one.rate, c.Seed)
	if one.rate > 0 {
		// The first requests open connections and fill the pools.
		load.rate = c.WarmRate
		if err := c.warm(ctx, load); err != nil {
			fmt.Fprintf(os.Stderr, "warm-up of case %s: %v\n", one.name, err)
		}
		load = newSizedLoad(s, one.rate, c.Seed+1)
	}
	before, err := s.usage(ctx)
	if err != nil {
		return 0, err
	}
	relayed := s.relayedBytes()
	begin := time.Now()
	within, cancel := context.WithTimeout(ctx, c.Window)
	defer cancel()
	tasks := pool.New().WithErrors()
	tasks.Go(func() error { return load.run(within) })
	if one.change != nil {
		tasks.Go(func() error { return one.change(c, within, s) })
	}
	if c.Profile != "" {
		tasks.Go(func() error { return c.profile(ctx, s, one.name) })
	}
	peak := s.watch(within)
	if err := tasks.Wait(); err != nil {
		return 0, eris.Wrapf(err, "case %s", one.name)
	}
	seconds := time.Since(begin).Seconds()
	after, err := s.usage(ctx)
	if err != nil {
		return 0, err
	}
	core := (after.cpu - before.cpu).Seconds() / seconds
	rate := func(after, before uint64) float64 { return float64(after-before) / seconds }
	fmt.Printf("| %s | %.2f%% | %.2f%% | %.2f%% | %.2f%% | %.2f%% | %.1f | %.1f | %.0f / %.0f | %.0f / %.0f | %d | %.0f | %.0f | %s | %s |\n", one.title,
		100*(after.user-before.user).Seconds()/seconds, 100*(after.system-before.system).Seconds()/seconds, 100*core, 100*(core-idle),
		100*(after.waited-before.waited).Seconds()/seconds,
		peak.resident, after.heap, rate(after.control.BytesSent, before.control.BytesSent), peak.sent,
		rate(after.control.BytesReceived, before.control.BytesReceived), peak.received,
		after.rebuilds-before.rebuilds, float64(load.callerBytes.Read.Load()+load.callerBytes.Written.Load())/seconds,
		float64(s.relayedBytes()-relayed+load.edgeBytes.Read.Load()+load.edgeBytes.Written.Load())/seconds, load.report(), loadAverage())
	return core, nil
}

func (c *nodeCmd) warm(ctx context.Context, load *sizedLoad) error {
	ctx, cancel := context.WithTimeout(ctx, c.Warm)
	defer cancel()
	return load.run(ctx)
}

// report returns the cells of the latencies.
func (l *sizedLoad) report() string {
	if l.rate == 0 {
		return "| | | | | | "
	}
	for i := range l.paths {
		// The last block is shorter than the others.
		l.paths[i].blocks = l.paths[i].blocks[:max(1, len(l.paths[i].blocks)-1)]
	}
	direct := &l.paths[loadDirect]
	quiet, _ := quietQuarter(direct, &l.paths[loadEdge])
	cells := latencyCell(direct.latency, nil) + " | " + latencyCell(quiet, nil)
	for _, path := range []int{loadEdge, loadAgent} {
		_, through := quietQuarter(direct, &l.paths[path])
		cells += " | " + latencyCell(l.paths[path].latency, direct.latency) + " | " + latencyCell(through, quiet)
	}
	answered := func(path int) int64 { return l.paths[path].latency.TotalCount() }
	return fmt.Sprintf("%s | %d / %d, %d / %d", cells, answered(loadEdge), l.refused[loadEdge], answered(loadAgent), l.refused[loadAgent])
}

// latencyCell writes median and 99th percentile, less those of the base if there is one.
func latencyCell(h, base *hdrhistogram.Histogram) string {
	var cells []string
	for _, percentile := range []float64{50, 99} {
		value := h.ValueAtPercentile(percentile)
		if base != nil {
			value -= base.ValueAtPercentile(percentile)
		}
		cells = append(cells, time.Duration(value).Round(10*time.Microsecond).String())
	}
	return strings.Join(cells, " / ")
}

// day restarts members and files tickets at the rates of an ordinary day.
func (c *nodeCmd) day(ctx context.Context, s *sizedNode) error {
	restart := time.Duration(secondsPerDay / (designRestarts + designFailures) / c.Factor * float64(time.Second))
	file := time.Duration(secondsPerDay / designTickets / c.Factor * float64(time.Second))
	restarts, files := time.NewTicker(restart), time.NewTicker(file)
	defer restarts.Stop()
	defer files.Stop()
	failed, next := false, 1
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-restarts.C:
			next += 7
			if !failed {
				// One failure stands for the few of a day.
				failed = true
				s.fleet.Fail(next)
				continue
			}
			s.fleet.Restart(next%(designNodes-2), restartPause)
		case <-files.C:
			if err := s.change(ctx); err != nil && ctx.Err() == nil {
				return err
			}
		}
	}
}

// rack stops a rack and starts it again.
func (c *nodeCmd) rack(ctx context.Context, s *sizedNode) error {
	// Every ninth node stands in the same failure domain.
	each := func(run func(int)) {
		for i := range rackNodes {
			run(designDomains * (i + 1))
		}
	}
	each(s.fleet.Fail)
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(time.Duration(rackDown * float64(c.Window))):
	}
	each(s.fleet.Recover)
	<-ctx.Done()
	return nil
}

func (c *nodeCmd) profile(ctx context.Context, s *sizedNode, name string) error {
	if err := os.MkdirAll(c.Profile, 0o755); err != nil {
		return eris.Wrap(err, "make the directory of the profiles")
	}
	for kind, path := range map[string]string{
		"cpu": fmt.Sprintf("/debug/pprof/profile?seconds=%.0f", max(1, c.Window.Seconds()-2)), "heap": "/debug/pprof/heap",
	} {
		data, err := s.fetch(ctx, path)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(c.Profile, name+"."+kind+".prof"), data, 0o600); err != nil {
			return eris.Wrap(err, "write the profile")
		}
	}
	return nil
}

// sizedUsage is what the process of the node has used so far.
type sizedUsage struct {
	usage
	user, system time.Duration
	// waited is the time in which threads were ready to run and had no core.
	waited   time.Duration
	rebuilds uint64
}

func (s *sizedNode) usage(ctx context.Context) (u sizedUsage, err error) {
	var dump struct {
		Process struct {
			HeapBytes  uint64     `json:"heap-bytes"`
			Rebuilds   uint64     `json:"rebuilds"`
			Violations uint64     `json:"violations"`
			Self       model.Node `json:"self"`
		} `json:"process"`
		Control  peer.Stats `json:"control"`
		Platform struct {
			Table store.Stats `json:"table"`
		} `json:"platform"`
	}
	for _, section := range []string{"process", "control", "platform"} {
		if err := s.admin(ctx, "/state?section="+section, &dump); err != nil {
			return u, err
		}
	}
	if dump.Process.Violations > 0 {
		return u, eris.Errorf("%d invariants were violated; see the log of the node", dump.Process.Violations)
	}
	if u.usage, err = processUsage(s.process.PID()); err != nil {
		return u, err
	}
	u.control, u.rebuilds, u.table = dump.Control, dump.Process.Rebuilds, dump.Platform.Table
	s.incarnation = dump.Process.Self.Ref.Incarnation
	u.heap = float64(dump.Process.HeapBytes) / 1e6
	if u.user, u.system, err = processorParts(s.process.PID()); err != nil {
		return u, err
	}
	u.waited, err = waitedForCore(s.process.PID())
	return u, err
}

// processorParts returns user and system time of a process.
func processorParts(pid int) (user, system time.Duration, err error) {
	stat, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0, 0, eris.Wrap(err, "read the processor time; the process may have ended")
	}
	var ticks [2]int64
	const userField, systemField = 11, 12
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if _, err := fmt.Sscan(fields[userField]+" "+fields[systemField], &ticks[0], &ticks[1]); err != nil {
		return 0, 0, eris.Wrap(err, "read the processor time")
	}
	return time.Duration(ticks[0]) * clockTick, time.Duration(ticks[1]) * clockTick, nil
}

// waitedForCore returns the time that all threads of a process waited for a core.
func waitedForCore(pid int) (waited time.Duration, err error) {
	files, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "task", "*", "schedstat"))
	if err != nil {
		return 0, eris.Wrap(err, "list the threads")
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			continue // The thread has ended.
		}
		var ran, ready int64
		if _, err := fmt.Sscan(string(data), &ran, &ready); err != nil {
			return 0, eris.Wrapf(err, "read %s", file)
		}
		waited += time.Duration(ready)
	}
	return waited, nil
}

// sizedPeaks are the largest values that were seen each second.
type sizedPeaks struct {
	// resident is in megabytes, sent and received are bytes of control traffic per second.
	resident, sent, received float64
}

// watch observes the process each second until the context ends.
func (s *sizedNode) watch(ctx context.Context) (p sizedPeaks) {
	ticks := time.NewTicker(time.Second)
	defer ticks.Stop()
	var before peer.Stats
	var at time.Time
	for {
		if u, err := processUsage(s.process.PID()); err == nil {
			p.resident = max(p.resident, u.resident)
		}
		var dump struct {
			Control peer.Stats `json:"control"`
		}
		if err := s.admin(ctx, "/state?section=control", &dump); err == nil {
			now := time.Now()
			if seconds := now.Sub(at).Seconds(); !at.IsZero() {
				p.sent = max(p.sent, float64(dump.Control.BytesSent-before.BytesSent)/seconds)
				p.received = max(p.received, float64(dump.Control.BytesReceived-before.BytesReceived)/seconds)
			}
			before, at = dump.Control, now
		}
		select {
		case <-ctx.Done():
			return p
		case <-ticks.C:
		}
	}
}

func (s *sizedNode) relayedBytes() int64 {
	r, t := &s.fleet.Requests, &s.targetBytes
	return r.Read.Load() + r.Written.Load() + t.Read.Load() + t.Written.Load()
}

// fetch reads an endpoint of the admin listener.
func (s *sizedNode) fetch(ctx context.Context, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.settings.Listeners.Admin+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build the request")
	}
	request.Header.Set("Authorization", "Bearer "+sizedToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "ask the node")
	}
	defer func() { _ = response.Body.Close() }() // The answer is read in full.
	return io.ReadAll(response.Body)
}

// loadAverage returns that of the last minute.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Fields(string(data))[0]
}
