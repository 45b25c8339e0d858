package agent

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// targetDialTimeout bounds connecting to a target, which runs on the same VM.
const targetDialTimeout = 2 * time.Second

// crashCheckTimeout bounds the connection attempt that distinguishes a dead target from one that only broke a
// connection.
const crashCheckTimeout = 500 * time.Millisecond

// refusesConnections is the logged reason for removing a target that has died.
const refusesConnections = "target refuses connections"

// Agent admits relayed requests to the targets on this VM.
type Agent struct {
	config   Config
	registry *registry
	signer   *relay.Signer
	leaving  atomic.Bool
	inFlight atomic.Int64
	// suspectRuns is set while a suspect request runs or asks for its trial; there is at most one at a time.
	suspectRuns atomic.Bool
	running     running
	departures  departures
	supplanted  supplanted
	parents     parents
	pauses      *pauseDetector
	publishing  sync.Mutex
	stop        chan struct{}
	stopped     atomic.Bool
	group       conc.WaitGroup
}

// New starts an agent; Close stops it.
func New(c Config) (*Agent, error) {
	c = c.withDefaults()
	a := &Agent{config: c, registry: newRegistry(c), signer: relay.NewSigner(c.Secret, c.Accepted), stop: make(chan struct{})}
	a.pauses = newPauseDetector(c.Clock)
	pauseTicks, ticks := c.Clock.Subscribe(pauseCheckInterval), c.Clock.Subscribe(expiryCheckInterval)
	a.group.Go(func() { a.watchPauses(pauseTicks) })
	a.group.Go(func() { a.watchExpiry(ticks) })
	return a, nil
}

// NewServer returns the HTTP server for a relay listener.
func NewServer(a *Agent, logger log.Logger) *http.Server {
	return relay.NewServer(a, relay.RelayHeaderBytes, logger)
}

// Targets returns the targets on this VM, sorted by reference.
func (a *Agent) Targets() []model.Target {
	return a.registry.targets()
}

// InFlight returns the number of relayed requests without a response.
func (a *Agent) InFlight() int {
	return int(a.inFlight.Load())
}

// IsRunning reports whether a request with the fingerprint is running at a target.
func (a *Agent) IsRunning(fingerprint uint64) bool {
	return a.running.has(fingerprint)
}

// SetLeaving makes the agent refuse new requests because the node shuts down.
func (a *Agent) SetLeaving(leaving bool) {
	a.leaving.Store(leaving)
}

// Drain marks a target as draining, as if the target had requested it.
func (a *Agent) Drain(service, id string) error {
	changed, err := a.drain(targetKey{service: service, id: id})
	if changed {
		a.publish()
	}
	return err
}

// Close stops the background work and closes idle connections; requests in flight continue.
func (a *Agent) Close() error {
	if a.stopped.Swap(true) {
		return nil
	}
	close(a.stop)
	a.group.Wait()
	for _, l := range a.registry.all() {
		l.pool.Close()
		l.shared.liveness.close()
	}
	return nil
}

func (a *Agent) watchExpiry(ticks *timer.Subscription) {
	defer ticks.Stop()
	for {
		select {
		case <-a.stop:
			return
		case now := <-ticks.C:
			a.expire(now)
		}
	}
}

func (a *Agent) expire(now time.Time) {
	for _, l := range a.registry.all() {
		l.pool.CloseExpired(now)
	}
	gone := a.registry.expire(now, a.config.Expiry)
	for _, l := range gone {
		_ = level.Warn(a.config.Logger).Log("msg", "target stopped announcing itself", "service",
			l.target.Ref.Service, "target", l.target.Ref.ID)
	}
	if len(gone) > 0 {
		a.publish()
	}
}

// crashed reports whether the target of a broken exchange is dead: it closed the connections that carry no requests, or
// it refuses new ones. The request then becomes a suspect.
func (a *Agent) crashed(x *exchange) bool {
	if !x.local.shared.liveness.died() && !a.refuses(x) {
		return false
	}
	a.removeTarget(x.local, refusesConnections)
	// The request ended with its target. If it still counted as running, its own trial would not be granted.
	x.uncountRunning()
	a.reportCrash(x.local, x.suspect)
	return true
}

// refuses reports whether the target refuses a new connection.
func (a *Agent) refuses(x *exchange) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	conn, err := x.local.pool.Get(ctx, relay.ConnNew)
	if err == nil {
		conn.ReleaseUnused()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// removeTarget removes a target; its next announcement adds it again.
func (a *Agent) removeTarget(l *localTarget, reason string) {
	if !a.registry.removeIncarnation(l) {
		return
	}
	_ = level.Warn(a.config.Logger).Log("msg", "target removed", "reason", reason, "service",
		l.target.Ref.Service, "target", l.target.Ref.ID, "incarnation", l.target.Ref.Incarnation)
	a.publish()
}

// publish reports the targets. Reports are serialized so that the last one is the newest.
func (a *Agent) publish() {
	if a.config.OnTargets == nil {
		return
	}
	a.publishing.Lock()
	defer a.publishing.Unlock()
	a.config.OnTargets(a.registry.targets())
}

func (a *Agent) serviceSpec(name string) (model.ServiceSpec, bool) {
	if a.config.View == nil {
		return model.ServiceSpec{Name: name}, true
	}
	v := a.config.View.Load()
	if v == nil {
		return model.ServiceSpec{Name: name}, true
	}
	s := v.Service(name)
	if s == nil {
		return model.ServiceSpec{}, false
	}
	return s.Spec, true
}

// idempotent reports whether the route is idempotent in the current configuration.
func (a *Agent) idempotent(service, route string) bool {
	if a.config.View == nil {
		return false
	}
	v := a.config.View.Load()
	if v == nil {
		return false
	}
	s := v.Service(service)
	if s == nil {
		return false
	}
	for i := range s.Spec.Routes {
		if s.Spec.Routes[i].Name == route {
			return s.Spec.Routes[i].Idempotent
		}
	}
	return false
}

func (a *Agent) newLocalTarget(body announcement, spec model.ServiceSpec) *localTarget {
	target := model.Target{
		Ref:  model.TargetRef{Service: body.Service, ID: body.ID, Incarnation: body.Incarnation},
		Node: a.config.Self, Slots: body.Slots, State: model.TargetServing,
	}
	return &localTarget{target: target, address: body.Address, spec: spec}
}
