package agent

import (
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// local is a target on this VM. The registry replaces it as a whole when its announcement changes; counters and
// connections are carried over.
type local struct {
	target  model.Target
	address string
	spec    model.ServiceSpec
	limiter Limiter
	pool    *relay.Pool
	shared  *shared
}

// shared is the part of a target that stays for its whole incarnation.
type shared struct {
	draining  atomic.Bool
	inFlight  atomic.Int64
	announced atomic.Int64
	// sequence is that of the latest heartbeat.
	sequence atomic.Uint64
	// sentinel tells whether the process of this incarnation has died.
	sentinel *sentinel

	mu sync.Mutex
	// reported are the fingerprints that were in flight when the target died.
	reported map[uint64]struct{}
	// abandoned are the latest requests that were given up, in the order of time.
	abandoned []abandonedRequest
}

type localKey struct {
	service string
	id      string
}

func (l *local) key() localKey {
	return localKey{service: l.target.Ref.Service, id: l.target.Ref.ID}
}

func (l *local) state() model.TargetState {
	if l.shared.draining.Load() {
		return model.TargetDraining
	}
	return model.TargetServing
}

func (l *local) model() model.Target {
	t := l.target
	t.State = l.state()
	return t
}

func (l *local) expired(now time.Time, expiry time.Duration) bool {
	return now.Sub(time.Unix(0, l.shared.announced.Load())) > expiry
}

// same reports whether two announcements of one incarnation say the same.
func (l *local) same(other *local) bool {
	return l.target.Slots == other.target.Slots && l.address == other.address && reflect.DeepEqual(l.spec, other.spec)
}

// report notes a fingerprint that was in flight when the target died; it returns false when it is noted already.
func (s *shared) report(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.reported[fingerprint]; known {
		return false
	}
	if s.reported == nil {
		s.reported = make(map[uint64]struct{})
	}
	s.reported[fingerprint] = struct{}{}
	return true
}
