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
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// openGrace is the time beyond its deadline for which a caller waits, so that late answers are seen as late.
	openGrace = 2 * time.Second
	// openConnections are kept per node; a smaller pool would open a connection for each request of an overload.
	openConnections = 1024
)

// AccountLoad is the part of the load that one account sends.
type AccountLoad struct {
	Name string
	// Weight is relative to the sum of all weights.
	Weight float64
}

// OpenConfig describes reads that arrive at random times, whatever the answers do.
type OpenConfig struct {
	Fleet *procs.Fleet
	// Service must have a route that is idempotent and not resumable.
	Service string
	// Rate is the number of requests per second.
	Rate     float64
	Accounts []AccountLoad
	// Deadline is the time that a caller waits.
	Deadline time.Duration
	// Prefix starts the identifiers of all requests; it must differ between the runs of one deployment.
	Prefix string
	Seed   uint64
}

// Arrival is one request of an open load with its answer.
type Arrival struct {
	ID       string
	Account  string
	Begun    time.Time
	Duration time.Duration
	Outcome  model.Outcome
	Status   int
	// RetryAfter is negative when the answer has no such header.
	RetryAfter time.Duration
	// Reason is that of an answer of the fleet itself.
	Reason string
	// ResponseError tells why the answer was not whole or belonged to another request.
	ResponseError string
}

// OpenLoad sends requests at random times; it is used for one run.
type OpenLoad struct {
	config OpenConfig
	client *http.Client
	route  model.RouteSpec
	random *rand.Rand

	mu       sync.Mutex
	arrivals []Arrival
}

// NewOpenLoad fails when the service has no suitable route.
func NewOpenLoad(c OpenConfig) (*OpenLoad, error) {
	o := &OpenLoad{config: c, random: rand.New(rand.NewPCG(c.Seed, c.Seed)), client: &http.Client{
		Timeout: c.Deadline + openGrace, Transport: &http.Transport{MaxIdleConnsPerHost: openConnections},
	}}
	for _, service := range c.Fleet.Plan.Ticket.Services {
		for _, route := range service.Routes {
			if service.Name == c.Service && kindOf(route) == KindRead {
				o.route = route
				return o, nil
			}
		}
	}
	return nil, eris.Errorf("service %s has no route for reads; choose another service", c.Service)
}

// Run sends for the duration and returns all requests when each has its answer.
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
		account := o.drawAccount()
		requests.Go(func() { o.request(id, account, node) })
	}
	requests.Wait()
	return o.arrivals
}

func (o *OpenLoad) drawAccount() string {
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
		return eris.Wrap(err, "no answer")
	}
	defer func() { _ = response.Body.Close() }() // The body is read in full or given up.
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return eris.Wrap(err, "the answer broke off")
	}
	a.Status, a.Outcome = response.StatusCode, model.Outcome(response.Header.Get(model.HeaderOutcome))
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		a.RetryAfter = time.Duration(seconds) * time.Second
	}
	if a.Outcome != model.OutcomeDone {
		var own model.Answer
		err := json.Unmarshal(body, &own)
		a.Reason = own.Reason
		return eris.Wrap(err, "read the refusal")
	}
	if a.Status >= http.StatusInternalServerError {
		return nil
	}
	var own answer
	if err := json.Unmarshal(body, &own); err != nil || own.Request != a.ID {
		return eris.Errorf("the answer is not whole or belongs to %q", own.Request)
	}
	return nil
}
