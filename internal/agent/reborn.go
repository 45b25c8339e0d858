package agent

import (
	"sync"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// MinHeartbeatSpacing is the least time between two heartbeats that show that a target is alive; targets send one every 1.5 s.
const MinHeartbeatSpacing = time.Second

// LifeSign is a heartbeat that may be a late one of a target that has ended.
type LifeSign struct {
	Sequence uint64
	Arrived  time.Time
}

// IsConfirmedBy reports whether a heartbeat with the sequence that arrives now shows that the target lives: late ones arrive
// twice, or several at once.
func (s LifeSign) IsConfirmedBy(sequence uint64, now time.Time) bool {
	return sequence > s.Sequence && now.Sub(s.Arrived) >= MinHeartbeatSpacing
}

// supplanted is the latest run of a target that gave way to one with a lower incarnation, which is the time of its start. Either
// the clock has jumped back and the run has ended, or the heartbeat of the other run was a late one. It is taken for alive again
// after two heartbeats without one of the other run between them.
type supplanted struct {
	mu  sync.Mutex
	ref model.TargetRef
	// sign is its first heartbeat since then or since the latest one of the other run; its time is zero if there is none.
	sign LifeSign
}

func (s *supplanted) set(ref model.TargetRef, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ref, s.sign = ref, LifeSign{Sequence: sequence}
}

// get returns the run; it is zero if there is none.
func (s *supplanted) get() model.TargetRef {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ref
}

// holds reports whether a heartbeat of the target must have no effect, because it may be a late one of the run.
func (s *supplanted) holds(ref model.TargetRef, sequence uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ref.Service != ref.Service || s.ref.ID != ref.ID || ref.Incarnation > s.ref.Incarnation:
		return false
	case ref.Incarnation < s.ref.Incarnation:
		s.sign.Arrived = time.Time{}
		return false
	case s.sign.Arrived.IsZero():
		if sequence > s.sign.Sequence {
			s.sign = LifeSign{Sequence: sequence, Arrived: now}
		}
		return true
	case !s.sign.IsConfirmedBy(sequence, now):
		return true
	}
	s.ref = model.TargetRef{}
	return false
}

// supplant removes the registered run of a target if the heartbeat is one of a run with a lower incarnation that drains. Its
// sender takes the response for an acknowledgement, so that no request may reach the target, whichever of the two runs.
func (a *Agent) supplant(ref model.TargetRef, h Announcement) {
	known := a.registry.find(ref.Service, ref.ID)
	if !h.Draining || known == nil || known.target.Ref.Incarnation <= ref.Incarnation {
		return
	}
	a.supplanted.set(known.target.Ref, known.shared.sequence.Load())
	a.removeTarget(known, "a run that started earlier by its clock drains")
}
