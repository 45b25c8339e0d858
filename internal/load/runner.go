package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/internal/syntax"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// headerRequest carries the operation ID; stand-in targets record and echo it.
	headerRequest   = "Standin-Request"
	defaultCallers  = 24
	defaultPause    = 20 * time.Millisecond
	defaultSends    = 5
	defaultDownload = 256 << 10
	resendPause     = 300 * time.Millisecond
	sendTimeout     = 12 * time.Second
	// patternPeriod is the period of the byte pattern that stand-in targets send as downloads.
	patternPeriod = 251
)

// Config configures a closed-loop load; zero fields take defaults.
type Config struct {
	Fleet *procs.Fleet
	// Callers is the number of concurrent callers; each sends one operation at a time.
	Callers int
	// Pause is the delay between two operations of a caller.
	Pause time.Duration
	// MaxSends limits how often one operation is sent.
	MaxSends int
	// DownloadBytes is the size of downloads.
	DownloadBytes int
	// Services restricts the load to these services; empty means all.
	Services []string
	// Prefix is the prefix of all operation IDs; it must differ between the runners of one deployment.
	Prefix string
	// SendTimeout is the timeout of one send.
	SendTimeout time.Duration
	// PlainKeys uses idempotency keys without an owner token.
	PlainKeys bool
}

// Runner is a closed-loop load generator.
type Runner struct {
	config Config
	client *http.Client
	routes []serviceRoute

	mu         sync.Mutex
	operations []Operation
}

type serviceRoute struct {
	service string
	route   model.RouteSpec
}

// targetResponse is the response body of a stand-in target.
type targetResponse struct {
	Request string `json:"request"`
	Target  string `json:"target"`
}

// New returns a runner; Run starts its callers.
func New(c Config) *Runner {
	c.Callers = orDefault(c.Callers, defaultCallers)
	c.MaxSends = orDefault(c.MaxSends, defaultSends)
	c.DownloadBytes = orDefault(c.DownloadBytes, defaultDownload)
	c.Pause = orDefault(c.Pause, defaultPause)
	c.SendTimeout = orDefault(c.SendTimeout, sendTimeout)
	if c.Prefix == "" {
		c.Prefix = c.Fleet.Plan.Name
	}
	r := &Runner{
		config: c,
		client: &http.Client{Timeout: c.SendTimeout, Transport: syntax.Transport{RoundTripper: &http.Transport{MaxIdleConnsPerHost: c.Callers}}},
	}
	r.routes = routesOf(c)
	return r
}

// Run sends operations until the context ends; it returns after every operation has its final outcome.
func (r *Runner) Run(ctx context.Context) {
	var callers conc.WaitGroup
	for i := range r.config.Callers {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				r.runOperation(fmt.Sprintf("%s-%d-%d", r.config.Prefix, i, n))
				time.Sleep(r.config.Pause)
			}
		})
	}
	callers.Wait()
	r.client.CloseIdleConnections()
}

// Operations returns the completed operations.
func (r *Runner) Operations() []Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Operation(nil), r.operations...)
}

func routesOf(c Config) []serviceRoute {
	var routes []serviceRoute
	for _, service := range c.Fleet.Plan.Ticket.Services {
		if !isSelected(c.Services, service.Name) {
			continue
		}
		for _, route := range service.Routes {
			routes = append(routes, serviceRoute{service: service.Name, route: route})
		}
	}
	return routes
}

func isSelected(services []string, name string) bool {
	if len(services) == 0 {
		return true
	}
	for _, s := range services {
		if s == name {
			return true
		}
	}
	return false
}

func (r *Runner) runOperation(id string) {
	chosen := r.routes[rand.IntN(len(r.routes))]
	op := Operation{ID: id, Service: chosen.service, Kind: kindOf(chosen.route), Begun: time.Now()}
	for op.Sends < r.config.MaxSends {
		op.Sends++
		if r.send(&op, chosen.route) {
			break
		}
		time.Sleep(max(resendPause, op.RetryAfter))
	}
	op.Duration = time.Since(op.Begun)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, op)
}

