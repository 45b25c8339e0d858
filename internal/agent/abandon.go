package agent

import (
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
}

// abandon records an idempotent request whose caller gave up: the target may still run it and crash. Other requests are
// not recorded, because they are quarantined after the first observed crash.
func (s *sharedState) abandon(now time.Time, suspect Suspect) {
	if suspect.Fingerprint == 0 || !suspect.Idempotent {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.abandoned) == maxAbandoned {
		s.abandoned = append(s.abandoned[:0], s.abandoned[1:]...)
	}
	s.abandoned = append(s.abandoned, abandonedRequest{suspect: suspect, at: now})
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
