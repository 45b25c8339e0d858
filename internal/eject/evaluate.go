package eject

import (
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// reference holds the recent median duration of one class for each target, from which the usual duration is derived.
type reference struct{ medians []targetMedian }

type targetMedian struct {
	target *target
	value  time.Duration
}

// refreshReferences updates the medians per class of the targets with results since the latest refresh. It visits all
// targets the first time and then only at long intervals, to free the samples of unused classes.
func (s *service) refreshReferences(now time.Time) {
	if !s.referencesAt.IsZero() && now.Sub(s.referencesAt) < referenceInterval {
		return
	}
	s.referencesAt = now
	all := s.references == nil || now.Sub(s.releasedAt) >= releaseInterval
	if all {
		s.releasedAt = now
	}
	if s.references == nil {
		s.references = make(map[string]*reference)
	}
	for _, t := range s.targets {
		if all || t.mediansStale {
			t.mediansStale = false
			s.updateMedians(t, now)
		}
	}
}

func (s *service) updateMedians(t *target, now time.Time) {
	for name, c := range t.evidence.classes {
		if now.Sub(c.lastAt) > samplesMaxAge && c.sampleCount > 0 {
			c.dropSamples()
		}
		value, ok := c.median(s.thresholds.MinSamples)
		if s.references[name] == nil {
			s.references[name] = &reference{}
		}
		s.references[name].set(t, value, ok)
	}
}

// set replaces the median of a target, or removes it if no median is known.
func (r *reference) set(t *target, value time.Duration, known bool) {
	i := slices.IndexFunc(r.medians, func(m targetMedian) bool { return m.target == t })
	switch {
	case known && i < 0:
		r.medians = append(r.medians, targetMedian{target: t, value: value})
	case known:
		r.medians[i].value = value
	case i >= 0:
		r.medians = slices.Delete(r.medians, i, i+1)
	}
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
	if len(values) < minPeers {
		return 0, false
	}
	return medianDuration(values), true
}

// slowLimit returns the duration above which a request of the class counts as slow, relative to the other targets or
// else to the target's own baseline.
func (s *service) slowLimit(t *target, class string) (time.Duration, bool) {
	usual, ok := s.references[class].others(t)
	if !ok {
		usual, ok = t.ownBaseline(class)
	}
	return s.scaled(usual, s.thresholds.SlowFactor), ok
}

func (t *target) ownBaseline(class string) (time.Duration, bool) {
	c := t.evidence.classes[class]
	if c == nil || c.baselineCount < baselineSamples {
		return 0, false
	}
	return time.Duration(c.baseline * float64(time.Second)), true
}

func (s *service) scaled(usual time.Duration, factor float64) time.Duration {
	return time.Duration(factor*float64(usual)) + s.slack
}

// examine derives the symptom of one target from its evidence.
func (s *service) examine(t *target, now time.Time) symptom {
	var found symptom
	suspectErrors := s.suspectErrors()
	if t.evidence.resets >= suspectErrors {
		found.raise(model.SeverityCrashed, "")
	}
	if t.evidence.pathFailures >= s.thresholds.ConsecutiveErrors {
		found.raise(model.SeverityStalled, "")
	}
	if t.evidence.pathFailures >= suspectErrors {
		found.suspect = true
	}
	for name, c := range t.evidence.classes {
		s.examineErrors(name, c, now, &found)
		s.examineStall(t, name, c, now, &found)
		s.examineSlowness(t, name, c, now, &found)
	}
	return found
}

// suspectErrors returns the number of errors in a row from which a target is suspect; a single error is noise.
func (s *service) suspectErrors() int { return max(2, s.thresholds.ConsecutiveErrors/2) }

// examineErrors derives the failing severity and the suspect flags. Failures that occurred while a common cause was
// assumed lead to an ejection only together with a later one; otherwise the failures of an outage would eject targets
// when that period ends.
func (s *service) examineErrors(name string, c *classEvidence, now time.Time, found *symptom) {
	age := now.Sub(c.lastFail)
	if c.lastFail.IsZero() || age > evidenceMaxAge {
		return
	}
	ratio, ok := c.errorRatio(s.thresholds.MinSamples)
	current := age <= failureMaxAge && c.lastFail.After(s.commonCauseUntil)
	if current && (c.consecutiveErrors >= s.thresholds.ConsecutiveErrors || ok && ratio >= s.thresholds.ErrorRatio) {
		found.raise(model.SeverityFailing, name)
	}
	if c.consecutiveErrors >= s.suspectErrors() || ok && ratio >= s.thresholds.ErrorRatio/2 {
		found.suspect = true
		found.stillFailing = found.stillFailing || age <= failingMaxAge
	}
}

// examineStall compares the age of in-flight requests with the threshold, or with the usual duration of the class if
// longer.
//
// A single request may hang for reasons of its own, so it must be singleRequestFactor times as old as two requests must
// be, and the target must not have completed any other request meanwhile. With two requests, only responses of the same
// class count, because a stalled target may still serve light requests.
func (s *service) examineStall(t *target, name string, c *classEvidence, now time.Time, found *symptom) {
	if c.inFlight == 0 {
		return
	}
	threshold := s.thresholds.StallAfter
	if slow, ok := s.slowLimit(t, name); ok {
		threshold = max(threshold, slow)
	}
	waited := now.Sub(c.reportedAt)
	stalledFor := min((c.oldestAge+waited)/singleRequestFactor, now.Sub(t.evidence.lastOK))
	if c.inFlight > 1 {
		stalledFor = max(stalledFor, min(c.secondAge+waited, now.Sub(c.lastOK)))
	}
	if stalledFor >= threshold {
		found.raise(model.SeverityStalled, name)
	}
	if stalledFor >= threshold/2 {
		found.suspect = true
	}
}

func (s *service) examineSlowness(t *target, name string, c *classEvidence, now time.Time, found *symptom) {
	if now.Sub(c.lastAt) > evidenceMaxAge {
		return
	}
	factor := s.thresholds.SlowFactor
	own, known := t.ownBaseline(name)
	if recent, ok := c.median(suspectSamples); ok && s.slowerThanBefore(t, name, recent) {
		found.suspectSlow = true
	}
	median, ok := c.median(s.thresholds.MinSamples)
	if !ok {
		return
	}
	limit, limited := s.slowLimit(t, name)
	if !limited || median <= limit {
		return
	}
	slow, compared := s.slowerThanOthers(t, name, c, now)
	if slow || !compared && s.useOwnBaseline && known && median > s.scaled(own, factor) {
		found.raise(model.SeveritySlow, name)
	}
}

// slowerThanBefore compares a duration with the target's own baseline, at half the increase that counts as slow.
func (s *service) slowerThanBefore(t *target, class string, duration time.Duration) bool {
	own, known := t.ownBaseline(class)
	return known && duration > s.scaled(own, 1+(s.thresholds.SlowFactor-1)/2)
}

// slowerThanOthers compares the target with the others over the same period, using the shortest one in which both have
// enough samples. Older samples of the others would make every target look slow when a common slowness begins.
func (s *service) slowerThanOthers(t *target, class string, c *classEvidence, now time.Time) (slow, compared bool) {
	for period := time.Second; period <= evidenceMaxAge; period *= 2 {
		from := now.Add(-period)
		mine := c.appendSince(from, nil)
		if len(mine) < s.thresholds.MinSamples {
			continue
		}
		var others []time.Duration
		peers := 0
		for _, o := range s.targets {
			if oc := o.evidence.classes[class]; o != t && oc != nil {
				before := len(others)
				if others = oc.appendSince(from, others); len(others) > before {
					peers++
				}
			}
		}
		if peers >= minPeers && len(others) >= minPeerSamples {
			return medianDuration(mine) > s.scaled(medianDuration(others), s.thresholds.SlowFactor), true
		}
	}
	return false, false
}

// peerHealth describes what the other targets of the service show about the cause of a symptom.
type peerHealth uint8

const (
	// peersUnknown means that too few other targets were observed.
	peersUnknown peerHealth = iota
	// peersHealthy means that most others are healthy, so the cause lies with the target.
	peersHealthy
	// peersSuspect means that too few others were observed, and at least one of them is affected.
	peersSuspect
	// peersAffected means that at least half of the others fail or are slow too.
	peersAffected
)

// checkPeers evaluates the results of the other targets since the symptom began; a class that succeeds at one target
// says nothing about another class that fails elsewhere.
//
// If too few other targets were observed, one affected target is enough to report peersSuspect, for which confirm
// requires a longer delay: a common cause reaches the busiest targets first.
func (s *service) checkPeers(t *target, class string, slowness bool, since time.Time) peerHealth {
	healthy, affected := 0, 0
	for _, o := range s.targets {
		switch {
		case o == t || o.State != model.TargetServing:
		case o.affected(slowness, since):
			affected++
		case !o.answered(class, since):
		case !slowness || o.evidence.classes[class].lastLatency == latencyNormal:
			healthy++
		case o.evidence.classes[class].lastLatency == latencySlow:
			affected++
		}
	}
	switch {
	case healthy+affected < minPeers && affected > 0:
		return peersSuspect
	case healthy+affected < minPeers:
		return peersUnknown
	case affected >= healthy:
		return peersAffected
	default:
		return peersHealthy
	}
}

// peerLatencyAround tells whether the other targets have their usual latency, before and since a sign of slowness. A
// claim of slowness needs this check: when a common slowness is near the threshold, only some agents claim it, their
// claims look like faults of single targets, and some remain for seconds after the slowness has ended.
func (s *service) peerLatencyAround(t *target, since, now time.Time) (before, after peerHealth) {
	class := s.mainClass()
	before = s.peerLatency(t, class, since.Add(-claimPropagation), since)
	if oldest := now.Add(-evidenceMaxAge); since.Before(oldest) {
		since = oldest
	}
	return before, s.peerLatency(t, class, since, now)
}

// peerLatency compares the durations of the other targets in a period with their usual ones. One other target is
// enough: an edge with few requests uses only the nearest ones.
func (s *service) peerLatency(t *target, class string, from, to time.Time) peerHealth {
	var ratios []float64
	pooled := s.pooledBaseline(class)
	for _, o := range s.targets {
		c := o.evidence.classes[class]
		if o == t || c == nil {
			continue
		}
		usual := pooled
		if c.baselineCount >= 2*baselineSamples {
			usual = c.baseline
		}
		if usual <= 0 {
			continue
		}
		for _, duration := range c.between(from, to) {
			ratios = append(ratios, duration.Seconds()/usual)
		}
	}
	if len(ratios) < minLatencySamples {
		return peersUnknown
	}
	slices.Sort(ratios)
	if ratios[len(ratios)/2] > commonSlowdown {
		return peersAffected
	}
	return peersHealthy
}

// pooledBaseline returns the mean of the usable baselines of a class in seconds, weighted by their samples, or 0. It
// replaces baselines that are not usable yet: an edge sends most of its requests to a few nearby targets.
func (s *service) pooledBaseline(class string) float64 {
	sum, count := 0.0, 0
	for _, t := range s.targets {
		if c := t.evidence.classes[class]; c != nil && c.baselineCount >= baselineSamples {
			sum += c.baseline * float64(c.baselineCount)
			count += c.baselineCount
		}
	}
	return sum / float64(max(1, count))
}

// widespread reports whether agents claim more than half of the announced targets, or most of the recently observed
// targets are suspect. If slowness is false, targets that are only slow do not count.
func (s *service) widespread(slowness bool, now time.Time) bool {
	class := s.mainClass()
	claimed, affected, healthy := 0, 0, 0
	for _, t := range s.targets {
		if t.claim != 0 && t.claim != model.SeverityCrashed && (slowness || t.claim != model.SeveritySlow) {
			claimed++
		}
		switch {
		case t.symptom.isSuspect(slowness):
			affected++
		case t.answered(class, now.Add(-time.Second)):
			healthy++
		}
	}
	return len(s.targets) >= minWidespread && (2*claimed > len(s.targets) || affected >= minWidespread && affected > healthy)
}

// affected reports whether the target shows errors, stalls or, if slowness is true, slowness; for a target out of
// service, whether it was ejected since the given time for a symptom other than a crash that this node observed.
func (t *target) affected(slowness bool, since time.Time) bool {
	if t.outOfService() {
		return t.ownSeverity != 0 && t.ownSeverity != model.SeverityCrashed && !t.phaseSince.Before(since)
	}
	if t.symptom.isSuspect(slowness) {
		return true
	}
	for _, c := range t.evidence.classes {
		if c.consecutiveErrors > 0 && !c.lastAt.Before(since) {
			return true
		}
	}
	return false
}

// answered reports whether the target completed a request of the class successfully since the given time.
func (t *target) answered(class string, since time.Time) bool {
	c := t.evidence.classes[class]
	return c != nil && !t.outOfService() && !c.lastOK.IsZero() && !c.lastOK.Before(since)
}

// classifyLatency compares a duration with those of the other targets and with the target's own baseline.
func (s *service) classifyLatency(t *target, class string, duration time.Duration, slow, known bool) latency {
	switch {
	case slow || s.slowerThanBefore(t, class, duration):
		return latencySlow
	case known:
		return latencyNormal
	default:
		return latencyUnknown
	}
}
