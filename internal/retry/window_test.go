package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against retry storms: in any span of ten seconds, the retries to a service must not exceed the share of its
// first attempts plus the extra retries, however the requests are distributed over targets and time.
func TestTargetWindowsLimitServiceRetries(t *testing.T) {
	const (
		span    = 10 * time.Second
		ratio   = 0.2
		extra   = 58.0
		targets = 12
	)
	type arrival struct {
		at     time.Time
		repeat bool
	}
	rapid.Check(t, func(t *rapid.T) {
		windows := make([]*Window, targets)
		for i := range windows {
			windows[i] = NewWindow(span, ratio)
		}
		now := time.Unix(1000, 0)
		var arrivals []arrival
		for range rapid.IntRange(1, 600).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			w := windows[rapid.IntRange(0, targets-1).Draw(t, "target")]
			if rapid.Float64Range(0, 1).Draw(t, "kind") < 0.5 {
				w.CountFirst(now)
				arrivals = append(arrivals, arrival{at: now})
			} else if w.AllowRetry(now, extra/targets) {
				arrivals = append(arrivals, arrival{at: now, repeat: true})
			}
		}
		for i, begin := range arrivals {
			first, repeats := 0, 0
			// A bucket is a tenth of the span, so first attempts up to one bucket before the span count too.
			for _, a := range arrivals {
				if !a.repeat && a.at.After(begin.at.Add(-span/windowBuckets)) && a.at.Before(begin.at.Add(span)) {
					first++
				}
			}
			for _, a := range arrivals[i:] {
				if a.repeat && a.at.Before(begin.at.Add(span)) {
					repeats++
				}
			}
			require.LessOrEqual(t, float64(repeats), ratio*float64(first)+extra)
		}
	})
}

// Guards against a window that keeps expired attempts, or drops unexpired ones after a pause.
func TestWindowExpiresOldAttempts(t *testing.T) {
	w, now := NewWindow(10*time.Second, 0.1), time.Unix(1000, 0)
	for range 10 {
		w.CountFirst(now)
	}
	require.True(t, w.AllowRetry(now, 0))
	require.False(t, w.AllowRetry(now, 0))
	require.False(t, w.AllowRetry(now.Add(9*time.Second), 0))
	later := now.Add(time.Hour)
	require.False(t, w.AllowRetry(later, 0), "expired first attempts must not permit retries")
	for range 10 {
		w.CountFirst(later)
	}
	require.True(t, w.AllowRetry(later, 0))
}
