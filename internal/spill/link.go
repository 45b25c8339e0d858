package spill

import "time"

const (
	// roundTripGain is the weight of a new round trip in the moving average.
	roundTripGain = 1.0 / 8
	// fastestMaxAge is the age at which the fastest round trip is measured anew.
	fastestMaxAge = time.Minute
	// minFastest keeps the noise of a short link from counting as a queue.
	minFastest = 10 * time.Millisecond
	// maxStretch bounds the factor by which a slow link raises the cost.
	maxStretch = 8
)

// assumedRoundTrip is used until the first reply.
var assumedRoundTrip = [tierCount]time.Duration{Region: 5 * time.Millisecond, Remote: 25 * time.Millisecond}

// link estimates the queue between the node and a tier from round trips of short messages.
type link struct {
	recent, fastest time.Duration
	fastestAt       time.Time
}

func (l *link) observe(now time.Time, roundTrip time.Duration) {
	if l.fastest == 0 || roundTrip < l.fastest || now.Sub(l.fastestAt) > fastestMaxAge {
		l.fastest, l.fastestAt = roundTrip, now
	}
	if l.recent == 0 {
		l.recent = roundTrip
	}
	l.recent += time.Duration(roundTripGain * float64(roundTrip-l.recent))
}

func (l *link) usual(tier Tier) time.Duration {
	if l.recent == 0 {
		return assumedRoundTrip[tier]
	}
	return l.recent
}

// stretch is the factor by which recent round trips exceed the fastest one.
func (l *link) stretch() float64 {
	if l.recent == 0 {
		return 1
	}
	fastest := max(l.fastest, minFastest)
	return max(1, min(maxStretch, float64(l.recent)/float64(fastest)))
}
