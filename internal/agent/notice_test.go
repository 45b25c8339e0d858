package agent

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/relay"
)

// rateRecorder is a limiter that records the limits it is given.
type rateRecorder struct {
	slotLimiter
	rates []relay.Notice
}

func (r *rateRecorder) SetRate(rate float64, limited bool) {
	r.rates = append(r.rates, relay.Notice{RateLimit: rate, Limited: limited})
}

func (r *rateRecorder) RateWait() time.Duration { return 0 }

func (r *rateRecorder) Acquire(ctx context.Context, a AdmitRequest) (Permit, error) {
	return r.slotLimiter.Acquire(ctx, a)
}

func limitOf(rate float64) relay.Notice { return relay.Notice{RateLimit: rate, Limited: true} }

// Guards against a restarted node that takes the highest or oldest of the limits that edges know, and against an edge whose
// knowledge replaces what the target itself has stated.
func TestEdgesTellALimitUntilTheTargetAnswers(t *testing.T) {
	var s noticeState
	r := &rateRecorder{}
	now := time.Unix(1000, 0)
	require.True(t, s.adopt(limitOf(3), r, now))
	s.adopt(limitOf(5), r, now)
	s.adopt(limitOf(2), r, now)
	require.Equal(t, []relay.Notice{limitOf(3), limitOf(2)}, r.rates)
	s.observe(limitOf(4), r, now)
	s.adopt(limitOf(1), r, now)
	require.Equal(t, limitOf(4), s.current())
	s.observe(relay.Notice{}, r, now)
	s.adopt(limitOf(1), r, now)
	require.Equal(t, []relay.Notice{limitOf(3), limitOf(2), limitOf(4), {}}, r.rates)
}

// Guards against a target that takes requests again because one of its answers does not repeat that it leaves, and against a
// log line for each answer of a target whose limit keeps changing.
func TestNoticesOfOneTarget(t *testing.T) {
	var s noticeState
	r := &rateRecorder{}
	now := time.Unix(1000, 0)
	require.False(t, s.observe(relay.Notice{}, r, now), "a target that states nothing")
	require.True(t, s.observe(relay.Notice{Leaving: true}, r, now))
	require.False(t, s.observe(relay.Notice{}, r, now))
	require.True(t, s.current().Leaving)
	lines := 0
	for i := range 100 {
		if s.observe(limitOf(float64(i)), r, now.Add(time.Duration(i)*10*time.Millisecond)) {
			lines++
		}
	}
	require.LessOrEqual(t, lines, 2)
	require.True(t, s.malformed(now))
	require.False(t, s.malformed(now.Add(time.Millisecond)))
	require.Equal(t, limitOf(99), r.rates[len(r.rates)-1])
}
