// Package eject decides which targets get no requests because real requests to them fail, stall or run slowly.
//
// Usage:
//
//	tracker := eject.NewTracker(eject.TrackerConfig{Observer: eject.ObserverEdge, Clock: timer.NewReal()})
//	defer tracker.Close()
//	tracker.SetView(view)
//	handle := tracker.Start(eject.Request{Target: ref, Class: "read", Idempotent: true})
//	handle.Finish(eject.Result{Kind: eject.KindOK})
//	verdict := tracker.Snapshot().Verdict(ref)
//
// Module is the deterministic part; Tracker feeds it from the request path with atomics and a ticker.
package eject
