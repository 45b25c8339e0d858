package agent

import (
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// abandonedFor is how long a target may go on with a request whose caller gave up; a longer one is not suspected.
	abandonedFor = 10 * time.Second
	// maxAbandoned bounds the requests that are remembered per target; the oldest are dropped.
	maxAbandoned = 32
)

// abandonedRequest is a request that was given up while the target worked on it.
type abandonedRequest struct {
	suspect Suspect
	at      time.Time
}

// abandon remembers an idempotent request that was given up: the target may still run it and crash by it. Others need no
// memory, because they are quarantined after the first crash that is seen.
func (s *shared) abandon(now time.Time, suspect Suspect) {
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

// takeAbandoned returns the requests that may still have run, and forgets them.
func (s *shared) takeAbandoned(now time.Time) []Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	var suspects []Suspect
	for _, r := range s.abandoned {
		if now.Sub(r.at) <= abandonedFor {
			suspects = append(suspects, r.suspect)
		}
	}
	s.abandoned = nil
	return suspects
}

// reportCrash makes the requests suspect that the target worked on when it died, those given up before among them. It
// returns when the agents of the service know or the time for that is over.
func (a *Agent) reportCrash(l *local, inFlight ...Suspect) {
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
