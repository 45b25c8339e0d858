package once

import (
	"strings"

	"github.com/auburnwinch/auburnwinch/internal/search"
)

// safeguard is a part of the protocol that a test takes out, so that the search must find the fault behind each.
type safeguard uint8

const (
	allSafeguards safeguard = iota
	withoutRecord
	withoutFence
	withoutPointer
	withoutFloors
	withoutAgentIncarnation
	withoutOwnerIncarnation
	withoutClaimRead
	withoutUnclaimed
	withoutSeenDoubt
	withoutSuccessorIncarnation
	withoutSealOnce
)

const (
	edges    = 3
	agents   = 3
	maxSends = 6
	servers  = 2
	// maxArrivals lets a handover that was repeated arrive twice.
	maxArrivals = 2
)

// scenario bounds what may happen in one search.
type scenario struct {
	Name                                                          string
	Sends, Attempts, Restarts, AgentRestarts, Drops, Dups, Refuse uint8
	Plain, Join, Handover, Aging                                  bool
	// Copies lets duplicates of attempts arrive, which the transport must not make.
	Copies bool
	// Expect makes the search go on until a problem with this text is found.
	Expect string
	// Lossy makes histories lose packets when there are too many.
	Lossy bool
	// Three lets sends arrive at the third edge as well.
	Three   bool
	Without safeguard
	Limit   int
}

// protocol is the model of the search.
type protocol struct {
	scenario
	seen *search.StepCounter
}

func (p *protocol) Check(w *world) string {
	if !strings.Contains(w.problem, p.Expect) {
		return ""
	}
	return w.problem
}

// Next visits what every actor of the world can do.
func (p *protocol) Next(w *world, visit func(func() string, *world)) {
	if w.problem != "" {
		return
	}
	step := func(label func() string, f func(n *world)) {
		n := *w
		f(&n)
		n.tidy(p.Without)
		visit(label, &n)
	}
	p.sends(w, step)
	for i := range w.Procs {
		p.process(w, uint8(i), step)
	}
	for i, l := range w.Net.All() {
		p.deliver(w, l, search.Label("deliver %s", l), func(label func() string, f func(n *world)) {
			step(label, func(n *world) { n.Net.Remove(i); f(n) })
		})
		if w.Dups < p.Dups && (l.Kind != packetAttempt || p.Copies) && l.Kind != packetReply {
			p.deliver(w, l, search.Label("duplicate %s", l), func(label func() string, f func(n *world)) {
				step(label, func(n *world) { n.Dups++; f(n) })
			})
		}
	}
	p.targets(w, step)
	p.faults(w, step)
}

type stepper func(label func() string, f func(n *world))