// send sends the operation once, through a random node, and reports whether its outcome is final.
func (r *Runner) send(op *Operation, route model.RouteSpec) bool {
	nodes := r.config.Fleet.Plan.Nodes
	address := nodes[rand.IntN(len(nodes))].Settings.Listeners.Callers
	op.RetryAfter = 0
	request, err := r.request(op, route, address)
	if err != nil {
		// Nothing was sent; keep the outcome of an earlier send.
		if op.Outcome == "" {
			op.Outcome = model.OutcomeNotRun
		}
		return false
	}
	response, err := r.client.Do(request)
	if err != nil {
		op.Outcome = model.OutcomeUnknown
		op.Refusals = append(op.Refusals, err.Error())
		return false
	}
	defer func() { _ = response.Body.Close() }() // The body has been read in full or is abandoned.
	op.Status = response.StatusCode
	op.Outcome = model.Outcome(response.Header.Get(model.HeaderOutcome))
	if op.Outcome == model.OutcomeDone {
		return r.checkBody(op, response)
	}
	if op.Outcome == model.OutcomeNotRun {
		op.NotRun++
		// Sending again earlier would only use up the retry budget of the fleet.
		op.RetryAfter = parseRetryAfter(response.Header.Get("Retry-After"))
	}
	var refusal model.Answer
	if err := json.NewDecoder(response.Body).Decode(&refusal); err != nil {
		refusal.Reason = err.Error()
	}
	op.Refusals = append(op.Refusals, fmt.Sprintf("%s after %v: %s", op.Outcome, time.Since(op.Begun).Round(time.Millisecond), refusal.Reason))
	return false
}

// parseRetryAfter returns the delay of a Retry-After header, or zero if there is none.
func parseRetryAfter(header string) time.Duration {
	seconds, err := strconv.Atoi(header)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func (r *Runner) request(op *Operation, route model.RouteSpec, address string) (*http.Request, error) {
	method, target := http.MethodGet, "http://"+address+route.PathPrefix+"/"+op.ID
	var body io.Reader
	switch op.Kind {
	case KindDownload:
		target += fmt.Sprintf("?bytes=%d", r.config.DownloadBytes)
	case KindWrite:
		method, body = http.MethodPost, strings.NewReader("operation "+op.ID)
		if err := r.assignKey(op, address); err != nil {
			return nil, err
		}
	case KindRead:
	}
	request, err := http.NewRequest(method, target, body)
	if err != nil {
		return nil, eris.Wrap(err, "build the request")
	}
	request.Host = route.Host
	request.Header.Set(headerRequest, op.ID)
	request.Header.Set(model.HeaderAccount, "account-"+op.ID[len(op.ID)-1:])
	if op.Key != "" {
		request.Header.Set(model.HeaderIdempotencyKey, op.Key)
	}
	return request, nil
}

// assignKey derives the idempotency key of the operation from the owner token of the first node that responds.
func (r *Runner) assignKey(op *Operation, address string) error {
	if op.Key != "" {
		return nil
	}
	if r.config.PlainKeys {
		op.Key = op.ID
		return nil
	}
	response, err := r.client.Get("http://" + address + model.PathOwner)
	if err != nil {
		return eris.Wrap(err, "request an owner token")
	}
	defer func() { _ = response.Body.Close() }() // Only the header is needed.
	token := response.Header.Get(model.HeaderOwner)
	if token == "" {
		return eris.New("the response has no owner token")
	}
	op.Key = token + "." + op.ID
	return nil
}

// checkBody verifies that the response is complete and belongs to the operation.
func (r *Runner) checkBody(op *Operation, response *http.Response) bool {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		op.Outcome = model.OutcomeUnknown
		op.Refusals = append(op.Refusals, "body: "+err.Error())
		return false
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return true
	}
	if op.Kind == KindDownload {
		op.ResponseError = checkDownload(body, r.config.DownloadBytes)
		return true
	}
	var a targetResponse
	if err := json.Unmarshal(body, &a); err != nil || a.Request != op.ID {
		op.ResponseError = fmt.Sprintf("response is incomplete or belongs to %q", a.Request)
	}
	return true
}

func checkDownload(body []byte, size int) string {
	if len(body) != size {
		return fmt.Sprintf("download has %d of %d bytes", len(body), size)
	}
	for i, b := range body {
		if b != byte(i%patternPeriod) {
			return fmt.Sprintf("download differs from byte %d on", i)
		}
	}
	return ""
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
