// Package poison keeps a request that crashes targets from taking down more than two of them.
//
// The agent whose target crashed is the authority for the requests that were in flight. It tells the other agents of
// the service before the crash is answered (SpreadCmd), and permits one trial of an idempotent request, which must run
// alone on its target. A second crash quarantines the request. Requests that start elsewhere before the suspicion
// arrives there are beyond the bound of two, so the shell holds the answer of a crash until SpreadMsg.
//
// Counter is for nodes that share records only: it counts crashes in a row and quarantines after three of them.
//
// Usage at the agent:
//
//	module := poison.New(poison.Config{Self: node})
//	cmds := module.Update(poison.CrashMsg{Now: now, Target: target, InFlight: requests})
//
// Usage on the request path:
//
//	switch module.Snapshot().Verdict(service, fingerprint) {
//	case poison.Suspect: // refuse without a trial that the authority granted
//	case poison.Quarantined: // refuse
//	}
package poison
