package client

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const token = "aw1.n1.1.1"

// fakeEdge answers the sends of a request in the order of its script and records their idempotency keys.
type fakeEdge struct {
	mu     sync.Mutex
	script []http.HandlerFunc
	keys   []string
}

func (e *fakeEdge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(model.HeaderOwner, token)
	if r.URL.Path == model.PathOwner {
		return
	}
	e.mu.Lock()
	step := e.script[min(len(e.keys), len(e.script)-1)]
	e.keys = append(e.keys, r.Header.Get(model.HeaderIdempotencyKey))
	e.mu.Unlock()
	step(w, r)
}

func (e *fakeEdge) sentKeys() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.keys
}

func answer(o model.Outcome, status int, retryAfter string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(model.HeaderOutcome, string(o))
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"reason":"because"}`))
	}
}

// abortResponse closes the connection before the response or in the middle of its body.
func abortResponse(partial bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if partial {
			w.Header().Set(model.HeaderOutcome, string(model.OutcomeDone))
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("part"))
		}
		panic(http.ErrAbortHandler)
	}
}

func do(t *testing.T, script ...http.HandlerFunc) (*fakeEdge, *Response, error) {
	e := &fakeEdge{script: script}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	c, err := New(Config{Edges: []string{server.URL}, HTTP: server.Client(), MaxSends: 3})
	require.NoError(t, err)
	r, err := c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/orders", Body: []byte("order")})
	for _, key := range e.sentKeys() {
		require.Equal(t, e.sentKeys()[0], key, "a resend uses a different key")
		require.True(t, strings.HasPrefix(key, token+"."))
	}
	return e, r, err
}

// Guards against a truncated response that is taken for a complete one, and against resends with a different key.
func TestResendsUntilDone(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"no answer": abortResponse(false), "part of an answer": abortResponse(true), "no outcome": func(http.ResponseWriter, *http.Request) {},
		"running": answer(model.OutcomeUnknown, http.StatusConflict, "0"), "refused": answer(model.OutcomeNotRun, 503, "0"),
	} {
		t.Run(name, func(t *testing.T) {
			_, r, err := do(t, first, answer(model.OutcomeDone, http.StatusCreated, ""))
			require.NoError(t, err)
			require.Equal(t, http.StatusCreated, r.Status)
			require.Equal(t, 2, r.Sends)
		})
	}
}

// Guards against reporting not-run for a request of which an earlier send may still run.
func TestOutcomeOfFailure(t *testing.T) {
	final := answer(model.OutcomeNotRun, http.StatusUnprocessableEntity, "")
	for name, c := range map[string]struct {
		script  []http.HandlerFunc
		outcome model.Outcome
		sends   int
	}{
		"refused":                  {[]http.HandlerFunc{final}, model.OutcomeNotRun, 1},
		"refused after running":    {[]http.HandlerFunc{answer(model.OutcomeUnknown, 409, "0"), final}, model.OutcomeNotRun, 2},
		"refused after no answer":  {[]http.HandlerFunc{abortResponse(false), final}, model.OutcomeUnknown, 2},
		"unknown for good":         {[]http.HandlerFunc{answer(model.OutcomeUnknown, 502, "")}, model.OutcomeUnknown, 1},
		"refused again and again":  {[]http.HandlerFunc{answer(model.OutcomeNotRun, 503, "0")}, model.OutcomeNotRun, 3},
		"wait beyond Config":       {[]http.HandlerFunc{answer(model.OutcomeNotRun, 503, "3600")}, model.OutcomeNotRun, 1},
		"no answer at any attempt": {[]http.HandlerFunc{abortResponse(false)}, model.OutcomeUnknown, 3},
	} {
		t.Run(name, func(t *testing.T) {
			e, _, err := do(t, c.script...)
			var failure *Error
			require.ErrorAs(t, err, &failure)
			require.Equal(t, c.outcome, failure.Outcome, "%s", failure)
			require.Equal(t, c.sends, failure.Sends)
			require.Len(t, e.sentKeys(), c.sends, "the transport retried a send by itself")
		})
	}
}

// Guards against a wait beyond the caller's deadline.
func TestGivesUpBeforeDeadline(t *testing.T) {
	server := httptest.NewServer(&fakeEdge{script: []http.HandlerFunc{answer(model.OutcomeNotRun, 503, "20")}})
	defer server.Close()
	c, err := New(Config{Edges: []string{server.URL}})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	start := time.Now()
	_, err = c.Do(ctx, Request{Method: http.MethodPost, Path: "/"})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Less(t, time.Since(start), 5*time.Second)
}

// Guards against clients that retry at the same time after a refusal, or earlier than Retry-After permits.
func TestWaitIsSpread(t *testing.T) {
	c, err := New(Config{Edges: []string{"http://127.0.0.1"}})
	require.NoError(t, err)
	a := requestRun{client: c}
	lowest, highest := time.Hour, time.Duration(0)
	for range 1000 {
		d := a.retryAfter(http.Header{"Retry-After": {"2"}})
		lowest, highest = min(lowest, d), max(highest, d)
	}
	require.GreaterOrEqual(t, lowest, 2*time.Second)
	require.Less(t, lowest, 2100*time.Millisecond)
	require.Greater(t, highest, 2900*time.Millisecond)
	require.LessOrEqual(t, highest, 3*time.Second)
}

// Guards against resends that amplify the load when the fleet refuses everything.
func TestResendsStayWithinBudget(t *testing.T) {
	for name, refusal := range map[string]http.HandlerFunc{
		"refused": answer(model.OutcomeNotRun, 503, "0"), "no answer": abortResponse(false),
	} {
		t.Run(name, func(t *testing.T) {
			e := &fakeEdge{script: []http.HandlerFunc{refusal}}
			server := httptest.NewServer(e)
			defer server.Close()
			c, err := New(Config{Edges: []string{server.URL}, HTTP: server.Client(), MaxSends: 2})
			require.NoError(t, err)
			const requests = 200
			var group sync.WaitGroup
			for range requests {
				group.Go(func() { _, _ = c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/orders"}) })
			}
			group.Wait()
			resends := len(e.sentKeys()) - requests
			require.LessOrEqual(t, resends, requests/10)
			require.GreaterOrEqual(t, resends, requests/20, "the retry budget must permit resends")
		})
	}
}

// Guards against a retry budget that keeps callers from polling for the answer of a running request.
func TestWaitingForAnswerIsFree(t *testing.T) {
	running := answer(model.OutcomeUnknown, http.StatusConflict, "0")
	e := &fakeEdge{script: []http.HandlerFunc{running, running, answer(model.OutcomeDone, 200, "")}}
	server := httptest.NewServer(e)
	defer server.Close()
	c, err := New(Config{Edges: []string{server.URL}, Reserve: -1})
	require.NoError(t, err)
	r, err := c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/"})
	require.NoError(t, err)
	require.Equal(t, 3, r.Sends)
}

// Guards against a client that does not switch to the next edge when one is unreachable.
func TestNextEdge(t *testing.T) {
	unreachable := httptest.NewServer(http.NotFoundHandler())
	unreachable.Close()
	server := httptest.NewServer(&fakeEdge{script: []http.HandlerFunc{answer(model.OutcomeDone, 200, "")}})
	defer server.Close()
	c, err := New(Config{Edges: []string{unreachable.URL, server.URL}})
	require.NoError(t, err)
	_, err = c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/"})
	require.NoError(t, err)
}

// Guards against a query that sends the request again, or takes a response from outside the fleet for an outcome.
func TestQuery(t *testing.T) {
	e := &fakeEdge{script: []http.HandlerFunc{answer(model.OutcomeDone, 200, ""), answer("", 200, "")}}
	server := httptest.NewServer(e)
	defer server.Close()
	c, err := New(Config{Edges: []string{server.URL}})
	require.NoError(t, err)
	a, err := c.Query(t.Context(), token+".x/y")
	require.NoError(t, err)
	require.Equal(t, model.OutcomeDone, a.Outcome)
	_, err = c.Query(t.Context(), token+".x/y")
	require.ErrorContains(t, err, "Config.Edges")
	require.Equal(t, []string{"", ""}, e.sentKeys(), "a query carries no key header")
}

// Guards against believing a refusal whose head no server may send, and against taking one for a response.
func TestOddHeadProvesNothing(t *testing.T) {
	edge := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == model.PathOwner {
			w.Header().Set(model.HeaderOwner, token)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nOdd Name: x\r\n"+model.HeaderOutcome+": not-run\r\nContent-Length: 0\r\n\r\n")
	}))
	defer edge.Close()
	c, err := New(Config{Edges: []string{edge.URL}, MaxSends: 1})
	require.NoError(t, err)
	_, err = c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/"})
	var failure *Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, model.OutcomeUnknown, failure.Outcome)
}
