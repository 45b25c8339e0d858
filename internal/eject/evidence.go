package eject

import (
	"math/bits"
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// sample is the duration of one successful request and its end in Unix nanoseconds.
type sample struct {
	at       int64
	duration time.Duration
}

// classEvidence holds the observations of one request class at one target.
type classEvidence struct {
	// samples is a ring buffer that grows to maxWindow; at most one sample per sampleSpacing is kept, so that it covers
	// several seconds at any request rate.
	samples     []sample
	sampleCount int
	// consecutiveErrors counts failures in a row; outcomes is a bitmap of the latest results in which 1 is a failure.
	consecutiveErrors int
	outcomes          uint64
	outcomeCount      int
	lastAt            time.Time
	lastOK            time.Time
	lastFail          time.Time
	// lastLatency classifies the duration of the last successful request.
	lastLatency latency
	// baseline is a slowly moving average of the target's own durations in seconds.
	baseline      float64
	baselineCount int
	inFlight      int
	oldestAge     time.Duration
	secondAge     time.Duration
	reportedAt    time.Time
	cachedMedian  medianCache
}

// latency classifies the duration of a successful request.
type latency uint8

const (
	latencyUnknown latency = iota
	latencyNormal
	latencySlow
)

type medianCache struct {
	count, window int
	value         time.Duration
}

// evidence holds the observations of one target.
type evidence struct {
	classes      map[string]*classEvidence
	resets       int
	pathFailures int
	lastAt       time.Time
	lastOK       time.Time
	// consecutiveSuccesses counts the successful results in a row that were not slow; those of classes other than
	// recoveryClass, if it is set, are not counted.
	consecutiveSuccesses int
	recoveryClass        string
	// badResultSeen tells that a failed or slow result was seen since the evidence was reset.
	badResultSeen bool
}

func (e *evidence) class(name string) *classEvidence {
	c := e.classes[name]
	if c == nil {
		c = &classEvidence{}
		if e.classes == nil {
			e.classes = make(map[string]*classEvidence)
		}
		e.classes[name] = c
	}
	return c
}

// record adds one result; slow tells that it took too long for its class, gain is its weight in the baseline.
func (e *evidence) record(m ResultMsg, slow bool, gain float64) {
	e.lastAt = m.Now
	if m.Kind == KindPathFailure {
		e.pathFailures++
		e.recordBad()
		return
	}
	e.pathFailures = 0
	c := e.class(m.Class)
	if m.Now.Sub(c.lastAt) > evidenceMaxAge {
		c.outcomeCount = 0
	}
	c.lastAt = m.Now
	c.outcomeCount = min(c.outcomeCount+1, maxWindow)
	c.outcomes <<= 1
	switch m.Kind {
	case KindOK:
		e.resets, e.lastOK = 0, m.Now
		c.recordOK(m, gain)
	case KindReset:
		e.resets++
		c.recordFailure(m.Now)
	default:
		e.resets = 0
		c.recordFailure(m.Now)
	}
	switch {
	case m.Kind != KindOK || slow:
		e.recordBad()
	case e.recoveryClass == "" || e.recoveryClass == m.Class:
		e.consecutiveSuccesses++
	}
}

func (e *evidence) recordBad() {
	e.badResultSeen = true
	e.consecutiveSuccesses = 0
}

func (c *classEvidence) recordFailure(now time.Time) {
	c.outcomes |= 1
	c.consecutiveErrors++
	c.lastFail = now
}

func (c *classEvidence) recordOK(m ResultMsg, gain float64) {
	c.consecutiveErrors = 0
	c.lastOK = m.Now
	at := m.Now.UnixNano()
	if c.sampleCount > 0 && at-c.samples[(c.sampleCount-1)%maxWindow].at < int64(sampleSpacing) {
		return
	}
	if len(c.samples) < maxWindow {
		c.samples = append(c.samples, sample{})
	}
	c.samples[c.sampleCount%maxWindow] = sample{at: at, duration: m.Duration}
	c.sampleCount++
	c.updateBaseline(m.Duration.Seconds(), gain)
}

// dropSamples frees the samples of an unused class; this bounds the memory of an edge that sends requests to all
// targets.
func (c *classEvidence) dropSamples() {
	c.samples, c.sampleCount, c.cachedMedian = nil, 0, medianCache{}
}

// updateBaseline updates the moving average; once it is usable, one long request counts as at most twice the baseline.
func (c *classEvidence) updateBaseline(seconds, gain float64) {
	c.baselineCount++
	if c.baselineCount <= baselineSamples {
		gain = 1 / float64(c.baselineCount)
	} else {
		seconds = min(seconds, 2*c.baseline)
	}
	c.baseline += (seconds - c.baseline) * gain
}

// reset clears everything except the baselines, for a fresh start after an ejection.
func (e *evidence) reset() {
	for name, c := range e.classes {
		e.classes[name] = &classEvidence{baseline: c.baseline, baselineCount: c.baselineCount}
	}
	*e = evidence{classes: e.classes}
}

// errorRatio returns the fraction of failures among the last window results, and whether there are that many results.
func (c *classEvidence) errorRatio(window int) (float64, bool) {
	if c.outcomeCount < window {
		return 0, false
	}
	mask := ^uint64(0) >> (maxWindow - window)
	return float64(bits.OnesCount64(c.outcomes&mask)) / float64(window), true
}

// hasInterleavedSuccess reports whether a success occurred between the failures among the last window results. In that
// case a few successes in a row do not show that the target has recovered.
func (c *classEvidence) hasInterleavedSuccess(window int) bool {
	last := c.outcomes & (^uint64(0) >> (maxWindow - window))
	return last>>min(c.consecutiveErrors, maxWindow) != 0
}

// receivesRequests reports whether requests still reach the target.
func (e *evidence) receivesRequests(now time.Time) bool {
	if !e.lastAt.IsZero() && now.Sub(e.lastAt) <= evidenceMaxAge {
		return true
	}
	for _, c := range e.classes {
		if c.inFlight > 0 {
			return true
		}
	}
	return false
}

// median returns the median of the last window samples, and whether there are that many samples.
func (c *classEvidence) median(window int) (time.Duration, bool) {
	if c.sampleCount < window {
		return 0, false
	}
	if m := c.cachedMedian; m.count == c.sampleCount && m.window == window {
		return m.value, true
	}
	last := make([]time.Duration, 0, maxWindow)
	for i := c.sampleCount - window; i < c.sampleCount; i++ {
		last = append(last, c.samples[i%maxWindow].duration)
	}
	c.cachedMedian = medianCache{count: c.sampleCount, window: window, value: medianDuration(last)}
	return c.cachedMedian.value, true
}

// appendSince appends the durations of the samples that ended at or after the given time.
func (c *classEvidence) appendSince(from time.Time, list []time.Duration) []time.Duration {
	for i := c.sampleCount - 1; i >= max(0, c.sampleCount-maxWindow); i-- {
		s := c.samples[i%maxWindow]
		if s.at < from.UnixNano() {
			break
		}
		list = append(list, s.duration)
	}
	return list
}

// between returns the durations of the samples that ended in the interval from from up to, but not including, to.
func (c *classEvidence) between(from, to time.Time) []time.Duration {
	list := c.appendSince(from, nil)
	return list[min(len(list), len(c.appendSince(to, nil))):]
}

func medianDuration(list []time.Duration) time.Duration {
	slices.Sort(list)
	return list[len(list)/2]
}

// symptom summarizes the evidence of one target before it is compared with the rest of the service.
type symptom struct {
	severity model.Severity
	class    string
	// suspect tells that the target approaches a threshold of errors or age, suspectSlow that of slowness; they are
	// used to recognize a common cause.
	suspect     bool
	suspectSlow bool
	// stillFailing tells that a class still fails at least half as often as the error thresholds require.
	stillFailing bool
}

func (s *symptom) raise(severity model.Severity, class string) {
	s.suspect = s.suspect || severity != model.SeveritySlow
	s.suspectSlow = s.suspectSlow || severity == model.SeveritySlow
	if severity > s.severity || severity == s.severity && class < s.class {
		s.severity, s.class = severity, class
	}
}

// isSuspect reports whether the target is near or beyond a threshold of errors or request age or, if slowness is true,
// of latency. It is used to recognize a cause that affects several targets.
func (s symptom) isSuspect(slowness bool) bool {
	return s.suspect || slowness && s.suspectSlow
}
