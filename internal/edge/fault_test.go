package edge_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// counter is a target that counts the requests that it ran.
type counter struct {
	runs atomic.Int64
	next http.HandlerFunc
}

func (c *counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.runs.Add(1)
	if c.next != nil {
		c.next(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "ran %s %d", r.URL.Path, len(body))
}

// hang hijacks the connection and never responds.
func hang(t *testing.T, w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// closeConn closes the connection without a response.
func closeConn(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// Guards against requests that hang on a connection that stopped responding while new connections work, and against
// reuse of other idle connections to the same agent.
func TestSilentConnectionIsReplaced(t *testing.T) {
	var silent atomic.Bool
	var fresh atomic.Int64
	target := &counter{}
	var known sync.Map
	f := newFleet(t, fleetConfig{
		targets: []http.Handler{target},
		relay: func(_ int, next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, old := known.LoadOrStore(r.RemoteAddr, true); old && silent.Load() {
					hang(t, w)
					return
				}
				if silent.Load() {
					fresh.Add(1)
				}
				next.ServeHTTP(w, r)
			})
		},
	})
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() { f.send(http.MethodGet, "/reads/1", nil) })
	}
	group.Wait()
	silent.Store(true)
	begin := time.Now()
	got := f.send(http.MethodGet, "/reads/1", nil)
	require.Equal(t, 200, got.status, "%s", got.body)
	require.Less(t, time.Since(begin), 2*time.Second)
	require.Equal(t, int64(1), fresh.Load())
	require.Equal(t, 1, f.edge.State().Pools[0].Idle, "the other idle connections to the agent must be closed")
}

// Guards against Go's transport, or any other layer, silently retrying a request when a reused connection breaks.
func TestBrokenConnectionIsNotReplayed(t *testing.T) {
	for _, place := range []string{"relay", "target"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(place+" "+method, func(t *testing.T) {
				var broken atomic.Bool
				var seen atomic.Int64
				breaker := func(next http.Handler) http.Handler {
					return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						seen.Add(1)
						if broken.Load() {
							closeConn(w)
							return
						}
						next.ServeHTTP(w, r)
					})
				}
				c := fleetConfig{targets: []http.Handler{&counter{}}}
				if place == "relay" {
					c.relay = func(_ int, next http.Handler) http.Handler { return breaker(next) }
				} else {
					c.targets[0] = breaker(c.targets[0])
				}
				f := newFleet(t, c)
				send := func() result { return f.send(method, "/orders/1", nil, model.HeaderIdempotencyKey, "key-1") }
				require.Equal(t, 200, send().status)
				broken.Store(true)
				got := send()
				require.Equal(t, 502, got.status, "%s", got.body)
				require.Equal(t, model.OutcomeUnknown, got.outcome())
				require.Equal(t, int64(2), seen.Load(), "each request must be sent exactly once")
			})
		}
	}
}

// Guards against responses to another exchange that reach the caller.
func TestMismatchedResponseIsRefused(t *testing.T) {
	f := newFleet(t, fleetConfig{
		targets: []http.Handler{&counter{}},
		relay: func(_ int, next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				next.ServeHTTP(&headerChanger{ResponseWriter: w, change: func(h http.Header) {
					h[model.HeaderExchange] = []string{"00"}
				}}, r)
			})
		},
	})
	got := f.send(http.MethodGet, "/orders/1", nil)
	require.Equal(t, 502, got.status)
	require.Equal(t, model.OutcomeUnknown, got.outcome())
	require.NotContains(t, string(got.body), "ran")
}

// headerChanger changes the header and the body of a response.
type headerChanger struct {
	http.ResponseWriter
	change func(http.Header)
	body   func([]byte) []byte
}

func (c *headerChanger) WriteHeader(status int) {
	if c.change != nil {
		c.change(c.Header())
	}
	c.ResponseWriter.WriteHeader(status)
}

func (c *headerChanger) Write(p []byte) (int, error) {
	if c.body == nil {
		return c.ResponseWriter.Write(p)
	}
	_, err := c.ResponseWriter.Write(c.body(p))
	return len(p), err
}

func (c *headerChanger) Unwrap() http.ResponseWriter {
	return c.ResponseWriter
}

