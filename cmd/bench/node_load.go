package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/fakes/peers"
	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// directEvery is the share of requests that are also sent to a target without the fleet: one in this many.
	directEvery = 5
	// accountWait is what callers say they wait.
	accountWait = "2s"
	// loadBlock is the time after which latencies go to the next block, to find the quiet ones.
	loadBlock = 2 * time.Second
	// resultQueue holds the results that are not yet counted.
	resultQueue = 4096
)

// errRefused marks an answer of the fleet itself that says not-run, as when a stall of the machine fills all slots.
var errRefused = eris.New("the request was refused; lower the rate or the load of the machine")

// path of a request in a load.
const (
	loadEdge = iota
	loadDirect
	loadAgent
	loadPaths
)

// sizedLoad sends requests at a fixed mean rate, whether or not earlier ones are answered.
type sizedLoad struct {
	node   *sizedNode
	rate   float64
	random *rand.Rand
	client *http.Client
	pool   *relay.Pool
	signer *relay.Signer
	// callerBytes and edgeBytes count the bytes between the node and callers and edges of other nodes.
	callerBytes, edgeBytes peers.Traffic
	token                  atomic.Pointer[string]
	results                chan loadResult
	paths                  [loadPaths]overheadPath
	begin                  time.Time
	// refused counts the answers that are not the target's own.
	refused [loadPaths]int
	fault   error
	group   conc.WaitGroup
	serial  uint64
}

type loadResult struct {
	path  int
	begun time.Time
	took  time.Duration
	err   error
}

func newSizedLoad(s *sizedNode, rate float64, seed uint64) *sizedLoad {
	l := &sizedLoad{
		node: s, rate: rate, random: rand.New(rand.NewPCG(seed, 2)), signer: relay.NewSigner([]byte(sizedSecret), nil),
		results: make(chan loadResult, resultQueue),
		// Loads of one run have different seeds, so that no key is sent twice.
		serial: seed << 32,
	}
	dial := func(t *peers.Traffic) relay.DialFunc {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return t.Conn(conn), nil
		}
	}
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: dial(&l.callerBytes)}}
	l.pool = relay.NewPool(relay.PoolConfig{Address: s.settings.Listeners.Relay, Dial: dial(&l.edgeBytes)})
	for i := range l.paths {
		l.paths[i].latency = newLatencies()
	}
	return l
}

// run sends requests until the context ends and returns after the last answer.
func (l *sizedLoad) run(ctx context.Context) error {
	if l.rate == 0 {
		<-ctx.Done()
		return nil
	}
	defer l.client.CloseIdleConnections()
	defer l.pool.Close()
	token, err := ownerToken(ctx, l.client, l.node.settings.Listeners.Callers)
	if err != nil {
		return err
	}
	l.token.Store(&token)
	l.begin = time.Now()
	counted := make(chan struct{})
	go l.count(counted)
	// The agent gets the rest of its share from the edges of other nodes: what the own edge sends it is left out.
	share := 1 - float64(len(l.node.targets))/designServices
	next := l.begin
	for ctx.Err() == nil {
		next = next.Add(time.Duration(l.random.ExpFloat64() / l.rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		l.serial++
		l.fire(loadEdge, l.serial)
		if l.serial%directEvery == 0 {
			l.fire(loadDirect, l.serial)
		}
		if l.random.Float64() < share {
			l.fire(loadAgent, l.serial)
		}
	}
	l.group.Wait()
	close(l.results)
	<-counted
	return l.fault
}

func (l *sizedLoad) count(done chan<- struct{}) {
	defer close(done)
	for r := range l.results {
		switch {
		case errors.Is(r.err, errRefused):
			l.refused[r.path]++
		case r.err != nil:
			l.fault = r.err
		default:
			l.record(r)
		}
	}
}

// record adds a latency to the whole and to its block; all paths have the same blocks.
func (l *sizedLoad) record(r loadResult) {
	block := int(r.begun.Sub(l.begin) / loadBlock)
	for i := range l.paths {
		for len(l.paths[i].blocks) <= block {
			l.paths[i].blocks = append(l.paths[i].blocks, newLatencies())
		}
	}
	// Longer requests have failed by their timeout.
	_ = l.paths[r.path].latency.RecordValue(int64(r.took))
	_ = l.paths[r.path].blocks[block].RecordValue(int64(r.took))
}

func (l *sizedLoad) fire(path int, serial uint64) {
	service := l.random.IntN(designServices)
	if path == loadAgent {
		service = int(serial) % len(l.node.targets)
	}
	routes := l.node.tickets[0].Services[service].Routes
	route := routes[l.random.IntN(len(routes))]
	if write := serial%writeEvery == 0; write != !route.Idempotent {
		route = routes[0]
		if !write {
			route = routes[1+l.random.IntN(writeEvery-1)]
		}
	}
	account := fmt.Sprintf("account-%05d", l.random.IntN(designAccounts))
	l.group.Go(func() {
		begin := time.Now()
		err := l.send(path, service, route, account, serial)
		l.results <- loadResult{path: path, begun: begin, took: time.Since(begin), err: err}
	})
}

func (l *sizedLoad) send(path, service int, route model.RouteSpec, account string, serial uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), histogramTop/2)
	defer cancel()
	uri := route.PathPrefix + fmt.Sprintf("/%d", serial)
	switch path {
	case loadAgent:
		return l.relay(ctx, l.node.targets[service], route, account, uri, serial)
	case loadDirect:
		return l.call(ctx, l.node.own(sizedTargetPort+service%len(l.node.targets)), route, account, uri, serial)
	default:
		return l.call(ctx, l.node.settings.Listeners.Callers, route, account, uri, serial)
	}
}

