package eject

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Observer tells which role of the node feeds the module.
type Observer uint8

const (
	// ObserverEdge judges paths and what the edge sees, honours claims, and publishes nothing.
	ObserverEdge Observer = iota + 1
	// ObserverAgent judges the local targets and publishes claims.
	ObserverAgent
)

// Config constructs a module.
type Config struct {
	Observer Observer
	// Seed spreads the waits, so that the choosers do not start probation at the same moment.
	Seed uint64
	// Thresholds returns the thresholds of a service; nil means ThresholdsOf.
	Thresholds func(model.ServiceSpec) Thresholds
}

// Thresholds decide when evidence becomes an ejection.
type Thresholds struct {
	StallAfter        time.Duration
	ConsecutiveErrors int
	ErrorRatio        float64
	SlowFactor        float64
	MinSamples        int
	// ConfirmDelay is how long a symptom must stand, so that a cause common to all targets shows at the others first.
	ConfirmDelay time.Duration
	// UncomparedDelay is how long it must stand when too few other targets are observed.
	UncomparedDelay time.Duration
	// ProbationSuccesses is the number of good requests in a row that end probation.
	ProbationSuccesses int
	// SlowStart is how long the weight grows to 1 after probation.
	SlowStart time.Duration
}

const (
	waitMin = 5 * time.Second
	waitMax = 5 * time.Minute
	// flapMemory is how long an ejection makes the next one longer.
	flapMemory = 10 * time.Minute
	// waitSpread is the largest random share that is added to a wait.
	waitSpread = 0.1
	// patience bounds a probation that no request can end, as in services without idempotent requests.
	patience = 30 * time.Second
	// evidenceMaxAge is the age after which an observation no longer counts as current.
	evidenceMaxAge = 10 * time.Second
	// samplesMaxAge is the age after which the durations of an unused class are freed.
	samplesMaxAge = 2 * time.Minute
	// failureMaxAge is the age after which the latest failure ejects no more. It is shorter than evidenceMaxAge, so that
	// the failures of the others still count as a common cause; without it a store outage ejects after its end.
	failureMaxAge = evidenceMaxAge / 2
	// failingMaxAge is the age of the latest failure up to which a target counts as still failing. With 10 s, the end of a
	// store outage caused 709 false ejections per million at kleefwerk.
	failingMaxAge = 500 * time.Millisecond
	// retainedWeight is the weight of an unhealthy target that the floor keeps in service.
	retainedWeight = 0.25
	// slowStartFloor is the weight at the beginning of slow start.
	slowStartFloor = 0.1
	// edgeSlack covers the round trip between regions (24 ms) twice, as the edge's durations contain the path.
	edgeSlack = 50 * time.Millisecond
	// agentSlack keeps short requests from looking slow through scheduling noise.
	agentSlack = 10 * time.Millisecond
	// maxWindow is the number of results that a target remembers.
	maxWindow = 64
	// peersNeeded is the number of other targets whose median is a usable reference.
	peersNeeded = 2
	// peerSamples is the number of samples of other targets that make a comparison over the same time.
	peerSamples = 5
	// paceSamples is the number of samples of the others from which their pace is known.
	paceSamples = 8
	// commonRise is the rise over their own past from which the others count as slowed down themselves.
	commonRise = 1.4
	// hintSamples is the number of samples after which a target can look slower than its own past.
	hintSamples = 4
	// sampleSpacing is the time between two kept durations: a pause of some tenths of a second can't fill the window.
	sampleSpacing = 100 * time.Millisecond
	// referenceInterval bounds the cost of the medians of all targets.
	referenceInterval = time.Second
	// releaseInterval is the time between two visits to all pairs of target and class, which free unused samples.
	releaseInterval = 30 * time.Second
	// singleFactor is how much older a single request must be than two to count as a stall. With 3, a hang of 4 s in one
	// of 1,000 requests caused 401 false ejections per million at kleefwerk, with 5 it caused 8.
	singleFactor = 5
	// claimSpread is the time in which the claims of all agents arrive by gossip.
	claimSpread = 3 * time.Second
	// claimSettle bounds how long an agent's symptom must stand before it is claimed. The agent has no others to wait for:
	// the edges do that, and claims that come earlier show them a common cause earlier.
	claimSettle = 100 * time.Millisecond
	// widespreadMin is the number of affected targets from which a common cause is suspected for a while.
	widespreadMin = 3
	// baselineSamples is the number of samples after which the target's own baseline is usable.
	baselineSamples = 30
	// baselineGain is the share of a new sample in the baseline; at ten samples/s a change is learned in minutes.
	baselineGain = 1.0 / 1024
	// suspiciousGain is the share while the target looks unhealthy; it is not zero, so that a lasting change is learned.
	suspiciousGain = 1.0 / 8192
)

// profileThresholds returns the thresholds of a profile; docs/measurements.md holds the curve they are chosen from.
// Capacity is the quickest setting without a false ejection at instituto, detection the one before false ejections grow
// tenfold at kleefwerk for little time.
func profileThresholds(p model.Profile) Thresholds {
	if p == model.ProfileDetection {
		return Thresholds{
			StallAfter: time.Second, ConsecutiveErrors: 3, ErrorRatio: 0.4, SlowFactor: 2.5, MinSamples: 10,
			ConfirmDelay: 100 * time.Millisecond, UncomparedDelay: time.Second, ProbationSuccesses: 2, SlowStart: 5 * time.Second,
		}
	}
	return Thresholds{
		StallAfter: 1500 * time.Millisecond, ConsecutiveErrors: 6, ErrorRatio: 0.5, SlowFactor: 3.5, MinSamples: 16,
		ConfirmDelay: 400 * time.Millisecond, UncomparedDelay: 1500 * time.Millisecond, ProbationSuccesses: 3, SlowStart: 10 * time.Second,
	}
}

// ThresholdsOf returns the thresholds of the profile with the overrides of the service.
func ThresholdsOf(spec model.ServiceSpec) Thresholds {
	t := profileThresholds(spec.Profile)
	e := spec.Ejection
	if e.StallAfter > 0 {
		t.StallAfter = time.Duration(e.StallAfter)
	}
	if e.ConsecutiveErrors > 0 {
		t.ConsecutiveErrors = e.ConsecutiveErrors
	}
	if e.ErrorRatio > 0 {
		t.ErrorRatio = e.ErrorRatio
	}
	if e.SlowFactor > 0 {
		t.SlowFactor = e.SlowFactor
	}
	if e.MinSamples > 0 {
		t.MinSamples = min(e.MinSamples, maxWindow)
	}
	return t
}
