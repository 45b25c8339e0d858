package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	overheadWorkers = 4
	// blockRequests is the number of requests that are sent on one path before switching to the other, so that noise
	// affects both.
	blockRequests = 250
)

// cost holds the measurements of one path.
type cost struct {
	latency  *hdrhistogram.Histogram
	requests int
	cpu      time.Duration
	mallocs  uint64
}

// BenchmarkOverhead compares requests through edge and agent with direct requests to the same target, in alternating
// blocks. CPU time and allocations of the path are the difference of both, because client and target share the process.
func BenchmarkOverhead(b *testing.B) {
	for _, size := range []int{200, 20 << 10} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) { measureOverhead(b, size) })
	}
}

func measureOverhead(b *testing.B, size int) {
	body := make([]byte, size)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) })
	f := newFleet(b, fleetConfig{targets: []http.Handler{handler}})
	direct := httptest.NewServer(handler)
	b.Cleanup(direct.Close)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	costs := [2]cost{{latency: newHistogram()}, {latency: newHistogram()}}
	urls := [2]string{direct.URL + "/reads/1", f.front.URL + "/reads/1"}
	for path := range urls {
		sendBlock(b, client, urls[path], &cost{latency: newHistogram()})
	}
	b.ResetTimer()
	for done := 0; done < b.N; done += overheadWorkers * blockRequests {
		for path := range urls {
			sendBlock(b, client, urls[path], &costs[path])
		}
	}
	b.StopTimer()
	report(b, &costs[0], &costs[1])
}

func report(b *testing.B, direct, relayed *cost) {
	cpu := relayed.perRequest() - direct.perRequest()
	b.ReportMetric(micros(direct.latency.ValueAtPercentile(50)), "direct-p50-us")
	b.ReportMetric(micros(direct.latency.ValueAtPercentile(99)), "direct-p99-us")
	b.ReportMetric(micros(relayed.latency.ValueAtPercentile(50)-direct.latency.ValueAtPercentile(50)), "added-p50-us")
	b.ReportMetric(micros(relayed.latency.ValueAtPercentile(99)-direct.latency.ValueAtPercentile(99)), "added-p99-us")
	b.ReportMetric(float64(relayed.latency.ValueAtPercentile(50))/float64(direct.latency.ValueAtPercentile(50)), "ratio-p50")
	b.ReportMetric(float64(relayed.mallocs)/float64(relayed.requests)-float64(direct.mallocs)/float64(direct.requests),
		"path-allocs/req")
	b.ReportMetric(micros(int64(cpu)), "path-cpu-us/req")
	b.ReportMetric(float64(time.Second)/float64(cpu), "path-req/s/core")
}

func (c *cost) perRequest() time.Duration {
	return c.cpu / time.Duration(c.requests)
}

// sendBlock sends a block of requests from each worker and adds their cost.
func sendBlock(b *testing.B, client *http.Client, url string, c *cost) {
	histograms := make([]*hdrhistogram.Histogram, overheadWorkers)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processTime()
	var group sync.WaitGroup
	for worker := range overheadWorkers {
		histograms[worker] = newHistogram()
		group.Go(func() {
			for range blockRequests {
				begin := time.Now()
				response, err := client.Get(url)
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				_ = histograms[worker].RecordValue(int64(time.Since(begin)))
			}
		})
	}
	group.Wait()
	c.cpu += processTime() - cpu
	runtime.ReadMemStats(&after)
	c.mallocs += after.Mallocs - before.Mallocs
	c.requests += overheadWorkers * blockRequests
	for _, h := range histograms {
		c.latency.Merge(h)
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(time.Microsecond), int64(10*time.Second), 3)
}

func processTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func micros(nanoseconds int64) float64 {
	return float64(nanoseconds) / 1000
}

// discard is a response writer that drops the response.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}

// BenchmarkRefusal measures the cost of a refused request in the edge handler, without the HTTP server.
func BenchmarkRefusal(b *testing.B) {
	f := newFleet(b, fleetConfig{})
	request := httptest.NewRequest(http.MethodGet, "/reads/1", nil)
	b.ReportAllocs()
	for b.Loop() {
		f.edge.ServeHTTP(&discard{header: make(http.Header)}, request)
	}
}
