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

// fault is the fault to inject; the zero value means a healthy target.
type fault = load.Fault

// faultState holds the injected fault; setting another one releases stalled requests.
type faultState struct {
	mu         sync.Mutex
	current    fault
	changed    chan struct{}
	generation uint64
}

// sampler generates random service times and fault decisions.
type sampler struct {
	median time.Duration
	spread float64
	mu     sync.Mutex
	random *rand.Rand
}

func newSampler(median time.Duration, spread float64, seed uint64) *sampler {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &sampler{median: median, spread: spread, random: rand.New(rand.NewPCG(seed, seed))}
}

func (s *sampler) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(s.median) * math.Exp(s.spread*s.random.NormFloat64()))
}

func (s *sampler) occurs(ratio float64) bool {
	if ratio <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < ratio
}

func (f *faultState) get() (fault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.current, f.changed
}

func (f *faultState) set(next fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = next
	f.generation++
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = make(chan struct{})
	if next.For > 0 {
		generation := f.generation
		time.AfterFunc(time.Duration(next.For), func() { f.clear(generation) })
	}
}

// clear removes the fault unless another one has been set since the given generation.
func (f *faultState) clear(generation uint64) {
	f.mu.Lock()
	same := f.generation == generation
	f.mu.Unlock()
	if same {
		f.set(fault{})
	}
}

// controlHandler serves GET /runs?key=KEY, PUT and DELETE /fault, and POST /drain.
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
	_ = json.NewEncoder(w).Encode(runsResponse{
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

// serveDrain requests a drain from the node and makes Run shut the target down when no request is in flight.
func (t *target) serveDrain(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	t.notifyNode(r.Context(), "/v1/drain", targetRef{Service: t.config.Service, ID: t.config.ID})
	t.drainOnce.Do(func() { close(t.drained) })
	w.WriteHeader(http.StatusNoContent)
}
