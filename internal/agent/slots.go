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

// slots admits as many requests as the target has slots; nobody waits.
type slots struct {
	limit    int64
	inFlight atomic.Int64
}

func newSlots(target model.Target, _ model.ServiceSpec) Limiter {
	return &slots{limit: int64(target.Slots)}
}

// Acquire takes a slot or fails at once.
func (s *slots) Acquire(context.Context, AdmitRequest) (Permit, error) {
	if s.inFlight.Add(1) > s.limit {
		s.inFlight.Add(-1)
		return nil, errNoSlot
	}
	return s, nil
}

// Release gives the slot back.
func (s *slots) Release(Result) {
	s.inFlight.Add(-1)
}

// Load returns the number of taken slots and their limit.
func (s *slots) Load() relay.Load {
	return relay.Load{InFlight: int(s.inFlight.Load()), Limit: int(s.limit)}
}
