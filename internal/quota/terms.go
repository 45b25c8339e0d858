package quota

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// defaultWindow is the window of deployments that state none.
	defaultWindow = 5 * time.Second
	// minLife leaves a token the time to reach the node that needs it.
	minLife = 500 * time.Millisecond
	// maxLife bounds the tokens that an account can save up far below its rate, unless they are fewer than minSaved.
	maxLife = 30 * time.Second
	// minSaved is the number of tokens that even the rarest ones live long enough to add up to; a request needs a whole one.
	minSaved = 2
	// longestLife bounds a duration that is computed from a tiny rate.
	longestLife = 24 * time.Hour
	// roundingMargin covers the rounding of amounts and times.
	roundingMargin = time.Millisecond
)

// Bounds holds how far the requests of an account may exceed its quota.
type Bounds struct {
	// Window is the time over which requests are counted; default 5 s.
	Window time.Duration
	// Overage is the tolerated excess as a fraction of the quota, and Slack the number of requests tolerated beyond it.
	Overage, Slack float64
}

// Terms holds what a quota allows: tokens are created at Rate and expire after Life.
type Terms struct {
	// Rate is the number of tokens per second of the whole fleet.
	Rate float64
	// Life is the time after its creation for which a token may be used.
	Life time.Duration
}

// Terms returns the terms under which Rate x (Window + Life) does not exceed what the quota tolerates in one window.
func (b Bounds) Terms(q model.Quota) Terms {
	window := b.Window.Seconds()
	allowed := (q.Rate*window+q.Burst)*(1+b.Overage) + b.Slack
	life := seconds((allowed-q.Rate*window)/q.Rate) - roundingMargin
	if life >= minLife {
		return Terms{Rate: q.Rate, Life: min(life, max(maxLife, seconds(minSaved/q.Rate)))}
	}
	return Terms{Rate: allowed / (window + (minLife + roundingMargin).Seconds()), Life: minLife}
}

// lowered returns the fraction of an amount that remains when the terms change, and the change of its expiry; a higher
// quota applies to new tokens only.
func (t Terms) lowered(next Terms) (scale float64, earlier time.Duration) {
	return min(1, next.Rate/t.Rate), max(0, t.Life-next.Life)
}

func (t Terms) grain() time.Duration { return t.Life / 32 }

// seconds converts to a duration; an excessive value becomes longestLife.
func seconds(s float64) time.Duration {
	if s > longestLife.Seconds() {
		return longestLife
	}
	return time.Duration(s * float64(time.Second))
}

func (b Bounds) withDefaults() Bounds {
	if b.Window <= 0 {
		b.Window = defaultWindow
	}
	return b
}
