package agent

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// crashRecorder records the fingerprints that are reported as suspects of a crash.
type crashRecorder struct{ fingerprints []uint64 }

func (c *crashRecorder) Verdict(string, uint64) PoisonVerdict        { return PoisonClear }
func (c *crashRecorder) Trial(context.Context, Suspect) TrialVerdict { return TrialUnneeded }
func (c *crashRecorder) EndTrial(Suspect, bool)                      {}
func (c *crashRecorder) Crashed(_ model.TargetRef, s Suspect) {
	c.fingerprints = append(c.fingerprints, s.Fingerprint)
}

// Pattern: a target crashes and is back before any request reaches its node; the callers of the requests that it ran have
// left. Guards against a crash that is counted for none of them, and against counting one where a target has left as it
// said, or where it has outlived the deadline of the request.
func TestReplacedTargetHasCrashed(t *testing.T) {
	const deadline = 2 * time.Second
	for name, c := range map[string]struct {
		next     Announcement
		draining bool
		alive    time.Duration
		want     []uint64
	}{
		"same id":              {next: heartbeat("i-1", 200, 1, false), want: []uint64{7}},
		"new id":               {next: heartbeat("i-2", 200, 1, false), want: []uint64{7}},
		"alive before":         {next: heartbeat("i-2", 200, 1, false), alive: time.Second, want: []uint64{7}},
		"alive after":          {next: heartbeat("i-2", 200, 1, false), alive: 3 * time.Second},
		"had left":             {next: heartbeat("i-2", 200, 1, false), draining: true},
		"had left, same id":    {next: heartbeat("i-1", 200, 1, false), draining: true},
		"the same incarnation": {next: heartbeat("i-1", 100, 9, false)},
	} {
		t.Run(name, func(t *testing.T) {
			crashes, clock := &crashRecorder{}, timer.NewManual(time.Unix(1000, 0))
			a, err := New(Config{
				Self: model.NodeRef{ID: "n", Incarnation: 1}, SingleTarget: true, DisableLivenessConns: true, PoisonDetector: crashes, Clock: clock,
			})
			require.NoError(t, err)
			t.Cleanup(func() { _ = a.Close() })
			require.NoError(t, a.Announce(heartbeat("i-1", 100, 1, false)))
			a.registry.find("kassa", "i-1").shared.abandon(abandonedRequest{
				suspect: Suspect{Service: "kassa", Fingerprint: 7}, at: clock.Now(), deadline: clock.Now().Add(deadline),
			})
			clock.Advance(c.alive)
			require.NoError(t, a.Announce(heartbeat("i-1", 100, 2, c.draining)))
			require.NoError(t, a.Announce(c.next))
			require.Equal(t, c.want, crashes.fingerprints)
		})
	}
}
