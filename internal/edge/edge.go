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

// poolCheck is the interval at which expired idle connections are closed.
const poolCheck = 10 * time.Second

// Edge serves the requests of callers.
type Edge struct {
	config  Config
	routes  router.TableHolder
	signer  *relay.Signer
	pools   sync.Map // relay address to *relay.Pool
	budgets sync.Map // service name to *retry.Budget
	leaving atomic.Bool
	// ending is done when requests in flight are given up, because the process ends.
	ending   context.Context
	giveUp   context.CancelFunc
	repeats  repeats
	sizes    sizes
	inFlight atomic.Int64
	counters counters
	began    time.Time
	stop     chan struct{}
	stopped  atomic.Bool
	group    conc.WaitGroup
}

// New starts an edge; Close stops it.
func New(c Config) (*Edge, error) {
	e := &Edge{config: c.withDefaults(), signer: relay.NewSigner(c.Secret, nil), stop: make(chan struct{})}
	e.began = e.config.Clock.Now()
	e.ending, e.giveUp = context.WithCancel(context.Background())
	ticks := e.config.Clock.Subscribe(poolCheck)
	e.group.Go(func() { e.watchPools(ticks) })
	return e, nil
}

// SetRoutes replaces the route table.
func (e *Edge) SetRoutes(t *router.Table) {
	e.routes.Store(t)
}

// SetLeaving makes answers carry `Connection: close`, because the node shuts down; requests are still served.
func (e *Edge) SetLeaving(leaving bool) {
	e.leaving.Store(leaving)
}

// AbortInFlight answers the requests in flight with what is known of them, because the process ends.
func (e *Edge) AbortInFlight() {
	e.giveUp()
}

// InFlight returns the number of requests that are not answered yet.
func (e *Edge) InFlight() int {
	return int(e.inFlight.Load())
}

// Close stops the background work and closes idle connections; requests in flight go on.
func (e *Edge) Close() error {
	if e.stopped.Swap(true) {
		return nil
	}
	close(e.stop)
	e.giveUp()
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
	if !e.config.NegotiateAdmission && strings.HasPrefix(r.URL.Path, ownPaths) {
		e.serveOwn(w, r)
		return
	}
	q := &request{edge: e, w: w, r: r, began: e.config.Clock.Now()}
	q.serve()
	q.note()
	if q.abort {
		q.breakOff()
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

// expirePools closes expired connections and forgets agents without any, since nodes come and go all day.
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
