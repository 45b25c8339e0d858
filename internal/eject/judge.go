package eject

import (
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// reference holds the recent median of one class by target; it tells which duration is usual.
type reference struct{ medians []targetMedian }

type targetMedian struct {
	target *target
	value  time.Duration
}

// refreshReferences brings the medians per class up to date for the targets with results since the latest refresh. Those
// of all targets are read at first and, to free the samples of unused classes, at long intervals only.
func (s *service) refreshReferences(now time.Time) {
	if !s.refsAt.IsZero() && now.Sub(s.refsAt) < referenceInterval {
		return
	}
	s.refsAt = now
	all := s.refs == nil || now.Sub(s.releasedAt) >= releaseInterval
	if all {
		s.releasedAt = now
	}
	if s.refs == nil {
		s.refs = make(map[string]*reference)
	}
	for _, t := range s.targets {
		if all || t.unread {
			t.unread = false
			s.readMedians(t, now)
		}
	}
}

func (s *service) readMedians(t *target, now time.Time) {
	for name, c := range t.evidence.classes {
		if now.Sub(c.lastAt) > samplesMaxAge && c.count > 0 {
			c.release()
		}
		value, ok := c.median(s.thresholds.MinSamples)
		if s.refs[name] == nil {
			s.refs[name] = &reference{}
		}
		s.refs[name].set(t, value, ok)
	}
}

// set replaces the median of a target, or removes it if none is known.
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
	if len(values) < peersNeeded {
		return 0, false
	}
	return middle(values), true
}

// tooSlow returns the duration from which a request of the class counts as slow, by the others or its own baseline.
func (s *service) tooSlow(t *target, class string) (time.Duration, bool) {
	usual, ok := s.refs[class].others(t)
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
	hint := s.hintErrors()
	if t.evidence.resets >= hint {
		found.raise(model.SeverityCrashed, "")
	}
	if t.evidence.paths >= s.thresholds.ConsecutiveErrors {
		found.raise(model.SeverityStalled, "")
	}
	if t.evidence.paths >= hint {
		found.strained = true
	}
	for name, c := range t.evidence.classes {
		s.examineErrors(name, c, now, &found)
		s.examineStall(t, name, c, now, &found)
		s.examineSlowness(t, name, c, now, &found)
	}
	return found
}

// hintErrors returns the errors in a row from which a target looks affected; a single one is noise.
func (s *service) hintErrors() int { return max(2, s.thresholds.ConsecutiveErrors/2) }

// examineErrors derives failing and its hints. Failures that came while the cause was taken as common eject only together
// with a later one; else those of an outage eject when the doubt ends.
func (s *service) examineErrors(name string, c *classEvidence, now time.Time, found *symptom) {
	age := now.Sub(c.lastFail)
	if c.lastFail.IsZero() || age > evidenceMaxAge {
		return
	}
	ratio, ok := c.errorRatio(s.thresholds.MinSamples)
	current := age <= failureMaxAge && c.lastFail.After(s.doubtUntil)
	if current && (c.errors >= s.thresholds.ConsecutiveErrors || ok && ratio >= s.thresholds.ErrorRatio) {
		found.raise(model.SeverityFailing, name)
	}
	if c.errors >= s.hintErrors() || ok && ratio >= s.thresholds.ErrorRatio/2 {
		found.strained = true
		found.failing = found.failing || age <= failingMaxAge
	}
}

// examineStall compares the age of what is in flight with the threshold, or with the class's usual time if longer.
//
// A single request may hang for its own reasons, so it must be singleFactor times as old as two must, and the target
// must not have answered any other request meanwhile. With two, only answers of the same class count, because a
// stalled target may still answer light requests.
func (s *service) examineStall(t *target, name string, c *classEvidence, now time.Time, found *symptom) {
	if c.inFlight == 0 {
		return
	}
	threshold := s.thresholds.StallAfter
	if slow, ok := s.tooSlow(t, name); ok {
		threshold = max(threshold, slow)
	}
	waited := now.Sub(c.reportedAt)
	quiet := min((c.oldestAge+waited)/singleFactor, now.Sub(t.evidence.lastOK))
	if c.inFlight > 1 {
		quiet = max(quiet, min(c.secondAge+waited, now.Sub(c.lastOK)))
	}
	if quiet >= threshold {
		found.raise(model.SeverityStalled, name)
	}
	if quiet >= threshold/2 {
		found.strained = true
	}
}

func (s *service) examineSlowness(t *target, name string, c *classEvidence, now time.Time, found *symptom) {
	if now.Sub(c.lastAt) > evidenceMaxAge {
		return
	}
	factor := s.thresholds.SlowFactor
	own, known := t.ownBaseline(name)
	if recent, ok := c.median(hintSamples); ok && s.slowerThanBefore(t, name, recent) {
		found.slowish = true
	}
	median, ok := c.median(s.thresholds.MinSamples)
	if !ok {
		return
	}
	limit, limited := s.tooSlow(t, name)
	if !limited || median <= limit {
		return
	}
	slow, compared := s.slowerThanOthers(t, name, c, now)
	if slow || !compared && s.alone && known && median > s.scaled(own, factor) {
		found.raise(model.SeveritySlow, name)
	}
}

// slowerThanBefore compares a duration with the target's own past, at half the rise that makes it slow.
func (s *service) slowerThanBefore(t *target, class string, took time.Duration) bool {
	own, known := t.ownBaseline(class)
	return known && took > s.scaled(own, 1+(s.thresholds.SlowFactor-1)/2)
}