// Guards against a changed or truncated body that looks complete to the caller, with and without a stated length and
// over HTTP/1.0, where the end of the connection ends the body.
func TestDamagedBodyIsNeverComplete(t *testing.T) {
	damages := map[string]func([]byte) []byte{
		"changed": func(p []byte) []byte { p = bytes.Clone(p); p[len(p)-1] ^= 1; return p },
		"cut":     func(p []byte) []byte { return p[:len(p)-1] },
	}
	for name, damage := range damages {
		for _, size := range []int{100, 200 << 10} {
			for _, chunked := range []bool{false, true} {
				for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
					t.Run(fmt.Sprintf("%s %d %v %s", name, size, chunked, protocol), func(t *testing.T) {
						f := newFleet(t, fleetConfig{
							targets: []http.Handler{sized(size, chunked)},
							relay: func(_ int, next http.Handler) http.Handler {
								return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
									next.ServeHTTP(&headerChanger{ResponseWriter: w, body: damage}, r)
								})
							},
						})
						requireIncomplete(t, f, protocol)
					})
				}
			}
		}
	}
}

func sized(size int, chunked bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !chunked {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		for left := size; left > 0; left -= 32 << 10 {
			_, _ = w.Write(bytes.Repeat([]byte("x"), min(left, 32<<10)))
			_ = http.NewResponseController(w).Flush()
		}
	})
}

// requireIncomplete sends a request over a raw connection and requires an error before the end of the body, or a
// refusal.
func requireIncomplete(t *testing.T, f *fleet, protocol string) {
	conn, err := net.Dial("tcp", f.front.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /orders/1 %s\r\nHost: shop\r\n\r\n", protocol)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	body, err := io.ReadAll(response.Body)
	if err == nil {
		require.Equal(t, 502, response.StatusCode, "%d bytes were accepted as complete", len(body))
		require.Equal(t, string(model.OutcomeUnknown), response.Header.Get(model.HeaderOutcome))
	}
}

// Guards against the outcome not-run while an earlier attempt may have run.
func TestRefusalAfterAttemptInDoubtIsUnknown(t *testing.T) {
	breaks := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { closeConn(w) })
	f := newFleet(t, fleetConfig{targets: []http.Handler{breaks}})
	got := f.send(http.MethodGet, "/reads/1", nil)
	require.Equal(t, model.OutcomeUnknown, got.outcome())
	require.Equal(t, 502, got.status)
}

// Guards against idempotent requests that fail although another target works, and against retries of other requests.
func TestRetriesRequireIdempotency(t *testing.T) {
	var cuts atomic.Int64
	breaks := func(w http.ResponseWriter, _ *http.Request) { cuts.Add(1); closeConn(w) }
	working := &counter{}
	f := newFleet(t, fleetConfig{
		targets: []http.Handler{&counter{next: breaks}, working},
		edge:    edge.Config{Picker: &inOrder{}},
	})
	got := f.send(http.MethodPut, "/reads/1", []byte("body"))
	require.Equal(t, "ran /reads/1 4", string(got.body))
	require.Equal(t, int64(1), cuts.Load())
	got = f.send(http.MethodPost, "/orders/1", []byte("body"))
	require.Equal(t, model.OutcomeUnknown, got.outcome())
	require.Equal(t, int64(2), cuts.Load())
	require.Equal(t, int64(1), working.runs.Load())
}

// inOrder is a picker that tries the candidates in order.
type inOrder struct{}

func (inOrder) Pick(r edge.PickRequest) (edge.Choice, error) {
	if len(r.Tried) >= len(r.Service.Candidates) {
		return edge.Choice{}, io.EOF
	}
	return edge.Choice{Candidate: r.Service.Candidates[len(r.Tried)]}, nil
}

func (inOrder) Done(edge.Choice, edge.Load) {}

// Guards against refusals without outcome, remedy or Retry-After, and against runs of refused requests.
func TestFullTargetRefuses(t *testing.T) {
	release := make(chan struct{})
	busy := &counter{next: func(http.ResponseWriter, *http.Request) { <-release }}
	f := newFleet(t, fleetConfig{targets: []http.Handler{busy}, slots: 1})
	done := make(chan result)
	go func() { done <- f.send(http.MethodPost, "/orders/1", nil) }()
	require.Eventually(t, func() bool { return busy.runs.Load() == 1 }, time.Second, time.Millisecond)
	got := f.send(http.MethodPost, "/orders/2", nil)
	require.Equal(t, 503, got.status)
	require.Equal(t, model.OutcomeNotRun, got.outcome())
	require.Contains(t, []string{"1", "2", "3"}, got.header.Get("Retry-After"))
	require.Contains(t, string(got.body), `"remedy":"send the request again`)
	close(release)
	require.Equal(t, 200, (<-done).status)
	require.Equal(t, int64(1), busy.runs.Load())
}

