package eject

import (
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// reference holds the usual duration of one class by target.
type reference struct {
	medians []targetMedian
}

type targetMedian struct {
	target *target
	value  time.Duration
}

// references computes the medians per class of all targets with enough samples.
func (s *service) references() map[string]*reference {
	refs := make(map[string]*reference)
	for _, t := range s.targets {
		for name, c := range t.evidence.classes {
			value, ok := c.median(s.thresholds.MinSamples)
			if !ok {
				continue
			}
			if refs[name] == nil {
				refs[name] = &reference{}
			}
			refs[name].medians = append(refs[name].medians, targetMedian{target: t, value: value})
		}
	}
	return refs
}

// others returns the median of the other targets' medians, and whether there are enough of them.
func (r *reference) others(t *target) (time.Duration, bool) {
	if r == nil {
		return 0, false
	}
	values := make([]time.Duration, 0, len(r.medians))
	for _, m := range r.medians {
		if m.target != t {
			values = append(values, m.value)
		}
	}
	if len(values) < peersNeeded {
		return 0, false
	}
	slices.Sort(values)
	return values[len(values)/2], true
}

// usual returns the duration with which a target's class is compared: that of the others, or else its own baseline.
func (s *service) usual(t *target, class string) (time.Duration, bool) {
	if value, ok := s.refs[class].others(t); ok {
		return value, true
	}
	return t.ownBaseline(class)
}

func (t *target) ownBaseline(class string) (time.Duration, bool) {
	c := t.evidence.classes[class]
	if c == nil || c.baselineCount < baselineSamples {
		return 0, false
	}
	return time.Duration(c.baseline * float64(time.Second)), true
}

// tooSlow returns the duration from which a request of the class counts as slow.
func (s *service) tooSlow(t *target, class string, factor float64) (time.Duration, bool) {
	usual, ok := s.usual(t, class)
	if !ok {
		return 0, false
	}
	return s.scaled(usual, factor), true
}

func (s *service) scaled(usual time.Duration, factor float64) time.Duration {
	return time.Duration(factor*float64(usual)) + s.slack
}

// examine derives the symptom of one target from its evidence.
func (s *service) examine(t *target, now time.Time) symptom {
	var found symptom
	s.examineErrors(t, &found)
	for name, c := range t.evidence.classes {
		s.examineStall(t, name, c, now, &found)
		s.examineSlowness(t, name, c, now, &found)
	}
	return found
}

func (s *service) examineErrors(t *target, found *symptom) {
	e, limit := &t.evidence, s.thresholds.ConsecutiveErrors
	hint := max(1, limit/2)
	if e.errors >= hint || e.paths >= hint {
		found.suspicious = true
	}
	if e.resets >= max(2, hint) {
		found.raise(model.SeverityCrashed)
	}
	if e.paths >= limit {
		found.raise(model.SeverityStalled)
	}
	if e.errors >= limit {
		found.raise(model.SeverityFailing)
	}
	ratio, ok := e.errorRatio(s.thresholds.MinSamples)
	if ok && ratio >= s.thresholds.ErrorRatio {
		found.raise(model.SeverityFailing)
	}
	if ok && ratio >= s.thresholds.ErrorRatio/2 {
		found.suspicious = true
	}
}

// examineStall compares the age of what is in flight with the threshold, or with the class's usual time if longer.
func (s *service) examineStall(t *target, name string, c *classEvidence, now time.Time, found *symptom) {
	threshold := s.thresholds.StallAfter
	if slow, ok := s.tooSlow(t, name, s.thresholds.SlowFactor); ok {
		threshold = max(threshold, slow)
	}
	quiet := c.age(now)
	if !c.lastOK.IsZero() {
		quiet = min(quiet, now.Sub(c.lastOK))
	}
	if quiet >= threshold {
		found.raise(model.SeverityStalled)
	}
	if quiet >= threshold/2 {
		found.suspicious = true
	}
}

func (s *service) examineSlowness(t *target, name string, c *classEvidence, now time.Time, found *symptom) {
	median, ok := c.median(s.thresholds.MinSamples)
	if !ok || now.Sub(c.lastAt) > evidenceMaxAge {
		return
	}
	factor := s.thresholds.SlowFactor
	if limit, known := s.tooSlow(t, name, factor); known && median > limit {
		found.raise(model.SeveritySlow)
	}
	if own, known := t.ownBaseline(name); known && median > s.scaled(own, 1+(factor-1)/2) {
		found.suspicious = true
	}
}
