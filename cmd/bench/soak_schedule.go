package main

import (
	"math/rand/v2"
	"time"

	faults "github.com/auburnwinch/auburnwinch/internal/fakes/fault"
	"github.com/auburnwinch/auburnwinch/internal/load"
	"github.com/auburnwinch/auburnwinch/internal/procs"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// soakKind is the kind of one injected fault.
type soakKind string

// The kinds of faults.
const (
	soakKillNode      soakKind = "kill-node"
	soakPauseNode     soakKind = "pause-node"
	soakRestartNode   soakKind = "restart-node"
	soakKillTarget    soakKind = "kill-target"
	soakPauseTarget   soakKind = "pause-target"
	soakRestartTarget soakKind = "restart-target"
	soakTargetFault   soakKind = "target-fault"
	soakPoison        soakKind = "poison-request"
	soakPlatform      soakKind = "platform"
	soakTickets       soakKind = "racing-tickets"
)

// soakKinds is the pool from which faults are drawn; kinds that stand in it twice are twice as likely.
var soakKinds = []soakKind{
	soakKillNode, soakPauseNode, soakRestartNode, soakKillTarget, soakPauseTarget, soakRestartTarget,
	soakTargetFault, soakTargetFault, soakTargetFault, soakPoison, soakPlatform, soakPlatform, soakTickets, soakTickets,
}

// soakFault is one fault of the sequence; index is that of the node or target.
type soakFault struct {
	at       time.Duration
	kind     soakKind
	index    int
	duration time.Duration
	// twice repeats the fault on the same subject as soon as it has ended.
	twice    bool
	name     string
	target   load.Fault
	platform faults.Rule
}

// Bounds of the times between faults and of their lengths.
const (
	soakGapMin    = 500 * time.Millisecond
	soakGapMax    = 3 * time.Second
	soakLengthMin = 500 * time.Millisecond
	soakLengthMax = 6 * time.Second
	// soakTogether is the share of faults that begin together with the one before.
	soakTogether = 0.3
	soakTwice    = 0.2
)

// drawFaults draws the sequence of faults of one run; it depends on nothing but the seed, the plan and the duration.
func drawFaults(rng *rand.Rand, plan *procs.Plan, duration time.Duration) []soakFault {
	var faults []soakFault
	for at := soakGapMin; at < duration; {
		f := soakFault{at: at, kind: soakKinds[rng.IntN(len(soakKinds))], twice: rng.Float64() < soakTwice}
		f.duration = between(rng, soakLengthMin, soakLengthMax)
		f.index = rng.IntN(len(plan.Targets))
		switch f.kind {
		case soakKillNode, soakPauseNode, soakRestartNode, soakTickets:
			f.index = rng.IntN(len(plan.Nodes))
		case soakTargetFault:
			f.name, f.target = drawTargetFault(rng)
		case soakPlatform:
			f.platform = drawPlatformRule(rng)
			f.name = string(f.platform.Kind)
		}
		faults = append(faults, f)
		if rng.Float64() >= soakTogether {
			at += between(rng, soakGapMin, soakGapMax)
		}
	}
	return faults
}

func drawTargetFault(rng *rand.Rand) (string, load.Fault) {
	switch rng.IntN(7) {
	case 0:
		return "stall", load.Fault{Stall: true}
	case 1:
		return "stall-with-probes", load.Fault{Stall: true, StallProbes: true}
	case 2:
		return "slow", load.Fault{SlowFactor: 5 + 20*rng.Float64()}
	case 3:
		return "error", load.Fault{ErrorRatio: 0.2 + 0.8*rng.Float64()}
	case 4:
		return "reset", load.Fault{ResetRatio: 0.2 + 0.8*rng.Float64()}
	case 5:
		return "truncate", load.Fault{TruncateAfter: 1 + rng.Int64N(100<<10)}
	default:
		return "body-stall", load.Fault{StallAfter: 1 + rng.Int64N(100<<10)}
	}
}

func drawPlatformRule(rng *rand.Rand) faults.Rule {
	rules := []faults.Rule{
		{Kind: "away"},
		{Kind: "slow", Delay: model.Duration(between(rng, 100*time.Millisecond, 3*time.Second))},
		{Kind: "hang", Delay: model.Duration(5 * time.Second)},
		{Kind: "throttle", Share: 0.3 + 0.7*rng.Float64()},
		{Kind: "lost", Share: 0.3 + 0.7*rng.Float64()},
		{Kind: "conflict", Share: 0.5},
	}
	return rules[rng.IntN(len(rules))]
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
