package fault

import (
	"bytes"
	"cmp"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"
)

// maxBodyBytes limits the size of a request body, which is held in memory.
const maxBodyBytes = 64 << 20

// Error responses of the two protocols.
const (
	tableProtocol    = "application/x-amz-json-1.0"
	throttleResponse = `{"__type":"com.amazonaws.dynamodb.v20120810#ThrottlingException","message":"rate exceeded"}`
	conflictResponse = `{"__type":"com.amazonaws.dynamodb.v20120810#TransactionCanceledException",` +
		`"message":"Transaction cancelled, please refer cancellation reasons for specific reasons [TransactionConflict]",` +
		`"CancellationReasons":[{"Code":"TransactionConflict","Message":"Transaction is ongoing for the item"}]}`
	slowDownResponse = `<Error><Code>SlowDown</Code><Message>rate exceeded</Message></Error>`
)

// Faults holds the active rules and counts requests; it is safe for concurrent use.
type Faults struct {
	mu     sync.Mutex
	rules  []*activeRule
	counts map[operation]uint64
	random *rand.Rand
}

// Counter is the number of requests of one operation, including failed ones.
type Counter struct {
	Service   string `json:"service"`
	Operation string `json:"operation"`
	Requests  uint64 `json:"requests"`
}

type activeRule struct {
	Rule
	used int
}

type operation struct {
	service, name string
}

// New returns a Faults without rules.
func New() *Faults {
	return &Faults{counts: make(map[operation]uint64), random: rand.New(rand.NewPCG(1, 1))}
}

// Set replaces the rules; the first rule that matches a request applies to it.
func (f *Faults) Set(rules ...Rule) error {
	active := make([]*activeRule, 0, len(rules))
	for _, r := range rules {
		if err := r.validate(); err != nil {
			return err
		}
		active = append(active, &activeRule{Rule: r})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rules = active
	return nil
}

// Rules returns the active rules.
func (f *Faults) Rules() []Rule {
	f.mu.Lock()
	defer f.mu.Unlock()
	rules := make([]Rule, 0, len(f.rules))
	for _, r := range f.rules {
		rules = append(rules, r.Rule)
	}
	return rules
}

// Counters returns the request counts, sorted by service and operation.
func (f *Faults) Counters() []Counter {
	f.mu.Lock()
	defer f.mu.Unlock()
	counters := make([]Counter, 0, len(f.counts))
	for o, n := range f.counts {
		counters = append(counters, Counter{Service: o.service, Operation: o.name, Requests: n})
	}
	slices.SortFunc(counters, func(a, b Counter) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Operation, b.Operation))
	})
	return counters
}

// Wrap applies the rules to requests for a service; name returns the protocol operation of a request.
func (f *Faults) Wrap(service string, name func(*http.Request) string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Reading the body first makes a delayed request independent of the client's connection.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		rule := f.selectRule(operation{service: service, name: name(r)})
		request := r.Clone(r.Context())
		request.Body = io.NopCloser(bytes.NewReader(body))
		apply(rule, w, request, next)
	})
}

func (f *Faults) selectRule(o operation) Rule {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[o]++
	for _, r := range f.rules {
		exhausted := r.Count > 0 && r.used >= r.Count
		if exhausted || !r.selects(o.service, o.name) || (r.Share > 0 && f.random.Float64() >= r.Share) {
			continue
		}
		r.used++
		return r.Rule
	}
	return Rule{}
}

func apply(rule Rule, w http.ResponseWriter, r *http.Request, next http.Handler) {
	switch rule.Kind {
	case Away:
		panic(http.ErrAbortHandler)
	case Hang:
		wait(r, rule.delay())
		panic(http.ErrAbortHandler)
	case Slow:
		time.Sleep(rule.delay())
		next.ServeHTTP(w, r)
	case Lost:
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case Throttle:
		throttle(w, r)
	case Conflict:
		writeError(w, http.StatusBadRequest, tableProtocol, conflictResponse)
	default:
		next.ServeHTTP(w, r)
	}
}

func wait(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

// throttle responds in the protocol of the request: JSON for the table service, XML for the object store.
func throttle(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Amz-Target") != "" {
		writeError(w, http.StatusBadRequest, tableProtocol, throttleResponse)
		return
	}
	writeError(w, http.StatusServiceUnavailable, "application/xml", slowDownResponse)
}

func writeError(w http.ResponseWriter, status int, kind, body string) {
	w.Header().Set("Content-Type", kind)
	w.WriteHeader(status)
	// The client may have closed the connection.
	_, _ = io.WriteString(w, body)
}
