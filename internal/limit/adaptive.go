package limit

import (
	"math"
	"time"
)

const (
	// latencyTolerance is the factor by which the latency may rise at high concurrency without lowering the limit.
	latencyTolerance = 1.5
	// baselineGain and loadedGain are the weights of a new sample in the slow baseline and in the latency at high
	// concurrency.
	baselineGain = 1.0 / 256
	loadedGain   = 1.0 / 16
	// minBaselineSamples is the number of samples after which the baseline is usable.
	minBaselineSamples = 20
	// adjustInterval is the number of samples between two adjustments.
	adjustInterval = 10
	// minGradient bounds a single decrease of the limit.
	minGradient = 0.5
	// noiseStdErrors is the number of standard errors by which the latency must exceed the tolerance.
	noiseStdErrors = 2
)

// logAverage is an exponential moving average of the logarithm of durations; logarithms keep rare long requests from
// dominating it.
type logAverage struct {
	mean, variance float64
	count          int
}

func (a *logAverage) add(x, gain float64) {
	a.count++
	gain = max(gain, 1/float64(a.count))
	d := x - a.mean
	a.mean += gain * d
	a.variance = (1 - gain) * (a.variance + gain*d*d)
}

func (a *logAverage) standardError(gain float64) float64 {
	gain = max(gain, 1/float64(max(1, a.count)))
	return math.Sqrt(a.variance * gain / (2 - gain))
}

// adaptiveLimit lowers the limit when requests take much longer at high concurrency than at low concurrency.
type adaptiveLimit struct {
	slots    int
	limit    float64
	baseline logAverage
	loaded   logAverage
	samples  int
}

// resize applies a new number of announced slots; samples at the old number do not carry over.
func (l *adaptiveLimit) resize(slots int) {
	if l.slots != slots {
		*l = adaptiveLimit{slots: slots, limit: float64(slots)}
	}
}

func (l *adaptiveLimit) value() int {
	return max(1, min(l.slots, int(math.Round(l.limit))))
}

// observe records the duration of a request and the number in flight when it started, itself included.
func (l *adaptiveLimit) observe(d time.Duration, inFlight int) {
	x := math.Log(max(d.Seconds(), 1e-6))
	if inFlight <= max(1, l.slots/2) {
		l.baseline.add(x, baselineGain)
	} else {
		l.loaded.add(x, loadedGain)
	}
	l.samples++
	if l.samples%adjustInterval == 0 {
		l.adjust(inFlight)
	}
}

func (l *adaptiveLimit) adjust(inFlight int) {
	if l.baseline.count < minBaselineSamples {
		return
	}
	noise := noiseStdErrors * (l.loaded.standardError(loadedGain) + l.baseline.standardError(baselineGain))
	if l.loaded.count >= adjustInterval && inFlight > l.slots/2 {
		if excess := l.loaded.mean - l.baseline.mean - math.Log(latencyTolerance); excess > noise {
			l.limit = max(1, l.limit*max(minGradient, math.Exp(-excess)))
			l.loaded = logAverage{}
			return
		}
	}
	l.limit = min(float64(l.slots), l.limit+1)
}
