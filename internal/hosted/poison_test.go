package hosted_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// stableTime is the time after the third crash from which on the platform counts the requests that reach targets.
	stableTime = 3 * time.Second
	// lateRetries is how many of them the platform permits.
	lateRetries = 3
	// downTime is the time after which a crashed target is back.
	downTime = 300 * time.Millisecond
)

// crashes records the requests that arrive at targets and crash them.
type crashes struct {
	mu       sync.Mutex
	arrivals []time.Time
	back     sync.WaitGroup
}

// arm makes the target crash by each request to a path that ends in `poison`.
func (c *crashes) arm(g *target) {
	g.set(func(_ http.ResponseWriter, r *http.Request) bool {
		if !strings.HasSuffix(r.URL.Path, "poison") {
			return false
		}
		c.mu.Lock()
		c.arrivals = append(c.arrivals, time.Now())
		c.mu.Unlock()
		g.crash(&c.back)
		panic(http.ErrAbortHandler)
	})
}

func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.arrivals)
}

// late returns the number of requests that arrived later than the platform permits without counting.
func (c *crashes) late() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	for _, at := range c.arrivals {
		if len(c.arrivals) >= 3 && at.After(c.arrivals[2].Add(stableTime)) {
			late++
		}
	}
	return late
}

// crash ends the target like a process that dies; after downTime it starts again at another address.
func (g *target) crash(back *sync.WaitGroup) {
	g.mu.Lock()
	died := g.server
	g.mu.Unlock()
	_ = died.Listener.Close() // A second request may crash the same process.
	back.Go(died.CloseClientConnections)
	back.Go(func() {
		time.Sleep(downTime)
		g.mu.Lock()
		restarted := g.server == died
		if restarted {
			g.server, g.born, g.sequence = httptest.NewServer(g), time.Now().UnixMilli(), 0
		}
		g.mu.Unlock()
		if restarted {
			g.heartbeat("ready")
		}
	})
}

// newCrashFleet returns nodes with targets of one service in two failure domains, of which all serve.
func newCrashFleet(t *testing.T, size int) (*fleet, *crashes) {
	t.Helper()
	f, c := newFleet(t), &crashes{}
	f.configure(1, "kassa")
	for i := range size {
		f.add("kassa", string(rune('a'+i%2)))
	}
	t.Cleanup(c.back.Wait)
	for _, n := range f.nodes {
		c.arm(n.target)
		require.Eventually(t, func() bool {
			n.call(http.MethodGet, "kassa", "/read/x")
			return n.target.total() > 0
		}, 5*time.Second, 10*time.Millisecond, "a node prefers the target beside it once it knows it")
	}
	return f, c
}

// returnEverywhere sends one content under new ids to one node after the other until the time is over.
func (f *fleet) returnEverywhere(method, path, body string, pause, most time.Duration) []answer {
	var answers []answer
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(pause) {
		f.ids++
		n := f.nodes[f.ids%len(f.nodes)]
		answers = append(answers, n.send(fmt.Sprintf("return-%d", f.ids), method, "kassa", path, body))
	}
	return answers
}

// Pattern: a request that crashes each target which runs it comes again and again, at any node. Guards against a fleet that
// forgets the crashes from one attempt of the caller to the next and loses one target after the other.
func TestReturningPoisonIsHeldBack(t *testing.T) {
	for name, c := range map[string]struct{ method, path string }{
		"reads":  {http.MethodGet, "/read/poison"},
		"orders": {http.MethodPost, "/order/poison"},
	} {
		t.Run(name, func(t *testing.T) {
			f, crashes := newCrashFleet(t, 6)
			answers := f.returnEverywhere(c.method, c.path, "the same", 100*time.Millisecond, stableTime+4*time.Second)
			require.GreaterOrEqual(t, crashes.count(), 3, "the request did not crash enough targets for the rule")
			require.LessOrEqual(t, crashes.late(), lateRetries, "%d targets crashed in all", crashes.count())
			for _, a := range answers {
				if a.status != http.StatusServiceUnavailable {
					continue
				}
				for _, n := range f.nodes {
					require.Zero(t, n.target.ran(a.id), "a request that was refused as not run has run")
				}
			}
			crashes.back.Wait()
			for _, n := range f.nodes {
				n.target.heartbeat("ready") // The node drops a target that has said nothing for 6 s.
				n.await("kassa", "/read/x")
			}
		})
	}
}

