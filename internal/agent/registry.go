package agent

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Errors that refuse an announcement.
var (
	errStale   = eris.New("a newer incarnation of this target has announced itself; restart the target")
	errUnknown = eris.New("no such target on this node; announce it first")
)

// registry holds the targets on this VM. Readers load the map without a lock; writers replace it.
type registry struct {
	current atomic.Pointer[map[targetKey]*localTarget]
	mu      sync.Mutex

	newLimiter func(model.Target, model.ServiceSpec) Limiter
	dial       relay.DialFunc
}

func newRegistry(c Config) *registry {
	r := &registry{newLimiter: c.NewLimiter, dial: c.Dial}
	r.current.Store(&map[targetKey]*localTarget{})
	return r
}

func (r *registry) find(service, id string) *localTarget {
	return (*r.current.Load())[targetKey{service: service, id: id}]
}

func (r *registry) all() []*localTarget {
	return slices.Collect(maps.Values(*r.current.Load()))
}

// targets returns all targets, sorted by reference.
func (r *registry) targets() []model.Target {
	targets := make([]model.Target, 0)
	for _, l := range r.all() {
		targets = append(targets, l.model())
	}
	slices.SortFunc(targets, func(a, b model.Target) int { return a.Ref.Compare(b.Ref) })
	return targets
}

// announce adds or refreshes a target and reports whether the change must be published; it fails with errStale.
func (r *registry) announce(next *localTarget, now time.Time) (changed bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.find(next.target.Ref.Service, next.target.Ref.ID)
	switch {
	case known == nil || next.target.Ref.Incarnation > known.target.Ref.Incarnation:
		next.shared = &sharedState{liveness: newLivenessMonitor(r.dial, next.address)}
		next.shared.announced.Store(now.UnixNano())
		next.limiter = r.newLimiter(next.target, next.spec)
		next.pool = r.newPool(next.address)
		r.replace(next)
		if known != nil {
			known.pool.Close()
			known.shared.liveness.close()
		}
		return true, nil
	case next.target.Ref.Incarnation < known.target.Ref.Incarnation:
		return false, errStale
	}
	known.shared.announced.Store(now.UnixNano())
	known.shared.dropOverdue(now)
	if known.equal(next) {
		return false, nil
	}
	next.shared, next.pool = known.shared, known.pool
	next.limiter = r.reconfigure(known.limiter, next)
	if known.address != next.address {
		next.pool = r.newPool(next.address)
		defer known.pool.Close()
	}
	r.replace(next)
	return true, nil
}

// reconfigure keeps a limiter that can change, because a new one does not know the requests in flight.
func (r *registry) reconfigure(limiter Limiter, next *localTarget) Limiter {
	if c, ok := limiter.(Configurable); ok {
		c.Configure(next.target.Slots, next.spec)
		return limiter
	}
	limiter = r.newLimiter(next.target, next.spec)
	setRate(limiter, next.shared.notice.current())
	return limiter
}

// withdraw removes a target; it fails with errUnknown.
func (r *registry) withdraw(key targetKey) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.find(key.service, key.id)
	if l == nil {
		return errUnknown
	}
	r.remove(l)
	return nil
}

// removeIncarnation removes this incarnation of a target, if it is still registered.
func (r *registry) removeIncarnation(l *localTarget) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.find(l.target.Ref.Service, l.target.Ref.ID)
	if known == nil || known.target.Ref != l.target.Ref {
		return false
	}
	r.remove(known)
	return true
}

// expire removes and returns the targets whose announcements have stopped.
func (r *registry) expire(now time.Time, expiry time.Duration) []*localTarget {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []*localTarget
	for _, l := range r.all() {
		if l.expired(now, expiry) {
			r.remove(l)
			gone = append(gone, l)
		}
	}
	return gone
}

func (r *registry) replace(l *localTarget) {
	next := maps.Clone(*r.current.Load())
	next[l.key()] = l
	r.current.Store(&next)
}

func (r *registry) remove(l *localTarget) {
	// A request that already found the target must be refused like any other to a draining target.
	l.shared.draining.Store(true)
	next := maps.Clone(*r.current.Load())
	delete(next, l.key())
	r.current.Store(&next)
	l.pool.Close()
	l.shared.liveness.close()
}

func (r *registry) newPool(address string) *relay.Pool {
	return relay.NewPool(relay.PoolConfig{Address: address, Dial: r.dial, DialTimeout: targetDialTimeout})
}
