// Package eject implements passive outlier ejection: it decides from the results of real requests which targets fail,
// stall or respond slowly, and should get no requests.
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
// Module is the deterministic state machine; Tracker feeds it from the request path using atomics and a ticker.
package eject
