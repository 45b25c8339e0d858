package agent

import (
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// localTarget is a target on this VM. The registry replaces it as a whole when its announcement changes; counters and
// connections are carried over.
type localTarget struct {
	target  model.Target
	address string
	spec    model.ServiceSpec
	limiter Limiter
	pool    *relay.Pool
	shared  *sharedState
}

// sharedState is the state of a target that lasts for its whole incarnation.
type sharedState struct {
	draining  atomic.Bool
	inFlight  atomic.Int64
	announced atomic.Int64
	// sequence is that of the latest heartbeat.
	sequence atomic.Uint64
	// notice is what the target states about itself.
	notice noticeState
	// uploads bounds the request bodies at the target.
	uploads uploads
	// liveness tells whether the process of this incarnation has died.
	liveness *livenessMonitor

	mu sync.Mutex
	// reported are the fingerprints that were in flight when the target died.
	reported map[uint64]struct{}
	// abandoned are the latest requests whose callers gave up, oldest first.
	abandoned []abandonedRequest
}

type targetKey struct {
	service string
	id      string
}

func (l *localTarget) key() targetKey {
	return targetKey{service: l.target.Ref.Service, id: l.target.Ref.ID}
}

func (l *localTarget) state() model.TargetState {
	if l.shared.draining.Load() {
		return model.TargetDraining
	}
	return model.TargetServing
}

func (l *localTarget) model() model.Target {
	t := l.target
	t.State = l.state()
	return t
}

func (l *localTarget) expired(now time.Time, expiry time.Duration) bool {
	return now.Sub(time.Unix(0, l.shared.announced.Load())) > expiry
}

// equal reports whether two announcements of one incarnation have the same content.
func (l *localTarget) equal(other *localTarget) bool {
	return l.target.Slots == other.target.Slots && l.address == other.address && reflect.DeepEqual(l.spec, other.spec)
}

// report records a fingerprint that was in flight when the target died; it returns false when it is already recorded.
func (s *sharedState) report(fingerprint uint64) bool {
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
