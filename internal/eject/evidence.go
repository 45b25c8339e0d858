package eject

import (
	"math/bits"
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// sample is the duration of one good request and its end in Unix nanoseconds.
type sample struct {
	at   int64
	took time.Duration
}

// classEvidence holds the observations of one request class at one target.
type classEvidence struct {
	// samples is a ring that grows to maxWindow; one sample per sampleSpacing is kept, so that it covers several seconds
	// at any rate.
	samples []sample
	count   int
	// errors counts the failures in a row; outcomes holds the last results, 1 for a failure.
	errors   int
	outcomes uint64
	seen     int
	lastAt   time.Time
	lastOK   time.Time
	lastFail time.Time
	// pace is that of the last good request.
	pace pace
	// baseline is the slow average of the target's own durations in seconds.
	baseline      float64
	baselineCount int
	inFlight      int
	oldestAge     time.Duration
	secondAge     time.Duration
	reportedAt    time.Time
	medianOf      medianCache
}

// pace tells whether a good request took an unusual time.
type pace uint8

const (
	paceUnknown pace = iota
	paceFast
	paceSlow
)

type medianCache struct {
	count, window int
	value         time.Duration
}

// evidence holds the observations of one target.
type evidence struct {
	classes map[string]*classEvidence
	resets  int
	paths   int
	lastAt  time.Time
	lastOK  time.Time
	// good counts the good results in a row, of the class that proves the recovery if it is set.
	good    int
	proving string
	// bad tells that a bad result was seen since the evidence was reset.
	bad bool
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

// record takes one result; slow tells that it took too long for its class, gain is its share in the baseline.
func (e *evidence) record(m ResultMsg, slow bool, gain float64) {
	e.lastAt = m.Now
	if m.Kind == KindPathFailure {
		e.paths++
		e.spoil()
		return
	}
	e.paths = 0
	c := e.class(m.Class)
	if m.Now.Sub(c.lastAt) > evidenceMaxAge {
		c.seen = 0
	}
	c.lastAt = m.Now
	c.seen = min(c.seen+1, maxWindow)
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
		e.spoil()
	case e.proving == "" || e.proving == m.Class:
		e.good++
	}
}

func (e *evidence) spoil() {
	e.bad = true
	e.good = 0
}

func (c *classEvidence) recordFailure(now time.Time) {
	c.outcomes |= 1
	c.errors++
	c.lastFail = now
}

func (c *classEvidence) recordOK(m ResultMsg, gain float64) {
	c.errors = 0
	c.lastOK = m.Now
	at := m.Now.UnixNano()
	if c.count > 0 && at-c.samples[(c.count-1)%maxWindow].at < int64(sampleSpacing) {
		return
	}
	if len(c.samples) < maxWindow {
		c.samples = append(c.samples, sample{})
	}
	c.samples[c.count%maxWindow] = sample{at: at, took: m.Duration}
	c.count++
	c.learn(m.Duration.Seconds(), gain)
}

// release frees the samples of a class that is no longer used; it bounds the memory of an edge that sees all targets.
func (c *classEvidence) release() {
	c.samples, c.count, c.medianOf = nil, 0, medianCache{}
}

// learn moves the baseline; once it is usable, one long request counts as twice the baseline at most.
func (c *classEvidence) learn(seconds, gain float64) {
	c.baselineCount++
	if c.baselineCount <= baselineSamples {
		gain = 1 / float64(c.baselineCount)
	} else {
		seconds = min(seconds, 2*c.baseline)
	}
	c.baseline += (seconds - c.baseline) * gain
}

// reset forgets everything but the baselines, for a new start after a wait.
func (e *evidence) reset() {
	for name, c := range e.classes {
		e.classes[name] = &classEvidence{baseline: c.baseline, baselineCount: c.baselineCount}
	}
	*e = evidence{classes: e.classes}
}

// errorRatio returns the share of failures among the last window results, and whether there are that many.
func (c *classEvidence) errorRatio(window int) (float64, bool) {
	if c.seen < window {
		return 0, false
	}
	mask := ^uint64(0) >> (maxWindow - window)
	return float64(bits.OnesCount64(c.outcomes&mask)) / float64(window), true
}

// mixed reports whether a success came between the failures among the last window results. A few successes in a row then
// do not show that the target has recovered.
func (c *classEvidence) mixed(window int) bool {
	last := c.outcomes & (^uint64(0) >> (maxWindow - window))
	return last>>min(c.errors, maxWindow) != 0
}

// fresh reports whether requests still reach the target.
func (e *evidence) fresh(now time.Time) bool {
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

// median returns the median of the last window samples, and whether there are that many.
func (c *classEvidence) median(window int) (time.Duration, bool) {
	if c.count < window {
		return 0, false
	}
	if m := c.medianOf; m.count == c.count && m.window == window {
		return m.value, true
	}
	last := make([]time.Duration, 0, maxWindow)
	for i := c.count - window; i < c.count; i++ {
		last = append(last, c.samples[i%maxWindow].took)
	}
	c.medianOf = medianCache{count: c.count, window: window, value: middle(last)}
	return c.medianOf.value, true
}

// since appends the durations of the samples that ended at or after the time.
func (c *classEvidence) since(from time.Time, list []time.Duration) []time.Duration {
	for i := c.count - 1; i >= max(0, c.count-maxWindow); i-- {
		s := c.samples[i%maxWindow]
		if s.at < from.UnixNano() {
			break
		}
		list = append(list, s.took)
	}
	return list
}

// between returns the durations of the samples that ended from one moment up to another.
func (c *classEvidence) between(from, to time.Time) []time.Duration {
	list := c.since(from, nil)
	return list[min(len(list), len(c.since(to, nil))):]
}

func middle(list []time.Duration) time.Duration {
	slices.Sort(list)
	return list[len(list)/2]
}

// symptom is what the evidence of one target says before it is compared with the rest of the service.
type symptom struct {
	severity model.Severity
	class    string
	// strained tells that the target approaches a threshold of errors or age, slowish that of slowness; a common cause is
	// recognized by them.
	strained bool
	slowish  bool
	// failing tells that a class still fails at least half as often as the thresholds of errors demand.
	failing bool
}

func (s *symptom) raise(severity model.Severity, class string) {
	s.strained = s.strained || severity != model.SeveritySlow
	s.slowish = s.slowish || severity == model.SeveritySlow
	if severity > s.severity || severity == s.severity && class < s.class {
		s.severity, s.class = severity, class
	}
}

// hints reports whether the symptom says that the target may be affected by what slows or breaks others.
func (s symptom) hints(slowness bool) bool {
	return s.strained || slowness && s.slowish
}
