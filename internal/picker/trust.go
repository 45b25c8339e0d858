package picker

import (
	"sync"
	"time"
)

const (
	// pathPause is the time for which a target is avoided after its path failed once; it doubles with each failure in a
	// row up to pathPauseMost.
	pathPause     = 500 * time.Millisecond
	pathPauseMost = 16 * time.Second
	// trialPause is the time between two idempotent requests that try a target whose agent calls it sick.
	trialPause = 200 * time.Millisecond
	// restMost bounds the time for which the word of an agent about its target holds.
	restMost = 2 * time.Second
)

// trust is what the edge knows of the path to a target, and what the agent said about its health.
type trust struct {
	mu       sync.Mutex
	failures int
	pathFrom time.Time
	// needsCheck tells that the path has failed and a check must succeed before a request takes it.
	needsCheck bool
	sickFrom   time.Time
	restedAt   time.Time
	// chance is the share of its latest requests that the resting target served.
	chance float64
}

// pathFailed avoids the target for a while, and after that until a check succeeds if checked is set.
func (t *trust) pathFailed(now time.Time, checked bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.pathFrom) {
		return // Requests that were under way at the first failure say nothing new.
	}
	t.needsCheck = checked
	t.pathFrom = now.Add(min(pathPauseMost, pathPause<<min(t.failures, 10)))
	t.failures++
}

// pathWorks ends the avoidance.
func (t *trust) pathWorks() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures, t.pathFrom, t.needsCheck = 0, time.Time{}, false
}

// pathOpened lets requests try the path again; the pause after the next failure still grows, since a frozen node takes
// connections too.
func (t *trust) pathOpened() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.needsCheck = false
}

// rest notes that the agent called the target sick for the time, and the share of its latest requests that it served.
func (t *trust) rest(now time.Time, wait time.Duration, chance float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sickFrom, t.restedAt, t.chance = now.Add(min(wait, restMost)), now, chance
}

func (t *trust) pathOpen(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.needsCheck && !now.Before(t.pathFrom)
}

// checkDue reports whether a check of the path is due.
func (t *trust) checkDue(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.needsCheck && !now.Before(t.pathFrom)
}

// mayAsk reports whether the agent would probably admit the request by the target's health, or as a trial of it.
func (t *trust) mayAsk(now time.Time, trial bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if trial {
		return now.Sub(t.restedAt) >= trialPause
	}
	return !now.Before(t.sickFrom)
}

// outlook returns the time for which the agent called the target sick, and the chance that it serves a request all the
// same; one that does not rest has a chance of 1.
func (t *trust) outlook(now time.Time) (rest time.Duration, chance float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rest = t.sickFrom.Sub(now); rest <= 0 {
		return 0, 1
	}
	return rest, t.chance
}
