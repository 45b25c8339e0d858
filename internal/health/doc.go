// Package health estimates whether a target is unhealthy and decides whether it gets a request.
//
// Usage:
//
//	m := health.New(health.Settings{})
//	switch v := m.Decide(now, idempotent); v.Kind {
//	case health.Admit, health.Trial:
//		m.Update(health.StartMsg{Now: now, ID: id, Route: route, Trial: v.Kind == health.Trial})
//	case health.Refuse:
//		refuse(v.RetryAfter)
//	}
//	cmds := m.Update(health.EndMsg{Now: now, ID: id, Kind: health.Failed})
//
// The agent in front of a target sees each of its requests. From their outcomes, and from requests that stay unanswered,
// the module computes the log-odds that the target is unhealthy now. Targets recover without intervention, so the log-odds
// decay to their prior over time.
package health