// call sends a request as a caller does.
func (l *sizedLoad) call(ctx context.Context, address string, route model.RouteSpec, account, uri string, serial uint64) error {
	body := io.Reader(http.NoBody)
	if !route.Idempotent {
		body = strings.NewReader("amount=1")
	}
	request, err := http.NewRequestWithContext(ctx, route.Methods[0], "http://"+address+uri, body)
	if err != nil {
		return eris.Wrap(err, "build the request")
	}
	request.Host = route.Host
	request.Header.Set(model.HeaderAccount, account)
	if !route.Idempotent {
		request.Header.Set(model.HeaderIdempotencyKey, fmt.Sprintf("%s.%d", *l.token.Load(), serial))
	}
	response, err := l.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "send")
	}
	defer func() { _ = response.Body.Close() }() // The body is read in full.
	if token := response.Header.Get(model.HeaderOwner); token != "" {
		l.token.Store(&token)
	}
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = refusal(response, string(text))
	}
	return err
}

// relay sends a request as the edge of another node does.
func (l *sizedLoad) relay(ctx context.Context, target model.Target, route model.RouteSpec, account, uri string, serial uint64) error {
	conn, err := l.pool.Get(ctx, relay.ConnAny)
	if err != nil {
		return err
	}
	signed := relay.SignedFields{Exchange: relay.NewExchange(), Method: route.Methods[0], URI: uri, Target: relay.FormatTarget(target.Ref)}
	request := &relay.Request{Method: route.Methods[0], URI: uri, Host: route.Host, Header: http.Header{"Accept-Encoding": {"gzip"}}}
	if !route.Idempotent {
		owner := scaledNode(1 + int(serial%(designNodes-1))).Ref
		signed.Key = fmt.Sprintf("aw1.%s.%d.1.%d~%x~%x", owner.ID, owner.Incarnation, serial, serial, l.node.incarnation)
		request.Body, request.ContentLength = strings.NewReader("amount=1"), int64(len("amount=1"))
		request.Fields = append(request.Fields, relay.Field{Name: model.HeaderKey, Value: signed.Key})
	}
	for _, f := range [...]relay.Field{
		{Name: model.HeaderExchange, Value: signed.Exchange},
		{Name: model.HeaderTarget, Value: signed.Target},
		{Name: model.HeaderTimeout, Value: accountWait},
		{Name: model.HeaderRoute, Value: route.Name},
		{Name: model.HeaderAccount, Value: account},
		{Name: model.HeaderSignature, Value: l.signer.Sign(signed)},
		{Name: model.HeaderFingerprint, Value: fmt.Sprintf("%x", serial)},
	} {
		request.Fields = append(request.Fields, f)
	}
	response, err := conn.RoundTrip(ctx, request)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		conn.Close()
		return err
	}
	conn.Release()
	if response.StatusCode != http.StatusOK {
		return refusal(response, response.Header.Get(model.HeaderReason))
	}
	return nil
}

// refusal returns errRefused for a request that did not run; any other answer of the fleet is a fault of the run.
func refusal(response *http.Response, reason string) error {
	if response.Header.Get(model.HeaderOutcome) == string(model.OutcomeNotRun) {
		return errRefused
	}
	return eris.Errorf("%s: %s", response.Status, reason)
}
