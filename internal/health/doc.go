// Package health decides whether a target that may be sick takes a request.
//
// Usage:
//
//	m := health.New(health.Settings{})
//	switch v := m.Decide(now, idempotent); v.Kind {
//	case health.Admit, health.Trial:
//		m.Update(health.StartMsg{Now: now, ID: id, Class: route, Trial: v.Kind == health.Trial})
//	case health.Refuse:
//		refuse(v.Wait)
//	}
//	cmds := m.Update(health.EndMsg{Now: now, ID: id, Kind: health.Failed})
//
// The agent in front of a target sees each of its requests. From their ends, and from requests that stay unanswered, the
// module computes the odds that the target is sick at this moment. Targets recover by themselves, so the odds return to
// the usual ones with time.
package health
