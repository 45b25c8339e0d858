package edge_test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/retry"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	chaosTargets  = 4
	chaosWorkers  = 12
	chaosRequests = 120
	headerID      = "X-Request"
)

// runCounter counts how often each request ran at any target.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *runCounter) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *runCounter) of(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// dice chooses faults at random; it is shared by all handlers.
type dice struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (d *dice) roll(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}

// contentOf returns the body of a request, whose length and bytes depend on the id.
func contentOf(id string) []byte {
	n, _ := strconv.Atoi(id)
	return bytes.Repeat([]byte(id+","), 1+(n*7919)%30000)
}

// chaoticTarget responds with the content of the request and sometimes fails before, during or after the work.
func chaoticTarget(d *dice, runs *runCounter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerID)
		if body, err := io.ReadAll(r.Body); err != nil || r.ContentLength > 0 && !bytes.Equal(body, contentOf(id)) {
			return
		}
		runs.add(id)
		content := contentOf(id)
		w.Header().Set(headerID, id)
		w.Header().Set("Etag", `"`+id+`"`)
		if d.roll(2) == 0 {
			w.Header().Set("Content-Length", strconv.Itoa(len(content)))
		}
		switch d.roll(20) {
		case 0:
			closeConn(w)
		case 1, 2:
			_, _ = w.Write(content[:len(content)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		default:
			_, _ = w.Write(content)
		}
	})
}

// chaoticRelay cuts, hangs, delays or corrupts exchanges between edge and agent.
func chaoticRelay(t *testing.T, d *dice) func(int, http.Handler) http.Handler {
	return func(_ int, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch d.roll(40) {
			case 0:
				closeConn(w)
			case 1:
				hang(t, w)
			case 2:
				time.Sleep(30 * time.Millisecond)
				next.ServeHTTP(w, r)
			case 3:
				next.ServeHTTP(&headerChanger{ResponseWriter: w, body: func(p []byte) []byte {
					p = bytes.Clone(p)
					p[len(p)/2] ^= 1
					return p
				}}, r)
			case 4:
				next.ServeHTTP(&headerChanger{ResponseWriter: w, change: func(h http.Header) { h.Del(model.HeaderExchange) }}, r)
			default:
				next.ServeHTTP(w, r)
			}
		})
	}
}

// Guards against wrong, truncated or mismatched responses, runs after not-run, and second runs of non-idempotent
// requests, under random faults of targets and connections.
func TestGuaranteesHoldUnderRandomFaults(t *testing.T) {
	seed := uint64(1)
	if text := os.Getenv("SEED"); text != "" {
		seed, _ = strconv.ParseUint(text, 10, 64)
	}
	t.Logf("seed %d; SEED sets another one", seed)
	d := &dice{random: rand.New(rand.NewPCG(seed, seed))}
	runs := &runCounter{runs: make(map[string]int)}
	targets := make([]http.Handler, chaosTargets)
	for i := range targets {
		targets[i] = chaoticTarget(d, runs)
	}
	f := newFleet(t, fleetConfig{
		targets: targets, relay: chaoticRelay(t, d), slots: 1,
		edge: edge.Config{
			// The timeouts are longer than the pauses of a busy machine, and the budget covers all retries, so that the
			// mix of outcomes does not depend on the load.
			Retry: retry.Config{Burst: 10_000, Reserve: 10_000}, ReusedHeaderTimeout: 400 * time.Millisecond,
			HeaderTimeout: 800 * time.Millisecond,
		},
	})
	var group sync.WaitGroup
	for worker := range chaosWorkers {
		group.Go(func() {
			for i := range chaosRequests {
				checkChaotic(t, f, d, runs, strconv.Itoa(worker*chaosRequests+i))
			}
		})
	}
	group.Wait()
	c := f.edge.Counters()
	t.Logf("%+v", c)
	require.Greater(t, c.Done, uint64(chaosWorkers*chaosRequests/4))
	require.Positive(t, c.Retries)
	require.Positive(t, c.Resumptions)
	require.Positive(t, c.Unknown)
	require.Positive(t, c.NotRun)
}

func checkChaotic(t *testing.T, f *fleet, d *dice, runs *runCounter, id string) {
	path, method := "/reads/1", http.MethodGet
	var body []byte
	switch d.roll(4) {
	case 0:
		path, method, body = "/orders/1", http.MethodPost, contentOf(id)
	case 1, 2:
		// Half of the requests are downloads, so that every run resumes some.
		path = "/artwork/1"
	}
	got := f.send(method, path, body, headerID, id)
	about := fmt.Sprintf("request %s to %s: status %d, outcome %s, error %v", id, path, got.status, got.outcome(), got.err)
	ran := runs.of(id)
	if method == http.MethodPost && ran > 1 {
		t.Errorf("%s: ran %d times", about, ran)
	}
	switch {
	case got.err != nil:
	case got.outcome() == model.OutcomeNotRun && ran > 0:
		t.Errorf("%s: ran %d times", about, ran)
	case got.outcome() == model.OutcomeDone && (got.header.Get(headerID) != id || !bytes.Equal(got.body, contentOf(id))):
		t.Errorf("%s: wrong response of %d bytes", about, len(got.body))
	case got.outcome() == "":
		t.Errorf("%s: no outcome", about)
	}
}
