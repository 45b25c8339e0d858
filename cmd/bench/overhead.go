package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

type overheadCmd struct {
	processesConfig
	Requests int `default:"20000" help:"Requests per path and row."`
}

const (
	// overheadBlock requests go over one path before the other path has its turn, so that noise meets both.
	overheadBlock = 500
	// warmBlocks open the connections and fill the pools.
	warmBlocks   = 2
	histogramTop = 10 * time.Second
)

// overheadRow is one kind of request with a number of concurrent callers.
type overheadRow struct {
	name    string
	service int
	query   string
	write   bool
	callers int
}

// overheadPath is one way to a target with its figures.
type overheadPath struct {
	url     string
	host    string
	keys    string
	latency *hdrhistogram.Histogram
	blocks  []*hdrhistogram.Histogram
	cpu     time.Duration
	mallocs uint64
	count   int
}

// Run compares requests through an edge and the agent of another node with requests to the same target.
func (c *overheadCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	fleet, stop, err := c.startProcesses(ctx, 1)
	if err != nil {
		return err
	}
	defer stop()
	printMachine()
	fmt.Println("\n| request | callers | direct median | direct p99 | added median | added p99 | direct p99, quiet quarter | added p99, quiet quarter | processor time of edge and agent | allocations of edge and agent | requests/s per core |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, row := range overheadRows(fleet.Plan) {
		if err := c.measure(ctx, fleet, row); err != nil {
			return err
		}
	}
	return nil
}

// overheadRows takes the first idempotent route for reads and the first other one for writes.
func overheadRows(plan *procs.Plan) []overheadRow {
	read, write := -1, -1
	for i, s := range plan.Ticket.Services {
		switch {
		case len(s.Routes) == 0:
		case s.Routes[0].Idempotent && !s.Routes[0].Resumable && read < 0:
			read = i
		case !s.Routes[0].Idempotent && write < 0:
			write = i
		}
	}
	var rows []overheadRow
	for _, callers := range []int{1, 4} {
		if read >= 0 {
			rows = append(rows, overheadRow{name: "read, 0.2 kB", service: read, query: "?service-time=0s", callers: callers})
		}
	}
	if read >= 0 {
		rows = append(rows, overheadRow{name: "read, 20 kB", service: read, query: "?service-time=0s&bytes=20480", callers: 4})
	}
	if write >= 0 {
		rows = append(rows, overheadRow{name: "write with issued key", service: write, query: "?service-time=0s", write: true, callers: 4})
	}
	return rows
}

func (c *overheadCmd) measure(ctx context.Context, fleet *procs.Fleet, row overheadRow) error {
	target := fleet.Plan.Targets[row.service]
	spec := fleet.Plan.Ticket.Services[row.service].Routes[0]
	// The neighbour of the agent has no target of the service, so it relays.
	edge := (target.Node + 1) % len(fleet.Nodes)
	front := fleet.Plan.Nodes[edge].Settings.Listeners.Callers
	path := spec.PathPrefix + "/overhead" + row.query
	paths := [2]*overheadPath{
		{url: "http://" + target.Address + path, host: spec.Host, latency: newLatencies()},
		{url: "http://" + front + path, host: spec.Host, latency: newLatencies()},
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: row.callers}}
	defer client.CloseIdleConnections()
	if row.write {
		token, err := ownerToken(ctx, client, front)
		if err != nil {
			return err
		}
		paths[1].keys = token
	}
	for block := range warmBlocks + c.Requests/overheadBlock {
		if block == warmBlocks {
			for _, p := range paths {
				*p = overheadPath{url: p.url, host: p.host, keys: p.keys, latency: newLatencies()}
			}
		}
		for _, p := range paths {
			if err := sendBlock(ctx, client, fleet, [2]int{edge, target.Node}, row, p, block); err != nil {
				return err
			}
		}
	}
	printOverhead(row, paths[0], paths[1])
	return nil
}

func ownerToken(ctx context.Context, client *http.Client, front string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+front+model.PathOwner, nil)
	if err != nil {
		return "", eris.Wrap(err, "build the request for an owner token")
	}
	response, err := client.Do(request)
	if err != nil {
		return "", eris.Wrap(err, "ask for an owner token")
	}
	defer func() { _ = response.Body.Close() }() // Only the header is needed.
	if token := response.Header.Get(model.HeaderOwner); token != "" {
		return token, nil
	}
	return "", eris.New("the node gave no owner token; check that it is ready")
}

