package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	loadCallers = 24
	callerPause = 20 * time.Millisecond
	// sendsPerOperation bounds how often a caller sends one operation.
	sendsPerOperation = 5
	resendPause       = 300 * time.Millisecond
	downloadBytes     = 256 << 10
	callerTimeout     = 12 * time.Second
)

// operation is one thing that a caller wants done, with all of its sends.
type operation struct {
	ID       string
	Service  string
	Key      string
	Kind     operationKind
	Outcome  model.Outcome
	Status   int
	Sends    int
	Duration time.Duration
	// Fault tells why the answer was not true or not whole.
	Fault string
}

type operationKind uint8

const (
	operationRead operationKind = iota
	operationDownload
	operationWrite
)

// load sends requests to all nodes until its context ends.
type load struct {
	fleet  *procs.Fleet
	client *http.Client

	mu         sync.Mutex
	operations []operation
}

func newLoad(fleet *procs.Fleet) *load {
	return &load{
		fleet:  fleet,
		client: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: loadCallers}},
	}
}

// run sends until the context ends and returns when every operation has its final answer.
func (l *load) run(ctx context.Context) {
	var callers conc.WaitGroup
	for i := range loadCallers {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				l.serve(fmt.Sprintf("%s-%d-%d", l.fleet.Plan.Name, i, n))
				time.Sleep(callerPause)
			}
		})
	}
	callers.Wait()
	l.client.CloseIdleConnections()
}

func (l *load) serve(id string) {
	service := l.fleet.Plan.Ticket.Services[rand.IntN(len(l.fleet.Plan.Ticket.Services))]
	route := service.Routes[rand.IntN(len(service.Routes))]
	op := operation{ID: id, Service: service.Name, Kind: kindOf(route)}
	begin := time.Now()
	for op.Sends < sendsPerOperation {
		op.Sends++
		if l.send(&op, route) {
			break
		}
		time.Sleep(resendPause)
	}
	op.Duration = time.Since(begin)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.operations = append(l.operations, op)
}

func kindOf(route model.RouteSpec) operationKind {
	switch {
	case !route.Idempotent:
		return operationWrite
	case route.Resumable:
		return operationDownload
	default:
		return operationRead
	}
}

// send sends the operation once, through any node, and reports whether its outcome is final.
func (l *load) send(op *operation, route model.RouteSpec) bool {
	address := l.fleet.Plan.Nodes[rand.IntN(len(l.fleet.Plan.Nodes))].Settings.Listeners.Callers
	request, err := l.request(op, route, address)
	if err != nil {
		op.Outcome = model.OutcomeNotRun
		return false
	}
	response, err := l.client.Do(request)
	if err != nil {
		op.Outcome = model.OutcomeUnknown
		return false
	}
	// The body is read in full or given up, so an error of Close says nothing more.
	defer func() { _ = response.Body.Close() }()
	op.Status = response.StatusCode
	op.Outcome = model.Outcome(response.Header.Get(model.HeaderOutcome))
	if op.Outcome != model.OutcomeDone {
		_, _ = io.Copy(io.Discard, response.Body) // Only the outcome counts.
		return false
	}
	return l.checkBody(op, response)
}

func (l *load) request(op *operation, route model.RouteSpec, address string) (*http.Request, error) {
	method, target := http.MethodGet, "http://"+address+route.PathPrefix+"/"+op.ID
	var body io.Reader
	switch op.Kind {
	case operationDownload:
		target += fmt.Sprintf("?bytes=%d", downloadBytes)
	case operationWrite:
		method, body = http.MethodPost, strings.NewReader("operation "+op.ID)
		if err := l.takeKey(op, address); err != nil {
			return nil, err
		}
	case operationRead:
	}
	request, err := http.NewRequest(method, target, body)
	if err != nil {
		return nil, err
	}
	request.Host = route.Host
	request.Header.Set(headerRequest, op.ID)
	request.Header.Set(model.HeaderAccount, "account-"+op.ID[len(op.ID)-1:])
	if op.Key != "" {
		request.Header.Set(model.HeaderIdempotencyKey, op.Key)
	}
	return request, nil
}

// takeKey makes the key of the operation from the owner token of the first node that answers.
func (l *load) takeKey(op *operation, address string) error {
	if op.Key != "" {
		return nil
	}
	response, err := l.client.Get("http://" + address + model.PathOwner)
	if err != nil {
		return err
	}
	// Only the header is needed.
	defer func() { _ = response.Body.Close() }()
	op.Key = response.Header.Get(model.HeaderOwner) + "." + op.ID
	return nil
}

// checkBody verifies that the answer is whole and belongs to the operation.
func (l *load) checkBody(op *operation, response *http.Response) bool {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		op.Outcome = model.OutcomeUnknown
		return false
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return true
	}
	if op.Kind == operationDownload {
		op.Fault = checkDownload(body)
		return true
	}
	var answer workAnswer
	if err := json.Unmarshal(body, &answer); err != nil || answer.Request != op.ID {
		op.Fault = fmt.Sprintf("answer is not whole or belongs to %q", answer.Request)
	}
	return true
}

func checkDownload(body []byte) string {
	if len(body) != downloadBytes {
		return fmt.Sprintf("download has %d of %d bytes", len(body), downloadBytes)
	}
	for i, b := range body {
		if b != patternByte(int64(i)) {
			return fmt.Sprintf("download is wrong from byte %d", i)
		}
	}
	return ""
}
