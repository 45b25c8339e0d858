package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/internal/syntax"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// lateResponseGrace is how long a caller waits beyond the deadline, so that late responses are counted as late.
	lateResponseGrace = 2 * time.Second
	// maxIdleConnections is the limit per node; with a smaller pool, an overload would open a connection per request.
	maxIdleConnections = 1024
)

// AccountLoad is the share of the load that one client account sends.
type AccountLoad struct {
	Name string
	// Weight is relative to the sum of the weights of all accounts.
	Weight float64
}

// OpenConfig configures an open-loop load: reads are sent at random times, independently of the responses.
type OpenConfig struct {
	Fleet *procs.Fleet
	// Service must have a route that is idempotent and not resumable.
	Service string
	// Rate is the number of requests per second.
	Rate     float64
	Accounts []AccountLoad
	// Deadline is the time within which a caller expects the response.
	Deadline time.Duration
	// Prefix is the prefix of all request IDs; it must differ between the runs against one deployment.
	Prefix string
	Seed   uint64
}

// Arrival is one request of an open-loop load with its response.
type Arrival struct {
	ID       string
	Account  string
	Begun    time.Time
	Duration time.Duration
	Outcome  model.Outcome
	Status   int
	// RetryAfter is negative if the response has no such header.
	RetryAfter time.Duration
	// Reason is the reason that the fleet gives in a refusal.
	Reason string
	// ResponseError describes why the response was incomplete or belonged to another request.
	ResponseError string
}

// OpenLoad is an open-loop load generator with Poisson arrivals; it is used for one run.
type OpenLoad struct {
	config OpenConfig
	client *http.Client
	route  model.RouteSpec
	random *rand.Rand

	mu       sync.Mutex
	arrivals []Arrival
}

// NewOpenLoad returns a load generator; it fails if the service has no suitable route.
func NewOpenLoad(c OpenConfig) (*OpenLoad, error) {
	o := &OpenLoad{config: c, random: rand.New(rand.NewPCG(c.Seed, c.Seed)), client: &http.Client{
		Timeout: c.Deadline + lateResponseGrace, Transport: syntax.Transport{RoundTripper: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
	}}
	for _, service := range c.Fleet.Plan.Ticket.Services {
		for _, route := range service.Routes {
			if service.Name == c.Service && kindOf(route) == KindRead {
				o.route = route
				return o, nil
			}
		}
	}
	return nil, eris.Errorf("service %s has no route that is idempotent and not resumable; choose another service", c.Service)
}

// Run sends requests for the duration and returns them all after the last one has completed.
func (o *OpenLoad) Run(ctx context.Context, duration time.Duration) []Arrival {
	defer o.client.CloseIdleConnections()
	var requests conc.WaitGroup
	begin := time.Now()
	due := begin
	for n := 0; ctx.Err() == nil; n++ {
		due = due.Add(time.Duration(o.random.ExpFloat64() / o.config.Rate * float64(time.Second)))
		if due.Sub(begin) > duration {
			break
		}
		time.Sleep(time.Until(due))
		id := fmt.Sprintf("%s-%d", o.config.Prefix, n)
		node := o.random.IntN(len(o.config.Fleet.Plan.Nodes))
		account := o.pickAccount()
		requests.Go(func() { o.request(id, account, node) })
	}
	requests.Wait()
	return o.arrivals
}

func (o *OpenLoad) pickAccount() string {
	sum := 0.0
	for _, a := range o.config.Accounts {
		sum += a.Weight
	}
	x := o.random.Float64() * sum
	for _, a := range o.config.Accounts {
		if x -= a.Weight; x < 0 {
			return a.Name
		}
	}
	return ""
}

func (o *OpenLoad) request(id, account string, node int) {
	a := Arrival{ID: id, Account: account, Begun: time.Now(), Outcome: model.OutcomeUnknown, RetryAfter: -1}
	if err := o.send(&a, node); err != nil {
		a.Outcome, a.ResponseError = model.OutcomeUnknown, err.Error()
	}
	a.Duration = time.Since(a.Begun)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.arrivals = append(o.arrivals, a)
}

func (o *OpenLoad) send(a *Arrival, node int) error {
	address := o.config.Fleet.Plan.Nodes[node].Settings.Listeners.Callers
	request, err := http.NewRequest(http.MethodGet, "http://"+address+o.route.PathPrefix+"/"+a.ID, nil)
	if err != nil {
		return eris.Wrap(err, "build the request")
	}
	request.Host = o.route.Host
	request.Header.Set(headerRequest, a.ID)
	request.Header.Set(model.HeaderAccount, a.Account)
	request.Header.Set(model.HeaderTimeout, o.config.Deadline.String())
	response, err := o.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "no response")
	}
	defer func() { _ = response.Body.Close() }() // The body has been read in full or is abandoned.
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return eris.Wrap(err, "the response body is incomplete")
	}
	a.Status, a.Outcome = response.StatusCode, model.Outcome(response.Header.Get(model.HeaderOutcome))
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		a.RetryAfter = time.Duration(seconds) * time.Second
	}
	if a.Outcome != model.OutcomeDone {
		var refusal model.Answer
		err := json.Unmarshal(body, &refusal)
		a.Reason = refusal.Reason
		return eris.Wrap(err, "read the refusal")
	}
	if a.Status >= http.StatusInternalServerError {
		return nil
	}
	var answered targetResponse
	if err := json.Unmarshal(body, &answered); err != nil || answered.Request != a.ID {
		return eris.Errorf("the response is incomplete or belongs to %q", answered.Request)
	}
	return nil
}
