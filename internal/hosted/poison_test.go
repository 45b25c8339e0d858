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
	// stableTime is how long after the third crash the platform starts to count the requests that reach targets.
	stableTime = 3 * time.Second
	// lateRetries is how many of them the platform permits.
	lateRetries = 3
	// downTime is the time until a crashed target is running again.
	downTime = 300 * time.Millisecond
)

// crashes records the requests that crash targets.
type crashes struct {
	mu       sync.Mutex
	arrivals []time.Time
	back     sync.WaitGroup
}

// arm makes the target crash on each request to a path that ends in `poison`.
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

// late returns the number of requests that arrived more than stableTime after the third crash.
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

// crash stops the target like a crashing process; after downTime it starts again at another address.
func (g *target) crash(back *sync.WaitGroup) {
	g.mu.Lock()
	died := g.server
	g.mu.Unlock()
	_ = died.Listener.Close() // Fails if another request has already crashed the process.
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

// newCrashFleet returns nodes with targets of one service in two failure domains; all targets serve.
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
		}, 5*time.Second, 10*time.Millisecond, "a node prefers its local target once it knows it")
	}
	return f, c
}

// sendRepeatedly sends the same request with new ids to the nodes in turn until the duration has passed.
func (f *fleet) sendRepeatedly(method, path, body string, pause, most time.Duration) []answer {
	var answers []answer
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(pause) {
		f.ids++
		n := f.nodes[f.ids%len(f.nodes)]
		answers = append(answers, n.send(fmt.Sprintf("return-%d", f.ids), method, "kassa", path, body))
	}
	return answers
}

// Pattern: a request that crashes every target is sent again and again through all nodes. Guards against a fleet that
// forgets the crashes between the caller's attempts and loses one target after the other.
func TestRepeatedPoisonRequestIsQuarantined(t *testing.T) {
	for name, c := range map[string]struct{ method, path string }{
		"reads":  {http.MethodGet, "/read/poison"},
		"orders": {http.MethodPost, "/order/poison"},
	} {
		t.Run(name, func(t *testing.T) {
			f, crashes := newCrashFleet(t, 6)
			answers := f.sendRepeatedly(c.method, c.path, "the same", 100*time.Millisecond, stableTime+4*time.Second)
			require.GreaterOrEqual(t, crashes.count(), 3, "the request crashed too few targets to be quarantined")
			require.LessOrEqual(t, crashes.late(), lateRetries, "%d targets crashed in total", crashes.count())
			for _, a := range answers {
				if a.status != http.StatusServiceUnavailable {
					continue
				}
				for _, n := range f.nodes {
					require.Zero(t, n.target.ran(a.id), "a request that was reported as not run has run")
				}
			}
			crashes.back.Wait()
			for _, n := range f.nodes {
				n.target.heartbeat("ready") // The node removes a target without heartbeats after 6 s.
				n.await("kassa", "/read/x")
			}
		})
	}
}

// Pattern: all targets of a service crash simultaneously, three times, each time with the same idempotent request in
// flight at all of them and the same non-idempotent request in flight twice. Guards against quarantining harmless
// requests that happened to be in flight.
func TestSimultaneousCrashesQuarantineNothing(t *testing.T) {
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
		begun := f.totalRuns()
		var calls sync.WaitGroup
		for i, n := range f.nodes {
			calls.Go(func() { n.send(fmt.Sprintf("read-%d-%d", round, i), http.MethodGet, "kassa", "/read/popular", "") })
		}
		for i, n := range f.nodes[:2] {
			calls.Go(func() { n.send(fmt.Sprintf("order-%d-%d", round, i), http.MethodPost, "kassa", "/order/1", "the same") })
		}
		require.Eventually(t, func() bool { return f.totalRuns()-begun == len(f.nodes)+2 }, 2*time.Second, time.Millisecond,
			"round %d: %d requests running", round, f.totalRuns()-begun)
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

// totalRuns returns the number of requests that have reached targets so far.
func (f *fleet) totalRuns() int {
	total := 0
	for _, n := range f.nodes {
		total += n.target.total()
	}
	return total
}

// Guards against losing the quarantine when all nodes are restarted at once, and when the nodes that saw the crashes
// are restarted later than the others.
func TestRestartsKeepTheQuarantine(t *testing.T) {
	f, crashes := newCrashFleet(t, 4)
	f.sendRepeatedly(http.MethodPost, "/order/poison", "the same", 50*time.Millisecond, stableTime)
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
		for _, a := range f.sendRepeatedly(http.MethodPost, "/order/poison", "the same", 20*time.Millisecond, 500*time.Millisecond) {
			require.Equal(t, http.StatusServiceUnavailable, a.status, when)
			require.NotEmpty(t, a.header.Get("Retry-After"))
		}
		require.Equal(t, before, crashes.count(), when)
	}
	check("after all nodes were restarted at once")
	for i, n := range f.nodes {
		n.restart(string(rune('a' + i%2)))
	}
	check("after the nodes were restarted one by one")
}