// Guards against callers that are refused together and are told to retry at the same time.
func TestRetryAfterIsSpread(t *testing.T) {
	release := make(chan struct{})
	busy := &counter{next: func(http.ResponseWriter, *http.Request) { <-release }}
	f := newFleet(t, fleetConfig{targets: []http.Handler{busy}, slots: 1})
	done := make(chan result)
	go func() { done <- f.send(http.MethodPost, "/orders/1", nil) }()
	require.Eventually(t, func() bool { return busy.runs.Load() == 1 }, time.Second, time.Millisecond)
	const sends = 300
	seen := make(map[string]int)
	for i := range sends {
		seen[f.send(http.MethodPost, fmt.Sprintf("/orders/%d", i+2), nil).header.Get("Retry-After")]++
	}
	close(release)
	<-done
	require.Len(t, seen, 3)
	for value, n := range seen {
		require.Greater(t, n, sends/6, "Retry-After %s", value)
	}
}

// Guards against a drain that refuses too late, aborts requests in flight, or keeps callers' connections open.
func TestDrainKeepsRequestsInFlight(t *testing.T) {
	release := make(chan struct{})
	busy := &counter{next: func(w http.ResponseWriter, _ *http.Request) { <-release; _, _ = w.Write([]byte("whole")) }}
	f := newFleet(t, fleetConfig{targets: []http.Handler{busy}})
	done := make(chan result)
	go func() { done <- f.send(http.MethodPost, "/orders/1", nil) }()
	require.Eventually(t, func() bool { return busy.runs.Load() == 1 }, time.Second, time.Millisecond)
	require.NoError(t, f.agents[0].Drain("shop", "t0"))
	require.Equal(t, model.TargetDraining, f.agents[0].Targets()[0].State)
	got := f.send(http.MethodPost, "/orders/2", nil)
	require.Equal(t, model.OutcomeNotRun, got.outcome())
	f.edge.SetLeaving(true)
	f.agents[0].SetLeaving(true)
	request, err := http.NewRequest(http.MethodGet, f.front.URL+"/orders/3", nil)
	require.NoError(t, err)
	response, err := f.front.Client().Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.True(t, response.Close, "the response must say Connection: close")
	require.Equal(t, 1, f.agents[0].InFlight())
	close(release)
	require.Equal(t, "whole", string((<-done).body))
	require.Equal(t, int64(1), busy.runs.Load())
}