// sendBlock sends one block from all callers and adds its latencies and the processor time of both nodes.
func sendBlock(ctx context.Context, client *http.Client, fleet *procs.Fleet, nodes [2]int, row overheadRow, p *overheadPath, block int) error {
	before, err := nodesSum(ctx, fleet, nodes)
	if err != nil {
		return err
	}
	histograms := make([]*hdrhistogram.Histogram, row.callers)
	callers := pool.New().WithErrors()
	for caller := range row.callers {
		histograms[caller] = newLatencies()
		callers.Go(func() error {
			for i := range overheadBlock / row.callers {
				begin := time.Now()
				if err := p.send(ctx, client, row, fmt.Sprintf("account-%d", caller), fmt.Sprintf("%d-%d-%d-%d", row.callers, block, caller, i)); err != nil {
					return err
				}
				_ = histograms[caller].RecordValue(int64(time.Since(begin))) // Longer requests have failed by their timeout.
			}
			return nil
		})
	}
	if err := callers.Wait(); err != nil {
		return err
	}
	after, err := nodesSum(ctx, fleet, nodes)
	if err != nil {
		return err
	}
	p.cpu += after.cpu - before.cpu
	p.mallocs += after.allocations - before.allocations
	whole := newLatencies()
	for _, h := range histograms {
		whole.Merge(h)
	}
	p.latency.Merge(whole)
	p.blocks = append(p.blocks, whole)
	p.count += overheadBlock / row.callers * row.callers
	return nil
}

func (p *overheadPath) send(ctx context.Context, client *http.Client, row overheadRow, account, unique string) error {
	method, body := http.MethodGet, io.Reader(http.NoBody)
	if row.write {
		method, body = http.MethodPost, strings.NewReader("overhead "+unique)
	}
	request, err := http.NewRequestWithContext(ctx, method, p.url, body)
	if err != nil {
		return eris.Wrap(err, "build the request")
	}
	request.Host = p.host
	request.Header.Set(model.HeaderAccount, account)
	if p.keys != "" {
		request.Header.Set(model.HeaderIdempotencyKey, p.keys+"."+unique)
	}
	response, err := client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "send to %s", p.url)
	}
	defer func() { _ = response.Body.Close() }() // The body is read in full.
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return eris.Wrapf(err, "read the answer of %s", p.url)
	}
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("%s answered %s with outcome %q", p.url, response.Status, response.Header.Get(model.HeaderOutcome))
	}
	return nil
}

// nodesSum adds processor time and allocations of edge and agent.
func nodesSum(ctx context.Context, fleet *procs.Fleet, nodes [2]int) (sum usage, err error) {
	for _, n := range nodes {
		u, err := nodeUsage(ctx, fleet, n)
		if err != nil {
			return usage{}, err
		}
		sum.cpu += u.cpu
		sum.allocations += u.allocations
	}
	return sum, nil
}

func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(time.Microsecond), int64(histogramTop), 3)
}

// quietQuarter returns the latencies of the quarter of all pairs of blocks in which the direct path had the lowest 99th
// percentile. The choice does not look at the relayed path, so it does not favour it.
func quietQuarter(direct, relayed *overheadPath) (quietDirect, quietRelayed *hdrhistogram.Histogram) {
	order := make([]int, len(direct.blocks))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(direct.blocks[a].ValueAtPercentile(99), direct.blocks[b].ValueAtPercentile(99))
	})
	quietDirect, quietRelayed = newLatencies(), newLatencies()
	for _, i := range order[:max(1, len(order)/4)] {
		quietDirect.Merge(direct.blocks[i])
		quietRelayed.Merge(relayed.blocks[i])
	}
	return quietDirect, quietRelayed
}

// printOverhead takes the control work of the nodes, which also runs while the other path has its turn, out of the
// processor time.
func printOverhead(row overheadRow, direct, relayed *overheadPath) {
	at := func(h *hdrhistogram.Histogram, percentile float64) time.Duration {
		return time.Duration(h.ValueAtPercentile(percentile)).Round(time.Microsecond)
	}
	all, through := direct.latency, relayed.latency
	quietAll, quietThrough := quietQuarter(direct, relayed)
	cpu := (relayed.cpu - direct.cpu) / time.Duration(relayed.count)
	fmt.Printf("| %s | %d | %s | %s | %s | %s | %s | %s | %s | %.0f | %.0f |\n", row.name, row.callers, at(all, 50), at(all, 99),
		at(through, 50)-at(all, 50), at(through, 99)-at(all, 99), at(quietAll, 99), at(quietThrough, 99)-at(quietAll, 99),
		cpu.Round(time.Microsecond), (float64(relayed.mallocs)-float64(direct.mallocs))/float64(relayed.count),
		float64(time.Second)/float64(max(cpu, 1)))
}
