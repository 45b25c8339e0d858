package client

import (
	"context"
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

// edge answers the sends of a request one after the other by its script and records their keys.
type edge struct {
	mu     sync.Mutex
	script []http.HandlerFunc
	keys   []string
}

func (e *edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

func (e *edge) sent() []string {
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

// breakOff closes the connection, before the answer or in the middle of its body.
func breakOff(partial bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if partial {
			w.Header().Set(model.HeaderOutcome, string(model.OutcomeDone))
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("part"))
		}
		panic(http.ErrAbortHandler)
	}
}

func do(t *testing.T, script ...http.HandlerFunc) (*edge, *Response, error) {
	e := &edge{script: script}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	c, err := New(Config{Edges: []string{server.URL}, HTTP: server.Client(), MaxSends: 3})
	require.NoError(t, err)
	r, err := c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/orders", Body: []byte("order")})
	for _, key := range e.sent() {
		require.Equal(t, e.sent()[0], key, "a resend has another key")
		require.True(t, strings.HasPrefix(key, token+"."))
	}
	return e, r, err
}

// Guards against a partial answer that is taken for a whole one, and against resends under another key.
func TestResendsUntilDone(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"no answer": breakOff(false), "part of an answer": breakOff(true), "no outcome": func(http.ResponseWriter, *http.Request) {},
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

// Guards against not-run for a request of which an earlier send may still run.
func TestOutcomeOfFailure(t *testing.T) {
	final := answer(model.OutcomeNotRun, http.StatusUnprocessableEntity, "")
	for name, c := range map[string]struct {
		script  []http.HandlerFunc
		outcome model.Outcome
		sends   int
	}{
		"refused":                  {[]http.HandlerFunc{final}, model.OutcomeNotRun, 1},
		"refused after running":    {[]http.HandlerFunc{answer(model.OutcomeUnknown, 409, "0"), final}, model.OutcomeNotRun, 2},
		"refused after no answer":  {[]http.HandlerFunc{breakOff(false), final}, model.OutcomeUnknown, 2},
		"unknown for good":         {[]http.HandlerFunc{answer(model.OutcomeUnknown, 502, "")}, model.OutcomeUnknown, 1},
		"refused again and again":  {[]http.HandlerFunc{answer(model.OutcomeNotRun, 503, "0")}, model.OutcomeNotRun, 3},
		"wait beyond Config":       {[]http.HandlerFunc{answer(model.OutcomeNotRun, 503, "3600")}, model.OutcomeNotRun, 1},
		"no answer at any attempt": {[]http.HandlerFunc{breakOff(false)}, model.OutcomeUnknown, 3},
	} {
		t.Run(name, func(t *testing.T) {
			e, _, err := do(t, c.script...)
			var failure *Error
			require.ErrorAs(t, err, &failure)
			require.Equal(t, c.outcome, failure.Outcome, "%s", failure)
			require.Equal(t, c.sends, failure.Sends)
			require.Len(t, e.sent(), c.sends, "the transport repeated a send by itself")
		})
	}
}

// Guards against a wait that outlasts the caller's deadline.
func TestGivesUpBeforeDeadline(t *testing.T) {
	server := httptest.NewServer(&edge{script: []http.HandlerFunc{answer(model.OutcomeNotRun, 503, "20")}})
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

// Guards against clients that return together after one refusal, or earlier than Retry-After says.
func TestWaitIsSpread(t *testing.T) {
	c, err := New(Config{Edges: []string{"http://127.0.0.1"}})
	require.NoError(t, err)
	a := attempt{client: c}
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

// Guards against resends that multiply the load of a fleet which refuses everything.
func TestResendsStayWithinBudget(t *testing.T) {
	for name, refusal := range map[string]http.HandlerFunc{
		"refused": answer(model.OutcomeNotRun, 503, "0"), "no answer": breakOff(false),
	} {
		t.Run(name, func(t *testing.T) {
			e := &edge{script: []http.HandlerFunc{refusal}}
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
			resends := len(e.sent()) - requests
			require.LessOrEqual(t, resends, requests/10)
			require.GreaterOrEqual(t, resends, requests/20, "the budget must permit resends")
		})
	}
}

// Guards against a budget that keeps callers from the answer of a request that still runs.
func TestWaitingForAnswerIsFree(t *testing.T) {
	running := answer(model.OutcomeUnknown, http.StatusConflict, "0")
	e := &edge{script: []http.HandlerFunc{running, running, answer(model.OutcomeDone, 200, "")}}
	server := httptest.NewServer(e)
	defer server.Close()
	c, err := New(Config{Edges: []string{server.URL}, Reserve: -1})
	require.NoError(t, err)
	r, err := c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/"})
	require.NoError(t, err)
	require.Equal(t, 3, r.Sends)
}

// Guards against a request that is sent nowhere else when one edge is gone.
func TestNextEdge(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	server := httptest.NewServer(&edge{script: []http.HandlerFunc{answer(model.OutcomeDone, 200, "")}})
	defer server.Close()
	c, err := New(Config{Edges: []string{gone.URL, server.URL}})
	require.NoError(t, err)
	_, err = c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/"})
	require.NoError(t, err)
}

// Guards against a query that sends the request again or takes a foreign answer for an outcome.
func TestQuery(t *testing.T) {
	e := &edge{script: []http.HandlerFunc{answer(model.OutcomeDone, 200, ""), answer("", 200, "")}}
	server := httptest.NewServer(e)
	defer server.Close()
	c, err := New(Config{Edges: []string{server.URL}})
	require.NoError(t, err)
	a, err := c.Query(t.Context(), token+".x/y")
	require.NoError(t, err)
	require.Equal(t, model.OutcomeDone, a.Outcome)
	_, err = c.Query(t.Context(), token+".x/y")
	require.ErrorContains(t, err, "Config.Edges")
	require.Equal(t, []string{"", ""}, e.sent(), "a query carries no key header")
}
