// Package triage decides whether a target that may be sick takes a request.
//
// Usage:
//
//	m := triage.New(triage.Settings{})
//	switch v := m.Decide(now, idempotent); v.Kind {
//	case triage.Open, triage.Trial:
//		m.Update(triage.StartMsg{Now: now, ID: id, Class: route, Trial: v.Kind == triage.Trial})
//	case triage.Rest:
//		refuse(v.Wait)
//	}
//	cmds := m.Update(triage.EndMsg{Now: now, ID: id, Kind: triage.Failed})
//
// The agent in front of a target sees each of its requests. From their ends, and from requests that stay unanswered, the
// module computes the odds that the target is sick at this moment. Targets recover by themselves, so the odds return to
// the usual ones with time.
package triage
