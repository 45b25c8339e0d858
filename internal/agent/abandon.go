package agent

import (
	"slices"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// maxAbandonedAge is how long after its caller gave up a request can still be suspected of a crash.
	maxAbandonedAge = 10 * time.Second
	// maxAbandoned bounds the abandoned requests kept per target; the oldest are dropped.
	maxAbandoned = 32
)

// abandonedRequest is a request whose caller gave up while the target worked on it.
type abandonedRequest struct {
	suspect Suspect
	at      time.Time
	// deadline is when the target stops to work on it.
	deadline time.Time
}

// abandon records a request whose caller gave up: the target may still run it and crash.
func (s *sharedState) abandon(r abandonedRequest) {
	if r.suspect.Fingerprint == 0 {
		return
	}
	r.suspect.Abandoned = true
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.abandoned) == maxAbandoned {
		s.abandoned = append(s.abandoned[:0], s.abandoned[1:]...)
	}
	s.abandoned = append(s.abandoned, r)
}

// dropOverdue removes the abandoned requests whose deadline has passed, because the target is alive.
func (s *sharedState) dropOverdue(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = slices.DeleteFunc(s.abandoned, func(r abandonedRequest) bool { return now.After(r.deadline.Add(deadlineSlack)) })
}

// takeAbandoned removes all abandoned requests and returns those that may still have been running.
func (s *sharedState) takeAbandoned(now time.Time) []Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	var suspects []Suspect
	for _, r := range s.abandoned {
		if now.Sub(r.at) <= maxAbandonedAge {
			suspects = append(suspects, r.suspect)
		}
	}
	s.abandoned = nil
	return suspects
}

// reportCrash reports the requests that the target worked on when it died, including abandoned ones, as suspects. It
// returns when the other agents of the service have been told or the time for that is over.
func (a *Agent) reportCrash(l *localTarget, inFlight ...Suspect) {
	if a.config.PoisonDetector == nil {
		return
	}
	var reports conc.WaitGroup
	for _, suspect := range append(inFlight, l.shared.takeAbandoned(a.config.Clock.Now())...) {
		if suspect.Fingerprint != 0 && l.shared.report(suspect.Fingerprint) {
			reports.Go(func() { a.config.PoisonDetector.Crashed(l.target.Ref, suspect) })
		}
	}
	reports.Wait()
}

// reportReplaced reports the crash of a target that another one has replaced although it never stated that it leaves: no
// request may have reached its node between the crash and the restart.
func (a *Agent) reportReplaced(l *localTarget) {
	if !l.shared.draining.Load() {
		a.reportCrash(l)
	}
}
