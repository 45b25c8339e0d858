package hosted_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// leaveTime is when impatient callers leave, and crashTime when a poison request crashes the target that still runs it.
	leaveTime = 100 * time.Millisecond
	crashTime = 250 * time.Millisecond
)

// armLate makes the target crash crashTime after it has begun a request to a path that ends in `poison`, whether or not
// its connection is still open, and run one to a path that ends in `slow` for as long.
func (c *crashes) armLate(g *target) {
	g.set(func(_ http.ResponseWriter, r *http.Request) bool {
		if strings.HasSuffix(r.URL.Path, "slow") {
			time.Sleep(crashTime)
		}
		if !strings.HasSuffix(r.URL.Path, "poison") {
			return false
		}
		c.mu.Lock()
		c.arrivals = append(c.arrivals, time.Now())
		c.mu.Unlock()
		c.back.Go(func() {
			time.Sleep(crashTime)
			g.crash(&c.back)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
}

// leave sends a request whose caller leaves after leaveTime.
func (n *testNode) leave(id, method, path, body string) {
	ctx, cancel := context.WithTimeout(n.fleet.t.Context(), leaveTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.listeners.Callers+path, strings.NewReader(body))
	if err != nil {
		return
	}
	r.Host = "kassa.example"
	r.Header.Set("Auburnwinch-Request-Id", id)
	r.Header.Set("Auburnwinch-Deadline-Ms", "3000")
	transport := &http.Transport{DisableKeepAlives: true}
	if response, err := transport.RoundTrip(r); err == nil {
		_ = response.Body.Close()
	}
}

// Pattern: a request crashes every target that runs it, after its caller has left, and comes again and again. The same
// sound requests run beside it all the time; every other of their callers leaves too. Guards against crashes that are not
// counted because nobody waits, and against quarantining what stood beside them (BUDGET).
func TestPoisonOfDepartedCallersIsQuarantined(t *testing.T) {
	for name, c := range map[string]struct{ method, path string }{
		"reads":  {http.MethodGet, "/read/"},
		"orders": {http.MethodPost, "/order/"},
	} {
		t.Run(name, func(t *testing.T) {
			f, crashes := newCrashFleet(t, 6)
			for _, n := range f.nodes {
				crashes.armLate(n.target)
				n.target.keepAlive()
			}
			var (
				beside          sync.WaitGroup
				served, refused atomic.Int64
			)
			ended := make(chan struct{})
			for i, n := range f.nodes {
				beside.Go(func() {
					for j := 0; ; j++ {
						select {
						case <-ended:
							return
						case <-time.After(20 * time.Millisecond):
						}
						id := fmt.Sprintf("sound-%d-%d", i, j)
						if j%2 == 0 {
							n.leave(id, c.method, c.path+"slow", "sound")
							continue
						}
						switch a := n.send(id, c.method, "kassa", c.path+"slow", "sound"); {
						case a.status == http.StatusOK:
							served.Add(1)
						case strings.Contains(a.body, "requests like this one crashed"):
							refused.Add(1)
						}
					}
				})
			}
			for end, i := time.Now().Add(stableTime+5*time.Second), 0; time.Now().Before(end); i++ {
				f.nodes[i%len(f.nodes)].leave(fmt.Sprint("poison-", i), c.method, c.path+"poison", "the same")
				time.Sleep(200 * time.Millisecond)
			}
			close(ended)
			beside.Wait()
			t.Logf("%d crashes, %d of them late; %d sound requests served, %d refused because of crashes", crashes.count(),
				crashes.late(), served.Load(), refused.Load())
			require.GreaterOrEqual(t, crashes.count(), 3, "the request crashed too few targets to be quarantined")
			require.LessOrEqual(t, crashes.late(), lateRetries, "%d targets crashed in total", crashes.count())
			require.Zero(t, refused.Load(), "sound requests were refused")
			require.NotZero(t, served.Load())
			crashes.back.Wait()
			for i, n := range f.nodes {
				n.target.heartbeat("ready")
				n.await("kassa", "/read/x")
				sound := n.send(fmt.Sprint("after-", i), c.method, "kassa", c.path+"slow", "sound")
				require.Equal(t, http.StatusOK, sound.status, sound.body)
			}
		})
	}
}
