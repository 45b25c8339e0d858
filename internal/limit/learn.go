package limit

import (
	"math"
	"time"
)

const (
	// tolerance is the rise of the latency at full use that is taken as normal.
	tolerance = 1.5
	// baseGain and quickGain are the shares of a new sample in the slow baseline and in the latency at full use.
	baseGain  = 1.0 / 256
	quickGain = 1.0 / 16
	// baseSamples is the number of samples after which the baseline is usable.
	baseSamples = 20
	// learnEvery is the number of samples between two adjustments.
	learnEvery = 10
	// gradientMin bounds one adjustment downwards.
	gradientMin = 0.5
	// noiseErrors is the number of standard errors by which the latency must exceed the tolerance.
	noiseErrors = 2
)

// average is an exponential average of the logarithm of durations; logarithms keep rare long requests from ruling it.
type average struct {
	mean, variance float64
	count          int
}

func (a *average) add(x, gain float64) {
	a.count++
	gain = max(gain, 1/float64(a.count))
	d := x - a.mean
	a.mean += gain * d
	a.variance = (1 - gain) * (a.variance + gain*d*d)
}

func (a *average) standardError(gain float64) float64 {
	gain = max(gain, 1/float64(max(1, a.count)))
	return math.Sqrt(a.variance * gain / (2 - gain))
}

// learner lowers the limit when requests at full use take much longer than at low use.
type learner struct {
	slots int
	limit float64
	base  average
	quick average
	seen  int
}

// resize follows a change of the announced slots; the old samples belong to another size.
func (l *learner) resize(slots int) {
	if l.slots != slots {
		*l = learner{slots: slots, limit: float64(slots)}
	}
}

func (l *learner) value() int {
	return max(1, min(l.slots, int(math.Round(l.limit))))
}

// observe takes the duration of a request and the number in flight when it started, itself included.
func (l *learner) observe(d time.Duration, inFlight int) {
	x := math.Log(max(d.Seconds(), 1e-6))
	if inFlight <= max(1, l.slots/2) {
		l.base.add(x, baseGain)
	} else {
		l.quick.add(x, quickGain)
	}
	l.seen++
	if l.seen%learnEvery == 0 {
		l.adjust(inFlight)
	}
}

func (l *learner) adjust(inFlight int) {
	if l.base.count < baseSamples {
		return
	}
	noise := noiseErrors * (l.quick.standardError(quickGain) + l.base.standardError(baseGain))
	if l.quick.count >= learnEvery && inFlight > l.slots/2 {
		if excess := l.quick.mean - l.base.mean - math.Log(tolerance); excess > noise {
			l.limit = max(1, l.limit*max(gradientMin, math.Exp(-excess)))
			l.quick = average{}
			return
		}
	}
	l.limit = min(float64(l.slots), l.limit+1)
}
