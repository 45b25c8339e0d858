package quota

import (
	"math"
	"time"
)

// rateWindow is the time over which rates are averaged.
const rateWindow = 2 * time.Second

// rate is the exponential average of events per second.
type rate struct {
	average float64
	at      time.Duration
}

func (r *rate) add(now time.Duration, events float64) {
	r.average = r.value(now) + events/rateWindow.Seconds()
	r.at = now
}

func (r *rate) value(now time.Duration) float64 {
	if r.average == 0 {
		return 0
	}
	return r.average * math.Exp(-float64(now-r.at)/float64(rateWindow))
}