// slowerThanOthers compares the target with the others over the same stretch of time; it takes the shortest one in which
// both have enough samples. Older samples of the others would make everything look slow when a common slowness begins.
func (s *service) slowerThanOthers(t *target, class string, c *classEvidence, now time.Time) (slow, compared bool) {
	for stretch := time.Second; stretch <= evidenceMaxAge; stretch *= 2 {
		from := now.Add(-stretch)
		mine := c.since(from, nil)
		if len(mine) < s.thresholds.MinSamples {
			continue
		}
		var others []time.Duration
		peers := 0
		for _, o := range s.targets {
			if oc := o.evidence.classes[class]; o != t && oc != nil {
				before := len(others)
				if others = oc.since(from, others); len(others) > before {
					peers++
				}
			}
		}
		if peers >= peersNeeded && len(others) >= peerSamples {
			return middle(mine) > s.scaled(middle(others), s.thresholds.SlowFactor), true
		}
	}
	return false, false
}

// opinion is what the other targets of the service say about the cause of a symptom.
type opinion uint8

const (
	// opinionNone means that too few others were observed.
	opinionNone opinion = iota
	// opinionWell means that most others work, so that the cause lies with the target.
	opinionWell
	// opinionDoubt means that too few others were observed, and one of them is affected.
	opinionDoubt
	// opinionIll means that at least half of the others are affected too.
	opinionIll
)

// ask looks at the results of the other targets since the symptom began; a class that works at a target says nothing
// about the class that fails at another.
//
// One affected target is enough to doubt for a while when none is known to work: a common cause reaches the busiest
// targets first.
func (s *service) ask(t *target, class string, slowness bool, since time.Time) opinion {
	well, ill := 0, 0
	for _, o := range s.targets {
		switch {
		case o == t || o.State != model.TargetServing:
		case o.affected(slowness, since):
			ill++
		case !o.worked(class, since):
		case !slowness || o.evidence.classes[class].pace == paceFast:
			well++
		case o.evidence.classes[class].pace == paceSlow:
			ill++
		}
	}
	switch {
	case well+ill < peersNeeded && ill > 0:
		return opinionDoubt
	case well+ill < peersNeeded:
		return opinionNone
	case ill >= well:
		return opinionIll
	default:
		return opinionWell
	}
}

// paceAround tells whether the other targets run at their usual pace, before and since a sign of slowness. A claim of
// slowness needs it: when a common slowness lies near the threshold, only some agents claim it, their claims look like
// single faults, and some stand on for seconds after the slowness has ended.
func (s *service) paceAround(t *target, since, now time.Time) (before, after opinion) {
	class := s.mainClass()
	before = s.pace(t, class, since.Add(-claimSpread), since)
	if oldest := now.Add(-evidenceMaxAge); since.Before(oldest) {
		since = oldest
	}
	return before, s.pace(t, class, since, now)
}

// pace compares the durations of the other targets between two moments with the usual ones. One other target is enough:
// an edge without many requests uses only the nearest ones.
func (s *service) pace(t *target, class string, from, to time.Time) opinion {
	var rises []float64
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
		for _, took := range c.between(from, to) {
			rises = append(rises, took.Seconds()/usual)
		}
	}
	if len(rises) < paceSamples {
		return opinionNone
	}
	slices.Sort(rises)
	if rises[len(rises)/2] > commonRise {
		return opinionIll
	}
	return opinionWell
}

// pooledBaseline returns the mean of the usable baselines of a class in seconds, by their samples, or 0. It stands in for
// those that are not usable yet: an edge sends most of its requests to a few near targets.
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

// widespread reports whether more than half of the announced targets are claimed, or most of those that were observed
// lately look affected; with slowness it includes those that are slow.
func (s *service) widespread(slowness bool, now time.Time) bool {
	class := s.mainClass()
	claimed, affected, well := 0, 0, 0
	for _, t := range s.targets {
		if t.claim != 0 && t.claim != model.SeverityCrashed && (slowness || t.claim != model.SeveritySlow) {
			claimed++
		}
		switch {
		case t.found.hints(slowness):
			affected++
		case t.worked(class, now.Add(-time.Second)):
			well++
		}
	}
	return len(s.targets) >= widespreadMin && (2*claimed > len(s.targets) || affected >= widespreadMin && affected > well)
}

func (t *target) affected(slowness bool, since time.Time) bool {
	if t.out() {
		return t.own != 0 && t.own != model.SeverityCrashed && !t.phaseSince.Before(since)
	}
	if t.found.hints(slowness) {
		return true
	}
	for _, c := range t.evidence.classes {
		if c.errors > 0 && !c.lastAt.Before(since) {
			return true
		}
	}
	return false
}

// worked reports whether the target answered a request of the class since the time.
func (t *target) worked(class string, since time.Time) bool {
	c := t.evidence.classes[class]
	return c != nil && !t.out() && !c.lastOK.IsZero() && !c.lastOK.Before(since)
}

// paceOf compares a duration with those of the others and with the target's own past.
func (s *service) paceOf(t *target, class string, took time.Duration, slow, known bool) pace {
	switch {
	case slow || s.slowerThanBefore(t, class, took):
		return paceSlow
	case known:
		return paceFast
	default:
		return paceUnknown
	}
}