// Guards against work that continues after its deadline or after the caller has disconnected.
func TestDeadlineAndCancellationReachTarget(t *testing.T) {
	canceled := make(chan struct{}, 2)
	slow := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		canceled <- struct{}{}
	})
	f := newFleet(t, fleetConfig{targets: []http.Handler{slow}})
	begin := time.Now()
	got := f.send(http.MethodPost, "/orders/1", nil, model.HeaderTimeout, "200ms")
	require.Equal(t, 504, got.status)
	require.Equal(t, model.OutcomeUnknown, got.outcome())
	require.Less(t, time.Since(begin), 2*time.Second)
	waitFor(t, canceled)
	conn, err := net.Dial("tcp", f.front.Listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(conn, "GET /reads/1 HTTP/1.1\r\nHost: shop\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, conn.Close())
	waitFor(t, canceled)
}

func waitFor(t *testing.T, c <-chan struct{}) {
	select {
	case <-c:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the target's request was not canceled")
	}
}

// Guards against bad requests that crash the edge, hang, run, or get a response without outcome and remedy.
func TestBadInput(t *testing.T) {
	target := &counter{}
	f := newFleet(t, fleetConfig{targets: []http.Handler{target}})
	cases := map[string]struct {
		input  string
		status int
	}{
		"malformed line":    {"GET\r\n\r\n", 400},
		"malformed header":  {"GET /reads HTTP/1.1\r\nHost: a\r\nbad header\r\n\r\n", 400},
		"no host":           {"GET /reads HTTP/1.1\r\n\r\n", 400},
		"two lengths":       {"POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"large header":      {"GET /reads HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 80<<10) + "\r\n\r\n", 431},
		"unknown encoding":  {"POST /orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: zip\r\n\r\n", 501},
		"bad chunk":         {"POST /orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		"no route":          {"GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n", 404},
		"segment of prefix": {"GET /readsmore HTTP/1.1\r\nHost: a\r\n\r\n", 404},
		"dot segments":      {"GET /reads/../orders HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"escaped dots":      {"GET /reads/%2e%2e/orders HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"bad timeout":       {"GET /reads HTTP/1.1\r\nHost: a\r\nAuburnwinch-Timeout: soon\r\n\r\n", 400},
		"connect":           {"CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n", 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { requireRefused(t, f, c.input, c.status, true) })
	}
	t.Run("short body", func(t *testing.T) {
		requireRefused(t, f, "POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc", 400, true)
	})
	require.Zero(t, target.runs.Load())
	t.Run("long body", func(t *testing.T) {
		got := requireRefused(t, f, "POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nabc def\r\n\r\n", 200, false)
		require.Contains(t, got, "400 Bad Request", "the surplus bytes must be refused as a malformed request")
	})
	require.Equal(t, int64(1), target.runs.Load())
}

func requireRefused(t *testing.T, f *fleet, input string, status int, refused bool) string {
	conn, err := net.Dial("tcp", f.front.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, input)
	require.NoError(t, err)
	if refused {
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	all, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(string(all), fmt.Sprintf("HTTP/1.1 %d ", status)), "%s", all)
	if refused {
		require.Contains(t, string(all), model.HeaderOutcome+": not-run")
		require.Contains(t, string(all), `"remedy":"`)
	}
	return string(all)
}

// Guards against callers that stop sending or reading and thereby occupy a request and a slot forever.
func TestStalledCallersTimeOut(t *testing.T) {
	target := &counter{next: func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.Copy(w, &zeros{left: 256 << 20})
	}}
	f := newFleet(t, fleetConfig{targets: []http.Handler{target}})
	for name, input := range map[string]string{
		"sending": "POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\nAuburnwinch-Timeout: 100ms\r\n\r\nabc",
		"reading": "GET /orders HTTP/1.1\r\nHost: a\r\nAuburnwinch-Timeout: 200ms\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", f.front.Listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, input)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return f.edge.InFlight() == 1 }, time.Second, time.Millisecond)
			require.Eventually(t, func() bool { return f.edge.InFlight() == 0 && f.agents[0].InFlight() == 0 },
				5*time.Second, 10*time.Millisecond)
		})
	}
}

// Guards against a stated length on responses without a body, and against bodies in responses to HEAD.
func TestResponsesWithoutBody(t *testing.T) {
	target := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Etag", `"v"`)
		if r.URL.Path == "/reads/head" {
			w.Header().Set("Content-Length", "5")
			return
		}
		status, _ := strconv.Atoi(r.URL.Query().Get("status"))
		w.WriteHeader(status)
	})
	f := newFleet(t, fleetConfig{targets: []http.Handler{target}})
	for range 2 {
		got := f.send(http.MethodHead, "/reads/head", nil)
		require.NoError(t, got.err)
		require.Equal(t, "5", got.header.Get("Content-Length"))
		for _, status := range []int{204, 304} {
			got = f.send(http.MethodGet, fmt.Sprintf("/reads/1?status=%d", status), nil)
			require.NoError(t, got.err)
			require.Equal(t, status, got.status)
			require.Empty(t, got.header.Get("Content-Length"))
			require.Equal(t, `"v"`, got.header.Get("Etag"))
		}
	}
}

// Guards against retries that multiply the load while all targets refuse.
func TestRetriesStayWithinBudget(t *testing.T) {
	f := newFleet(t, fleetConfig{targets: []http.Handler{&counter{}, &counter{}, &counter{}}})
	for i := range f.agents {
		f.agents[i].SetLeaving(true)
	}
	const requests = 500
	for range requests {
		got := f.send(http.MethodGet, "/reads/1", nil)
		require.Equal(t, model.OutcomeNotRun, got.outcome())
	}
	require.Equal(t, uint64(requests), f.edge.Counters().Requests)
	require.LessOrEqual(t, f.edge.Counters().Retries, uint64(requests/10))
	require.Positive(t, f.edge.Counters().Retries)
}
