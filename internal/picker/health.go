package picker

import (
	"sync"
	"time"
)

const (
	// pathBackoff is how long a target is avoided after its path failed once; it doubles with each consecutive failure
	// up to maxPathBackoff.
	pathBackoff    = 500 * time.Millisecond
	maxPathBackoff = 16 * time.Second
	// sickTrialInterval is the time between two idempotent requests that test a target whose agent reports it as sick.
	sickTrialInterval = 200 * time.Millisecond
	// maxSickTime limits how long the report of an agent that its target is sick remains valid.
	maxSickTime = 2 * time.Second
	// gonePause is how long a target is avoided after its agent has first refused it as unknown; by then the row of the node
	// has usually been read. It doubles with each such refusal in a row up to maxGonePause.
	gonePause    = time.Second
	maxGonePause = 4 * time.Second
)

// targetHealth is what the edge knows about the path to a target, and the health that its agent reported.
type targetHealth struct {
	mu           sync.Mutex
	pathFailures int
	pathRetryAt  time.Time
	// pathNeedsCheck is set if the path has failed and a check must succeed before a request uses it.
	pathNeedsCheck bool
	sickUntil      time.Time
	sickReportedAt time.Time
	// successRatio is the share of its latest requests that the sick target served.
	successRatio float64
	// goneUntil is when requests try a target again that its agent no longer served; refusals counts those in a row.
	goneUntil time.Time
	refusals  int
}

// markPathFailed avoids the target for a while and, if checked is set, after that until a check succeeds.
func (t *targetHealth) markPathFailed(now time.Time, checked bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.pathRetryAt) {
		return // Requests already in flight at the first failure give no new information.
	}
	t.pathNeedsCheck = checked
	t.pathRetryAt = now.Add(min(maxPathBackoff, pathBackoff<<min(t.pathFailures, 10)))
	t.pathFailures++
}

// markPathUp clears the failures of the path.
func (t *targetHealth) markPathUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pathFailures, t.pathRetryAt, t.pathNeedsCheck = 0, time.Time{}, false
}

// markGone avoids the target, also for trials.
func (t *targetHealth) markGone(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.goneUntil) {
		return // Requests already in flight at the first refusal give no new information.
	}
	t.goneUntil = now.Add(min(maxGonePause, gonePause<<min(t.refusals, 10)))
	t.refusals++
}

// markServed ends the series of refusals of a target that its agent did not serve.
func (t *targetHealth) markServed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.goneUntil, t.refusals = time.Time{}, 0
}

// markPathReachable lets requests use the path again; the backoff after the next failure still grows, because a frozen
// node accepts connections too.
func (t *targetHealth) markPathReachable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pathNeedsCheck = false
}

// markSick records that the agent reported the target as sick for the given time, and the share of its latest requests
// that it served.
func (t *targetHealth) markSick(now time.Time, period time.Duration, successRatio float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sickUntil, t.sickReportedAt, t.successRatio = now.Add(min(period, maxSickTime)), now, successRatio
}

func (t *targetHealth) pathOpen(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.pathNeedsCheck && !now.Before(t.pathRetryAt)
}

// checkDue reports whether a check of the path is due.
func (t *targetHealth) checkDue(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pathNeedsCheck && !now.Before(t.pathRetryAt)
}

// mayAdmit reports whether the agent would probably admit the request given the target's health, or as a trial of it.
func (t *targetHealth) mayAdmit(now time.Time, trial bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.goneUntil) {
		return false
	}
	if trial {
		return now.Sub(t.sickReportedAt) >= sickTrialInterval
	}
	return !now.Before(t.sickUntil)
}

// sickness returns how long the target is still reported as sick or gone, and its success ratio; a target that is neither has
// a success ratio of 1.
func (t *targetHealth) sickness(now time.Time) (sickFor time.Duration, successRatio float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if goneFor := t.goneUntil.Sub(now); goneFor > 0 {
		return goneFor, 0
	}
	if sickFor = t.sickUntil.Sub(now); sickFor <= 0 {
		return 0, 1
	}
	return sickFor, t.successRatio
}
