// Package poison keeps a request that crashes targets from taking down more than two of them.
//
// Usage:
//
//	module := poison.New(poison.Config{Self: node})
//	cmds := module.Update(poison.CrashMsg{Now: now, Target: target, InFlight: requests})
//	verdict := module.Snapshot().Verdict(service, fingerprint)
package poison
