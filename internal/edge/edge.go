package edge

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/retry"
	"github.com/auburnwinch/auburnwinch/internal/router"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// poolCheckInterval is the interval at which expired idle connections are closed.
const poolCheckInterval = 10 * time.Second

// Edge serves the requests of callers.
type Edge struct {
	config  Config
	routes  router.TableHolder
	signer  *relay.Signer
	pools   sync.Map // relay address to *relay.Pool
	budgets sync.Map // service name to *retry.Budget
	leaving atomic.Bool
	// admitting is canceled when requests that are not admitted yet could no longer complete.
	admitting     context.Context
	stopAdmitting context.CancelFunc
	// aborted is canceled when the process is about to exit, which ends the requests in flight.
	aborted       context.Context
	abort         context.CancelFunc
	logLimiter    logLimiter
	responseSizes responseSizes
	inFlight      atomic.Int64
	counters      counters
	startedAt     time.Time
	stop          chan struct{}
	stopped       atomic.Bool
	group         conc.WaitGroup
}

// New starts an edge; Close stops it.
func New(c Config) (*Edge, error) {
	e := &Edge{config: c.withDefaults(), signer: relay.NewSigner(c.Secret, nil), stop: make(chan struct{})}
	e.startedAt = e.config.Clock.Now()
	e.admitting, e.stopAdmitting = context.WithCancel(context.Background())
	e.aborted, e.abort = context.WithCancel(context.Background())
	ticks := e.config.Clock.Subscribe(poolCheckInterval)
	e.group.Go(func() { e.watchPools(ticks) })
	return e, nil
}

// SetRoutes replaces the route table.
func (e *Edge) SetRoutes(t *router.Table) {
	e.routes.Store(t)
}

// SetLeaving makes responses carry `Connection: close` because the node is shutting down; requests are still served.
func (e *Edge) SetLeaving(leaving bool) {
	e.leaving.Store(leaving)
}

// StopAdmitting refuses the requests that have not run and wait for a target, because the process is about to exit and they
// could not complete. Those that may be running continue.
func (e *Edge) StopAdmitting() {
	e.stopAdmitting()
}

// AbortInFlight ends the requests in flight because the process is about to exit; their callers get the outcome known
// so far.
func (e *Edge) AbortInFlight() {
	e.stopAdmitting()
	e.abort()
}

// InFlight returns the number of requests in progress.
func (e *Edge) InFlight() int {
	return int(e.inFlight.Load())
}

// Close stops background work, ends the requests in flight like AbortInFlight, and closes the connection pools.
func (e *Edge) Close() error {
	if e.stopped.Swap(true) {
		return nil
	}
	close(e.stop)
	e.AbortInFlight()
	e.group.Wait()
	e.pools.Range(func(_, pool any) bool {
		pool.(*relay.Pool).Close()
		return true
	})
	return nil
}

// ServeHTTP serves a request of a caller.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if e.leaving.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	if e.config.KeyOwner != nil {
		w.Header()[model.HeaderOwner] = []string{e.config.KeyOwner.OwnerToken()}
	}
	if !e.config.NegotiateAdmission && strings.HasPrefix(r.URL.Path, wellKnownPrefix) {
		e.serveWellKnown(w, r)
		return
	}
	q := &request{edge: e, w: w, r: r, startedAt: e.config.Clock.Now()}
	q.serve()
	q.report()
	if q.abort {
		q.abortConnection()
	}
}

func (e *Edge) watchPools(ticks *timer.Subscription) {
	defer ticks.Stop()
	for {
		select {
		case <-e.stop:
			return
		case now := <-ticks.C:
			e.expirePools(now)
		}
	}
}

// expirePools closes expired connections and removes empty pools, because nodes join and leave all the time.
func (e *Edge) expirePools(now time.Time) {
	e.pools.Range(func(address, pool any) bool {
		p := pool.(*relay.Pool)
		p.CloseExpired(now)
		if p.CloseIfEmpty() {
			e.pools.Delete(address)
		}
		return true
	})
}

func (e *Edge) pool(address string) *relay.Pool {
	if pool, ok := e.pools.Load(address); ok {
		return pool.(*relay.Pool)
	}
	pool, _ := e.pools.LoadOrStore(address, relay.NewPool(relay.PoolConfig{
		Address: address, Dial: e.config.Dial, DialTimeout: e.config.DialTimeout,
	}))
	return pool.(*relay.Pool)
}

func (e *Edge) budget(service string) *retry.Budget {
	if budget, ok := e.budgets.Load(service); ok {
		return budget.(*retry.Budget)
	}
	budget, _ := e.budgets.LoadOrStore(service, retry.NewBudget(e.config.Retry))
	return budget.(*retry.Budget)
}
