package agent

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// errNoSlot refuses a request while all slots are taken.
var errNoSlot = eris.New("all slots of the target are taken; try another target")

// slotLimiter admits as many requests as the target has slots; no request waits.
type slotLimiter struct {
	limit    atomic.Int64
	inFlight atomic.Int64
}

func newSlotLimiter(target model.Target, _ model.ServiceSpec) Limiter {
	s := &slotLimiter{}
	s.limit.Store(int64(target.Slots))
	return s
}

// Configure changes the number of slots.
func (s *slotLimiter) Configure(limit int, _ model.ServiceSpec) {
	s.limit.Store(int64(limit))
}

// Acquire takes a slot or fails at once.
func (s *slotLimiter) Acquire(context.Context, AdmitRequest) (Permit, error) {
	if s.inFlight.Add(1) > s.limit.Load() {
		s.inFlight.Add(-1)
		return nil, errNoSlot
	}
	return s, nil
}

// Release frees the slot.
func (s *slotLimiter) Release(Result) {
	s.inFlight.Add(-1)
}

// Load returns the number of taken slots and their limit.
func (s *slotLimiter) Load() relay.Load {
	return relay.Load{InFlight: int(s.inFlight.Load()), Limit: int(s.limit.Load())}
}
