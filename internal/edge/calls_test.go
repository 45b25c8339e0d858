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

// callsOf takes every request for a call of the request that runs on this VM.
type callsOf struct{ running string }

func (callsOf) ID(*http.Request) string                                 { return "" }
func (callsOf) Timeout(*http.Request) (time.Duration, error)            { return 0, nil }
func (c callsOf) Parent(*http.Request) string                           { return c.running }
func (callsOf) Header(*http.Request) (add []relay.Field, omit []string) { return nil, nil }
func (callsOf) Refuse(w http.ResponseWriter, r relay.Refusal)           { w.WriteHeader(r.Status) }

// ended notes how the calls of a running request ended.
type ended struct {
	mu     sync.Mutex
	served []bool
}

func (e *ended) Parent(string) (relay.Parent, bool) { return relay.Parent{}, true }

func (e *ended) CallEnded(_ string, served bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served = append(e.served, served)
}

// Pattern: a target gives up its call, and another call gets an answer that breaks off.
// Guards against calls that count as served, or as failures of the service that was called, when they are neither: the
// running request would then wrongly start first, or wrongly say nothing about its own target.
func TestEndOfCallIsTold(t *testing.T) {
	started := make(chan struct{}, 1)
	calls := &ended{}
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
		targets: []http.Handler{target}, edge: edge.Config{Protocol: callsOf{running: "request-1"}, Parents: calls, Picker: inOrder{}},
	})
	send := func(ctx context.Context, path string) {
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, nil)
		r.Header.Set(model.HeaderIdempotencyKey, "")
		defer func() { _ = recover() }() // The edge breaks its answer off with a panic, as net/http expects.
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
