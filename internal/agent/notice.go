package agent

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// noticeLogInterval bounds the log lines about a rate limit that changes or is malformed in every response.
const noticeLogInterval = time.Second

// noticeState is what a target has stated about itself in its latest response. The zero value knows nothing.
type noticeState struct {
	mu     sync.Mutex
	latest relay.Notice
	// observed is set once this process has seen a response; until then the notice is what edges know.
	observed bool
	// loggedAt and malformedAt are the times of the latest log lines about a change and about a malformed notice.
	loggedAt, malformedAt time.Time
}

// current returns the latest notice.
func (s *noticeState) current() relay.Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// observe records the notice of a response and applies a change to the limiter. It reports whether the change is due to be
// logged. A target that has stated once that it leaves does not come back.
func (s *noticeState) observe(n relay.Notice, limiter Limiter, now time.Time) (log bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observed = true
	n.Leaving = n.Leaving || s.latest.Leaving
	return s.set(n, limiter, now)
}

// adopt takes the limit that an edge knows, as long as this process has seen no response of the target. Edges may know
// limits of different age, so the lowest one counts.
func (s *noticeState) adopt(n relay.Notice, limiter Limiter, now time.Time) (log bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.observed || s.latest.Limited && s.latest.RateLimit <= n.RateLimit {
		return false
	}
	n.Leaving = s.latest.Leaving
	return s.set(n, limiter, now)
}

func (s *noticeState) set(n relay.Notice, limiter Limiter, now time.Time) (log bool) {
	if n == s.latest {
		return false
	}
	log = n.Limited != s.latest.Limited || n.Leaving != s.latest.Leaving || now.Sub(s.loggedAt) >= noticeLogInterval
	if log {
		s.loggedAt = now
	}
	s.latest = n
	setRate(limiter, n)
	return log
}

// malformed reports whether a malformed notice is due to be logged.
func (s *noticeState) malformed(now time.Time) (log bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if log = now.Sub(s.malformedAt) >= noticeLogInterval; log {
		s.malformedAt = now
	}
	return log
}

func setRate(limiter Limiter, n relay.Notice) {
	if r, ok := limiter.(RateLimited); ok {
		r.SetRate(n.RateLimit, n.Limited)
	}
}

// observeNotice applies what the target states about itself in a response to the request.
func (x *exchange) observeNotice(response *http.Response) {
	a, ref := x.agent, x.local.target.Ref
	n, err := a.config.Protocol.Notice(response)
	if err != nil {
		if x.local.shared.notice.malformed(a.config.Clock.Now()) {
			_ = level.Warn(a.config.Logger).Log("msg", "notice of the target ignored", "service", ref.Service, "target", ref.ID, "err", err)
		}
		return
	}
	if x.local.shared.notice.observe(n, x.local.limiter, a.config.Clock.Now()) {
		a.logNotice(x.local, "target")
	}
	if n.Leaving {
		a.startDraining(x.local)
	}
}

// adoptNotice applies the limit that an edge knows, because a node that has restarted has forgotten it.
func (a *Agent) adoptNotice(l *localTarget, n relay.Notice) {
	if n.Limited && l.shared.notice.adopt(n, l.limiter, a.config.Clock.Now()) {
		a.logNotice(l, "edge")
	}
}

// logNotice logs a changed notice and who told it.
func (a *Agent) logNotice(l *localTarget, source string) {
	ref, n := l.target.Ref, l.shared.notice.current()
	_ = level.Info(a.config.Logger).Log("msg", "target notice", "service", ref.Service, "target", ref.ID,
		"limited", n.Limited, "rate-limit", n.RateLimit, "leaving", n.Leaving, "source", source)
}

// setNoticeHeaders tells the edge what the target states, and how long its rate limit would make the next request wait.
func (x *exchange) setNoticeHeaders(h http.Header) {
	n := x.local.shared.notice.current()
	n.Set(h)
	if r, ok := x.local.limiter.(RateLimited); ok && n.Limited {
		h[model.HeaderWait] = []string{r.RateWait().Round(time.Millisecond).String()}
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
