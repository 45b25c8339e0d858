package once

import (
	"strings"

	"github.com/auburnwinch/auburnwinch/internal/search"
)

// safeguard is a part of the protocol that a test can remove; the search must then find the resulting fault.
type safeguard uint8

const (
	allSafeguards safeguard = iota
	withoutRecord
	withoutFence
	withoutMovedRecord
	withoutFloors
	withoutAgentIncarnation
	withoutOwnerIncarnation
	withoutClaimRead
	withoutUnknownOnClaimFailure
	withoutInDoubtOnSeen
	withoutSuccessorIncarnation
	withoutSeal
)

const (
	edges        = 3
	agents       = 3
	maxRequests  = 6
	maxResolvers = 2
	// maxArrivals lets a handover that was retried arrive twice.
	maxArrivals = 2
)

// scenario limits the events of one search.
type scenario struct {
	Name                                                                     string
	Requests, Attempts, Restarts, AgentRestarts, Drops, Duplicates, Refusals uint8
	Plain, Join, Handover, TokenExpiry                                       bool
	// DuplicateAttempts also duplicates attempts, which the real transport must not do.
	DuplicateAttempts bool
	// Expect makes the search ignore problems that don't contain this text.
	Expect string
	// Lossy drops packets when there are too many, in random histories.
	Lossy bool
	// ThirdEdge lets requests arrive at the third edge as well.
	ThirdEdge bool
	Without   safeguard
	Limit     int
}

// protocol is the model that the search explores.
type protocol struct {
	scenario
	seen *search.StepCounter
}

func (p *protocol) Check(w *modelState) string {
	if !strings.Contains(w.problem, p.Expect) {
		return ""
	}
	return w.problem
}

// Next visits every possible step of every actor.
func (p *protocol) Next(w *modelState, visit func(func() string, *modelState)) {
	if w.problem != "" {
		return
	}
	step := func(label func() string, f func(n *modelState)) {
		n := *w
		f(&n)
		n.normalize(p.Without)
		visit(label, &n)
	}
	p.arrivalSteps(w, step)
	for i := range w.Processes {
		p.processSteps(w, uint8(i), step)
	}
	for i, pkt := range w.Net.All() {
		p.deliver(w, pkt, search.Label("deliver %s", pkt), func(label func() string, f func(n *modelState)) {
			step(label, func(n *modelState) { n.Net.Remove(i); f(n) })
		})
		if w.Duplicates < p.Duplicates && (pkt.Kind != packetAttempt || p.DuplicateAttempts) && pkt.Kind != packetReply {
			p.deliver(w, pkt, search.Label("duplicate %s", pkt), func(label func() string, f func(n *modelState)) {
				step(label, func(n *modelState) { n.Duplicates++; f(n) })
			})
		}
	}
	p.targetSteps(w, step)
	p.faultSteps(w, step)
}

type stepper func(label func() string, f func(n *modelState))
