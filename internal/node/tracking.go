package node

import (
	"github.com/auburnwinch/auburnwinch/internal/agent"
	"github.com/auburnwinch/auburnwinch/internal/edge"
	"github.com/auburnwinch/auburnwinch/internal/eject"
)

// edgeTracker adapts the detection of unhealthy targets and paths to edge.Tracker.
type edgeTracker struct {
	tracker *eject.Tracker
}

type edgeHandle struct {
	handle *eject.Handle
}

// agentTracker adapts the detection of unhealthy targets to agent.Tracker.
type agentTracker struct {
	tracker *eject.Tracker
}

type agentHandle struct {
	handle *eject.Handle
}

// Start starts tracking an attempt.
func (t edgeTracker) Start(r edge.TrackRequest) edge.Handle {
	return edgeHandle{t.tracker.Start(eject.Request{Target: r.Target, Class: r.Class, Idempotent: r.Idempotent})}
}

// Finish ends the tracking of an attempt.
func (h edgeHandle) Finish(r edge.Result) {
	h.handle.Finish(eject.Result{Kind: edgeKind(r.Kind)})
}

// Progress reports that a part of the response arrived.
func (h edgeHandle) Progress() {
	h.handle.Progress()
}

// Start starts tracking a request.
func (t agentTracker) Start(r agent.TrackRequest) agent.Handle {
	return agentHandle{t.tracker.Start(eject.Request{Target: r.Target, Class: r.Route, Idempotent: r.Idempotent})}
}

// Finish ends the tracking of a request.
func (h agentHandle) Finish(r agent.Result) {
	h.handle.Finish(eject.Result{Kind: agentKind(r.Kind)})
}

// Progress reports that a part of the response arrived.
func (h agentHandle) Progress() {
	h.handle.Progress()
}

func edgeKind(kind edge.ResultKind) eject.Kind {
	switch kind {
	case edge.ResultOK:
		return eject.KindOK
	case edge.ResultError:
		return eject.KindError
	case edge.ResultReset:
		return eject.KindReset
	case edge.ResultTimeout:
		return eject.KindTimeout
	case edge.ResultCanceled:
		return eject.KindCanceled
	case edge.ResultPathFailure:
		return eject.KindPathFailure
	default:
		return eject.KindNone
	}
}

func agentKind(kind agent.ResultKind) eject.Kind {
	switch kind {
	case agent.ResultOK:
		return eject.KindOK
	case agent.ResultError:
		return eject.KindError
	case agent.ResultReset, agent.ResultCrashed:
		return eject.KindReset
	case agent.ResultTimeout, agent.ResultOverdue:
		return eject.KindTimeout
	case agent.ResultCanceled:
		return eject.KindCanceled
	default:
		return eject.KindNone
	}
}
