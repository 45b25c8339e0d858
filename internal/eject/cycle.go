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
	// own is the observer's own judgement; it stands until probation ends.
	own model.Severity
	// cause is the request class for which the target was ejected, if one is known.
	cause string
	// mixed tells that successes came between the failures for which the target was ejected.
	mixed bool
	// claim is the severity that the target's agent publishes.
	claim model.Severity
	// pending is the symptom that has not stood for the settling time yet.
	pending      model.Severity
	pendingClass string
	pendingSince time.Time
	claimSince   time.Time
	// stood is the time from the first symptom or claim to the latest ejection.
	stood time.Duration
	// claimCommon tells that the claim of slowness stood while slowness was widespread.
	claimCommon bool
	// claimDoubted tells that the others looked slowed down too while the claim of slowness stood.
	claimDoubted bool
	phaseSince   time.Time
	phaseEnds    time.Time
	evidenceFrom time.Time
	honoured     bool
	// found is the symptom at the latest judgement; dirty tells that evidence came since.
	found symptom
	dirty bool
	// unread tells that results came, or were forgotten, since the medians of the target were read.
	unread bool
	// common tells that the ejection was not honoured because too many others are affected.
	common  bool
	history *history
}

// history outlives a target's restarts, so that a target that crashes again and again waits longer.
type history struct {
	ejections   int
	lastEjected time.Time
}

func (t *target) out() bool {
	return t.phase == StateEjected || t.phase == StateProbation
}

// eject starts a wait; each ejection within flapMemory of the previous one doubles it.
func (t *target) eject(now time.Time, severity model.Severity, rng *rand.Rand) {
	h := t.history
	if !h.lastEjected.IsZero() && now.Sub(h.lastEjected) > flapMemory {
		h.ejections = 0
	}
	h.ejections++
	h.lastEjected = now
	t.enter(StateEjected, now)
	t.severity = severity
	t.phaseEnds = now.Add(spread(waitOf(h.ejections), rng))
}

// waitOf returns the wait of the n-th ejection in a row.
func waitOf(n int) time.Duration {
	wait := waitMin
	for ; n > 1 && wait < waitMax; n-- {
		wait *= 2
	}
	return min(wait, waitMax)
}

func spread(wait time.Duration, rng *rand.Rand) time.Duration {
	return wait + time.Duration(waitSpread*rng.Float64()*float64(wait))
}

func (t *target) enter(phase State, now time.Time) {
	t.phase, t.phaseSince = phase, now
	t.evidenceFrom = now
	t.pending = 0
	t.found = symptom{}
	t.evidence.reset()
	t.unread = true
}

// readmit ends the ejection; the weight grows during slow start.
func (t *target) readmit(now time.Time, slowStart time.Duration) {
	t.enter(StateSlowStart, now)
	t.own, t.severity = 0, 0
	t.phaseEnds = now.Add(slowStart)
}

// pardon undoes an ejection that was never honoured, or whose cause was common to the service. The evidence and the
// claim must stand anew, so that the last targets to recover from a common cause are not ejected for old evidence.
func (t *target) pardon(now time.Time) {
	t.enter(StateHealthy, now)
	t.own, t.severity = 0, 0
	t.claimSince = now
	t.history.ejections = max(0, t.history.ejections-1)
}

// weight returns the share of the usual load; it moves in tenths, so that few snapshots are published.
func (t *target) weight(now time.Time, slowStart time.Duration) float64 {
	if t.phase != StateSlowStart || slowStart <= 0 {
		return 1
	}
	tenths := int(10 * now.Sub(t.phaseSince) / slowStart)
	return min(1, max(slowStartFloor, float64(tenths)/10))
}
