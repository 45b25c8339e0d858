package main

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/auburnwinch/auburnwinch/internal/load"
)

// fault is what the target does wrong; the zero value is a healthy target.
type fault = load.Fault

// faults holds the current fault; a changed fault releases stalled requests.
type faults struct {
	mu      sync.Mutex
	current fault
	changed chan struct{}
	number  uint64
}

// work draws service times.
type work struct {
	median time.Duration
	spread float64
	mu     sync.Mutex
	random *rand.Rand
}

func newWork(median time.Duration, spread float64, seed uint64) *work {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &work{median: median, spread: spread, random: rand.New(rand.NewPCG(seed, seed))}
}

func (w *work) draw() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(float64(w.median) * math.Exp(w.spread*w.random.NormFloat64()))
}

func (w *work) hits(ratio float64) bool {
	if ratio <= 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < ratio
}

func (f *faults) get() (fault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.current, f.changed
}

func (f *faults) set(next fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = next
	f.number++
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = make(chan struct{})
	if next.For > 0 {
		number := f.number
		time.AfterFunc(time.Duration(next.For), func() { f.clear(number) })
	}
}

func (f *faults) clear(number uint64) {
	f.mu.Lock()
	same := f.number == number
	f.mu.Unlock()
	if same {
		f.set(fault{})
	}
}

// controlHandler serves GET /runs?key=…, PUT /fault and POST /drain.
func (t *target) controlHandler() http.Handler {
	router := httprouter.New()
	router.GET("/runs", t.serveRuns)
	router.PUT("/fault", t.serveFault)
	router.DELETE("/fault", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		t.faults.set(fault{})
		w.WriteHeader(http.StatusNoContent)
	})
	router.POST("/drain", t.serveDrain)
	return router
}

func (t *target) serveRuns(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	current, _ := t.faults.get()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(summary{
		InFlight: t.records.inFlight.Load(), Total: t.records.total.Load(), Fault: current,
		Runs: t.records.find(r.URL.Query().Get("key")),
	})
}

func (t *target) serveFault(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var next fault
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&next); err != nil {
		http.Error(w, "fault must be a JSON object with known fields: "+err.Error(), http.StatusBadRequest)
		return
	}
	t.faults.set(next)
	w.WriteHeader(http.StatusNoContent)
}

// serveDrain tells the node, and ends the process when nothing is in flight any more.
func (t *target) serveDrain(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	t.tell(r.Context(), "/v1/drain", departure{Service: t.config.Service, ID: t.config.ID})
	t.drain.Do(func() { close(t.drained) })
	w.WriteHeader(http.StatusNoContent)
}
