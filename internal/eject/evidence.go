package eject

import (
	"math/bits"
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// classEvidence holds the observations of one request class at one target.
type classEvidence struct {
	durations [maxWindow]time.Duration
	count     int
	lastAt    time.Time
	lastOK    time.Time
	// baseline is the slow average of the target's own durations in seconds; it is frozen while the target is unhealthy.
	baseline        float64
	baselineCount   int
	inFlight        int
	oldestAge       time.Duration
	oldestAt        time.Time
	medianCached    time.Duration
	medianCachedFor int
}

// evidence holds the observations of one target.
type evidence struct {
	classes     map[string]*classEvidence
	errors      int
	resets      int
	paths       int
	outcomes    uint64
	outcomeSeen int
	lastAt      time.Time
	// good counts the good results in a row.
	good int
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

// record takes one result; slow tells that it took too long for its class.
func (e *evidence) record(m ResultMsg, slow, learn bool) {
	e.lastAt = m.Now
	if m.Kind == KindPathFailure {
		e.paths++
		e.spoil()
		return
	}
	e.paths = 0
	e.outcomeSeen = min(e.outcomeSeen+1, maxWindow)
	e.outcomes <<= 1
	if m.Kind == KindOK {
		e.recordOK(m, slow, learn)
		return
	}
	e.outcomes |= 1
	e.errors++
	if m.Kind == KindReset {
		e.resets++
	} else {
		e.resets = 0
	}
	e.spoil()
}

func (e *evidence) spoil() {
	e.bad = true
	e.good = 0
}

func (e *evidence) recordOK(m ResultMsg, slow, learn bool) {
	e.errors, e.resets = 0, 0
	if slow {
		e.spoil()
	} else {
		e.good++
	}
	c := e.class(m.Class)
	c.durations[c.count%maxWindow] = m.Duration
	c.count++
	c.lastAt, c.lastOK = m.Now, m.Now
	if learn {
		c.learn(m.Duration.Seconds())
	}
}

func (c *classEvidence) learn(seconds float64) {
	c.baselineCount++
	gain := max(baselineGain, 1/float64(c.baselineCount))
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
func (e *evidence) errorRatio(window int) (float64, bool) {
	if e.outcomeSeen < window {
		return 0, false
	}
	mask := ^uint64(0) >> (maxWindow - window)
	return float64(bits.OnesCount64(e.outcomes&mask)) / float64(window), true
}

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

// median returns the median of the last window durations, and whether there are that many.
func (c *classEvidence) median(window int) (time.Duration, bool) {
	if c.count < window {
		return 0, false
	}
	if c.medianCachedFor == c.count {
		return c.medianCached, true
	}
	last := make([]time.Duration, 0, maxWindow)
	for i := c.count - window; i < c.count; i++ {
		last = append(last, c.durations[i%maxWindow])
	}
	slices.Sort(last)
	c.medianCached, c.medianCachedFor = last[window/2], c.count
	return c.medianCached, true
}

// age returns the present age of the oldest request in flight.
func (c *classEvidence) age(now time.Time) time.Duration {
	if c.inFlight == 0 {
		return 0
	}
	return c.oldestAge + now.Sub(c.oldestAt)
}

// symptom is what the evidence of one target says before it is compared with the rest of the service.
type symptom struct {
	severity model.Severity
	// suspicious tells that the target approaches a threshold; a common cause is recognized by it.
	suspicious bool
}

func (s *symptom) raise(severity model.Severity) {
	s.severity = max(s.severity, severity)
	s.suspicious = true
}