// Pattern: all targets of a service die at the same moment, three times, each time with one read in flight at all of them
// and one order in flight twice. Guards against sound requests that are held back because they were there.
func TestDeathsTogetherHoldBackNothing(t *testing.T) {
	f, crashes := newCrashFleet(t, 6)
	for round := range 3 {
		held := make(chan struct{})
		release := sync.OnceFunc(func() { close(held) })
		t.Cleanup(release)
		for _, n := range f.nodes {
			n.target.set(func(http.ResponseWriter, *http.Request) bool {
				<-held
				panic(http.ErrAbortHandler)
			})
		}
		begun := f.running()
		var calls sync.WaitGroup
		for i, n := range f.nodes {
			calls.Go(func() { n.send(fmt.Sprintf("read-%d-%d", round, i), http.MethodGet, "kassa", "/read/popular", "") })
		}
		for i, n := range f.nodes[:2] {
			calls.Go(func() { n.send(fmt.Sprintf("order-%d-%d", round, i), http.MethodPost, "kassa", "/order/1", "the same") })
		}
		require.Eventually(t, func() bool { return f.running()-begun == len(f.nodes)+2 }, 2*time.Second, time.Millisecond,
			"round %d, %d requests run", round, f.running()-begun)
		for _, n := range f.nodes {
			n.target.crash(&crashes.back)
		}
		release()
		calls.Wait()
		crashes.back.Wait()
		for _, n := range f.nodes {
			n.target.set(nil)
		}
		for i, n := range f.nodes {
			n.await("kassa", "/read/x")
			read := n.send(fmt.Sprintf("again-%d-%d", round, i), http.MethodGet, "kassa", "/read/popular", "")
			require.Equal(t, http.StatusOK, read.status, "round %d: %s", round, read.body)
			order := n.send(fmt.Sprintf("anew-%d-%d", round, i), http.MethodPost, "kassa", "/order/1", "the same")
			require.Equal(t, http.StatusOK, order.status, "round %d: %s", round, order.body)
		}
	}
}

// running returns the number of requests that have reached targets so far.
func (f *fleet) running() int {
	total := 0
	for _, n := range f.nodes {
		total += n.target.total()
	}
	return total
}

// Guards against a request that crashes targets again after all nodes were restarted at once, and after the nodes that saw
// the crashes were restarted later than the others.
func TestRestartsKeepTheQuarantine(t *testing.T) {
	f, crashes := newCrashFleet(t, 4)
	f.returnEverywhere(http.MethodPost, "/order/poison", "the same", 50*time.Millisecond, stableTime)
	crashes.back.Wait()
	require.GreaterOrEqual(t, crashes.count(), 3)
	var stops sync.WaitGroup
	for _, n := range f.nodes {
		stops.Go(func() { n.stop(); <-n.done })
	}
	stops.Wait()
	for i, n := range f.nodes {
		require.NoError(t, n.start(string(rune('a'+i%2))))
	}
	before := crashes.count()
	check := func(when string) {
		t.Helper()
		for _, n := range f.nodes {
			n.target.heartbeat("ready")
			n.await("kassa", "/read/x")
		}
		for _, a := range f.returnEverywhere(http.MethodPost, "/order/poison", "the same", 20*time.Millisecond, 500*time.Millisecond) {
			require.Equal(t, http.StatusServiceUnavailable, a.status, when)
			require.NotEmpty(t, a.header.Get("Retry-After"))
		}
		require.Equal(t, before, crashes.count(), when)
	}
	check("after all nodes were restarted at once")
	for i, n := range f.nodes {
		n.restart(string(rune('a' + i%2)))
	}
	check("after one node was restarted after the other")
}
