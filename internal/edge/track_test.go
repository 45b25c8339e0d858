package edge_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// recorder is a picker and a tracker that records its calls.
type recorder struct {
	inOrder
	mu     sync.Mutex
	open   int
	parts  int
	kinds  []edge.ResultKind
	loads  []edge.Load
	target []string
}

func (r *recorder) Start(t edge.TrackRequest) edge.Handle {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open++
	r.target = append(r.target, t.Target.ID)
	return r
}

func (r *recorder) Progress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts++
}

func (r *recorder) Finish(result edge.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	r.kinds = append(r.kinds, result.Kind)
}

func (r *recorder) Done(_ edge.Choice, l edge.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads = append(r.loads, l)
}

// Guards against long downloads that count as stalled although data arrives.
func TestDownloadProgressIsReported(t *testing.T) {
	r := &recorder{}
	target := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1<<20)) })
	f := newFleet(t, fleetConfig{targets: []http.Handler{target}, edge: edge.Config{Picker: r, Tracker: r}})
	require.NoError(t, f.send(http.MethodGet, "/artwork/1", nil).err)
	require.Greater(t, r.parts, 10)
}

// Guards against attempts that are not reported to the tracker and the picker, or with the wrong result.
func TestAttemptsAreReported(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	breaks := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { closeConn(w) })
	slow := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	silent := func(_ int, _ http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { hang(t, w) })
	}
	cases := map[string]struct {
		target http.Handler
		relay  func(int, http.Handler) http.Handler
		drain  bool
		kind   edge.ResultKind
		load   edge.Load
	}{
		"ok":      {target: status(200), kind: edge.ResultOK, load: edge.Load{Load: relay.Load{InFlight: 1, Limit: 64}, Reported: true, IncludesRequest: true}},
		"error":   {target: status(500), kind: edge.ResultError, load: edge.Load{Load: relay.Load{InFlight: 1, Limit: 64}, Reported: true, IncludesRequest: true}},
		"reset":   {target: breaks, kind: edge.ResultReset, load: edge.Load{Load: relay.Load{InFlight: 1, Limit: 64}, Reported: true}},
		"refused": {target: status(200), drain: true, kind: edge.ResultRefused, load: edge.Load{Load: relay.Load{Limit: 64}, Reported: true, UnhealthyFor: time.Second}},
		"timeout": {target: slow, kind: edge.ResultTimeout},
		"silent":  {target: slow, relay: silent, kind: edge.ResultPathFailure},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := &recorder{}
			f := newFleet(t, fleetConfig{
				targets: []http.Handler{c.target}, relay: c.relay,
				edge: edge.Config{Picker: r, Tracker: r, HeaderTimeout: 300 * time.Millisecond},
			})
			if c.drain {
				require.NoError(t, f.agents[0].Drain("shop", "t0"))
			}
			timeout := "5s"
			if name == "timeout" {
				timeout = "200ms"
			}
			f.send(http.MethodPost, "/orders/1", nil, model.HeaderTimeout, timeout)
			require.Equal(t, []edge.ResultKind{c.kind}, r.kinds)
			require.Equal(t, []string{"t0"}, r.target)
			require.Zero(t, r.open)
			if name != "timeout" {
				require.Equal(t, []edge.Load{c.load}, r.loads)
			}
		})
	}
}

// Guards against a request that crashes more than two targets.
func TestCrashingRequestIsStopped(t *testing.T) {
	var crashed sync.Map
	crashes := func(i int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			crashed.Store(i, true)
			server, _ := r.Context().Value(http.ServerContextKey).(*http.Server)
			go func() { _ = server.Close() }()
			<-r.Context().Done()
			closeConn(w)
		})
	}
	f := newFleet(t, fleetConfig{
		targets: []http.Handler{crashes(0), crashes(1), crashes(2)}, edge: edge.Config{Picker: inOrder{}},
	})
	got := f.send(http.MethodGet, "/reads/1", nil)
	require.Equal(t, http.StatusUnprocessableEntity, got.status, "%s", got.body)
	require.Equal(t, model.OutcomeUnknown, got.outcome(), "the request has run")
	count := 0
	crashed.Range(func(any, any) bool { count++; return true })
	require.Equal(t, 2, count)
}
