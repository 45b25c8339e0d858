package edge

import "time"

// startPoll is the time between two looks of a request that waits for the start of the node to end.
const startPoll = 25 * time.Millisecond

// awaitStart waits until the condition holds, as long as the edge has just started and may still learn what it needs. After
// a restart of the whole fleet, configuration and targets are back within a second or two.
func (q *request) awaitStart(known func() bool) bool {
	c := q.edge.config
	if known() || c.StartupWait <= 0 {
		return known()
	}
	end := q.began.Add(c.StartupWait)
	for !known() {
		now := c.Clock.Now()
		if now.Sub(q.edge.began) > c.StartupPeriod || now.After(end) || q.r.Context().Err() != nil {
			return false
		}
		time.Sleep(startPoll)
	}
	return true
}

// configured reports whether routes and view are known.
func (q *request) configured() bool {
	return q.edge.routes.Load() != nil && q.edge.config.View.Load() != nil
}

// hasTarget reports whether any target of the service is known, and takes the view that names it.
func (q *request) hasTarget() bool {
	if current := q.edge.config.View.Load(); current != nil {
		if s := current.Service(q.match.Service); s != nil {
			q.service = s
		}
	}
	return len(q.service.Candidates) > 0
}
