// Package poison limits how many targets a request that crashes its target can take down to two.
//
// The agent whose target crashed is the authority for the requests that were in flight. It informs the other agents of
// the service before it responds to the crashed requests (BroadcastCmd), and grants one trial of an idempotent request,
// which must run alone on its target. A second crash quarantines the request. Copies of the request that start
// elsewhere before the suspicion arrives there are not covered by the limit of two, so the caller of Update holds the
// response to a crash back until BroadcastDoneMsg.
//
// Counter is for nodes that only exchange records: it counts consecutive crashes and quarantines a request after three
// of them.
//
// Usage at the agent:
//
//	module := poison.New(poison.Config{Self: node})
//	cmds := module.Update(poison.CrashMsg{Now: now, Target: target, InFlight: requests})
//
// Usage on the request path:
//
//	switch module.Snapshot().Verdict(service, fingerprint) {
//	case poison.Suspect: // refuse unless the authority granted a trial
//	case poison.Quarantined: // refuse
//	}
package poison
