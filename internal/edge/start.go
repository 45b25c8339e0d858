package edge

import "time"

// startPollInterval is the interval at which a request that waits during startup checks its condition.
const startPollInterval = 25 * time.Millisecond

// awaitStart waits until the condition holds, but only during startup, while the edge may still learn what it needs.
// After a restart of the whole fleet, configuration and targets are known again within a second or two.
func (q *request) awaitStart(known func() bool) bool {
	c := q.edge.config
	if known() || c.StartupWait <= 0 {
		return known()
	}
	end := q.startedAt.Add(c.StartupWait)
	for !known() {
		now := c.Clock.Now()
		if now.Sub(q.edge.startedAt) > c.StartupPeriod || now.After(end) || q.r.Context().Err() != nil {
			return false
		}
		time.Sleep(startPollInterval)
	}
	return true
}

// configured reports whether routes and view are set.
func (q *request) configured() bool {
	return q.edge.routes.Load() != nil && q.edge.config.View.Load() != nil
}

// hasTarget reports whether any target of the service is known, after updating the service from the current view.
func (q *request) hasTarget() bool {
	if current := q.edge.config.View.Load(); current != nil {
		if s := current.Service(q.match.Service); s != nil {
			q.service = s
		}
	}
	return len(q.service.Candidates) > 0
}
