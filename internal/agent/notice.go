package agent

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/relay"
)

// noticeLogInterval bounds the log lines about a rate limit that changes with every response.
const noticeLogInterval = time.Second

// noticeState is what a target has stated about itself in its latest response. The zero value knows nothing.
type noticeState struct {
	mu       sync.Mutex
	latest   relay.Notice
	loggedAt time.Time
}

// current returns the latest notice.
func (s *noticeState) current() relay.Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// observe records the notice of a response. It reports whether the notice has changed, and whether the change is due to be
// logged. A target that has stated once that it leaves does not come back.
func (s *noticeState) observe(n relay.Notice, now time.Time) (changed, log bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n.Leaving = n.Leaving || s.latest.Leaving
	if n == s.latest {
		return false, false
	}
	log = n.Limited != s.latest.Limited || n.Leaving != s.latest.Leaving || now.Sub(s.loggedAt) >= noticeLogInterval
	if log {
		s.loggedAt = now
	}
	s.latest = n
	return true, log
}

// observeNotice records what the target states about itself in a response to the request.
func (x *exchange) observeNotice(response *http.Response) {
	ref := x.local.target.Ref
	n, err := x.agent.config.Protocol.Notice(response)
	if err != nil {
		_ = level.Warn(x.agent.config.Logger).Log("msg", "notice of the target ignored", "service", ref.Service, "target", ref.ID, "err", err)
		return
	}
	if _, log := x.local.shared.notice.observe(n, x.agent.config.Clock.Now()); log {
		_ = level.Info(x.agent.config.Logger).Log("msg", "target notice", "service", ref.Service, "target", ref.ID,
			"limited", n.Limited, "rate-limit", n.RateLimit, "leaving", n.Leaving)
	}
}

// Limited returns the number of targets on this VM that state a rate limit.
func (a *Agent) Limited() int {
	return a.countNotices(func(n relay.Notice) bool { return n.Limited })
}

// TargetsLeaving returns the number of targets on this VM that have stated that they shut down.
func (a *Agent) TargetsLeaving() int {
	return a.countNotices(func(n relay.Notice) bool { return n.Leaving })
}

func (a *Agent) countNotices(matches func(relay.Notice) bool) int {
	count := 0
	for _, l := range a.registry.all() {
		if matches(l.shared.notice.current()) {
			count++
		}
	}
	return count
}
