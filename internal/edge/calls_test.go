package edge_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// nestedCalls is a protocol in which every request is a nested call of one running request.
type nestedCalls struct{ running string }

func (nestedCalls) ID(*http.Request) string                                 { return "" }
func (nestedCalls) Timeout(*http.Request) (time.Duration, error)            { return 0, nil }
func (c nestedCalls) Parent(*http.Request) string                           { return c.running }
func (nestedCalls) AccountKey(*http.Request) (key, header string)           { return "", "" }
func (nestedCalls) Header(*http.Request) (add []relay.Field, omit []string) { return nil, nil }
func (nestedCalls) Refuse(w http.ResponseWriter, r relay.Refusal)           { w.WriteHeader(r.Status) }

// callRecorder records how the nested calls of a running request ended.
type callRecorder struct {
	mu     sync.Mutex
	served []bool
}

func (e *callRecorder) Parent(string) (relay.Parent, bool) { return relay.Parent{}, true }

func (e *callRecorder) CallEnded(_ string, served bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served = append(e.served, served)
}

// Guards against nested calls that are reported wrongly: a call whose response ended early must not count as served, or
// the further calls of its parent request would wrongly take precedence, and a call that its target canceled must not
// count as a failure of the called service, or the parent request would wrongly say nothing about its own target.
func TestNestedCallEndIsReported(t *testing.T) {
	started := make(chan struct{}, 1)
	calls := &callRecorder{}
	target := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/orders/given-up":
			started <- struct{}{}
			<-r.Context().Done()
		case "/orders/broken-off":
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write(make([]byte, 50))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case "/orders/failed":
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	f := newFleet(t, fleetConfig{
		targets: []http.Handler{target}, edge: edge.Config{Protocol: nestedCalls{running: "request-1"}, Parents: calls, Picker: inOrder{}},
	})
	send := func(ctx context.Context, path string) {
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, nil)
		r.Header.Set(model.HeaderIdempotencyKey, "")
		defer func() { _ = recover() }() // The edge aborts the response with a panic, as net/http expects.
		f.edge.ServeHTTP(httptest.NewRecorder(), r)
	}
	send(t.Context(), "/orders/whole")
	send(t.Context(), "/orders/failed")
	send(t.Context(), "/orders/broken-off")
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-started
		leave()
	}()
	send(ctx, "/orders/given-up")
	require.Equal(t, []bool{true, false, false}, calls.served)
}
