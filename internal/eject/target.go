package eject

import (
	"math/rand/v2"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// target is the state of one announced target.
type target struct {
	model.Target
	evidence evidence
	phase    State
	severity model.Severity
	// ownSeverity is the severity that the observer itself found; it is kept until probation ends.
	ownSeverity model.Severity
	// causeClass is the request class that caused the ejection, if known.
	causeClass string
	// interleavedSuccess tells that successes occurred between the failures that caused the ejection.
	interleavedSuccess bool
	// claim is the severity that the target's agent publishes.
	claim model.Severity
	// pending is the severity of a symptom that has not yet persisted for the confirmation delay.
	pending      model.Severity
	pendingClass string
	pendingSince time.Time
	claimSince   time.Time
	// detectionTime is the time from the first symptom or claim to the latest ejection.
	detectionTime time.Duration
	// claimDiscarded tells that the claim of slowness is ignored because slowness was widespread while it was active.
	claimDiscarded bool
	// othersSlowDuringClaim tells that the other targets were slow too, shortly before or during the claim of slowness.
	othersSlowDuringClaim bool
	phaseSince            time.Time
	phaseEnds             time.Time
	evidenceFrom          time.Time
	enforced              bool
	// symptom is the result of the latest evaluation; dirty tells that new evidence has arrived since.
	symptom symptom
	dirty   bool
	// mediansStale tells that results were added or removed since the medians of the target were last computed.
	mediansStale bool
	// commonCause tells that the ejection was not enforced because too many other targets are affected.
	commonCause bool
	history     *history
}

// history is kept across restarts of a target, so that a target that crashes repeatedly is ejected for longer.
type history struct {
	ejections   int
	lastEjected time.Time
}

func (t *target) outOfService() bool {
	return t.phase == StateEjected || t.phase == StateProbation
}

// eject takes the target out of service; each ejection within flapWindow of the previous one doubles the time.
func (t *target) eject(now time.Time, severity model.Severity, rng *rand.Rand) {
	h := t.history
	if !h.lastEjected.IsZero() && now.Sub(h.lastEjected) > flapWindow {
		h.ejections = 0
	}
	h.ejections++
	h.lastEjected = now
	t.enter(StateEjected, now)
	t.severity = severity
	t.phaseEnds = now.Add(addJitter(ejectionTime(h.ejections), rng))
}

// ejectionTime returns the duration of the n-th ejection in a row.
func ejectionTime(n int) time.Duration {
	wait := minEjectionTime
	for ; n > 1 && wait < maxEjectionTime; n-- {
		wait *= 2
	}
	return min(wait, maxEjectionTime)
}

func addJitter(wait time.Duration, rng *rand.Rand) time.Duration {
	return wait + time.Duration(ejectionJitter*rng.Float64()*float64(wait))
}

func (t *target) enter(phase State, now time.Time) {
	t.phase, t.phaseSince = phase, now
	t.evidenceFrom = now
	t.pending = 0
	t.symptom = symptom{}
	t.evidence.reset()
	t.mediansStale = true
}

// readmit ends the ejection; the weight then grows during slow start.
func (t *target) readmit(now time.Time, slowStart time.Duration) {
	t.enter(StateSlowStart, now)
	t.ownSeverity, t.severity = 0, 0
	t.phaseEnds = now.Add(slowStart)
}

// cancelEjection reverts an ejection that was never enforced, or whose cause was common to the service. Evidence and
// claims must persist anew, so that the last targets to recover from a common cause are not ejected because of old
// evidence.
func (t *target) cancelEjection(now time.Time) {
	t.enter(StateHealthy, now)
	t.ownSeverity, t.severity = 0, 0
	t.claimSince = now
	t.history.ejections = max(0, t.history.ejections-1)
}

// weight returns the fraction of the normal load; it grows in steps of a tenth, so that few snapshots are published.
func (t *target) weight(now time.Time, slowStart time.Duration) float64 {
	if t.phase != StateSlowStart || slowStart <= 0 {
		return 1
	}
	tenths := int(10 * now.Sub(t.phaseSince) / slowStart)
	return min(1, max(minSlowStartWeight, float64(tenths)/10))
}
