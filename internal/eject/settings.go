package eject

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Observer is the role of the node that feeds the module.
type Observer uint8

const (
	// ObserverEdge evaluates paths and the results that the edge sees, applies claims, and publishes none.
	ObserverEdge Observer = iota + 1
	// ObserverAgent evaluates the local targets and publishes claims.
	ObserverAgent
)

// Config configures a module.
type Config struct {
	Observer Observer
	// Seed randomizes the ejection times, so that edges do not start probation at the same moment.
	Seed uint64
	// Thresholds returns the thresholds of a service; nil means ThresholdsOf.
	Thresholds func(model.ServiceSpec) Thresholds
}

// Thresholds define when evidence leads to an ejection.
type Thresholds struct {
	StallAfter        time.Duration
	ConsecutiveErrors int
	ErrorRatio        float64
	SlowFactor        float64
	MinSamples        int
	// ConfirmDelay is how long a symptom must persist, so that a cause common to all targets becomes visible at the other
	// targets first.
	ConfirmDelay time.Duration
	// UncomparedDelay is how long a symptom must persist when too few other targets are observed.
	UncomparedDelay time.Duration
	// ProbationSuccesses is the number of good requests in a row that end probation.
	ProbationSuccesses int
	// SlowStart is the time over which the weight grows to 1 after probation.
	SlowStart time.Duration
}

const (
	minEjectionTime = 5 * time.Second
	maxEjectionTime = 5 * time.Minute
	// flapWindow is the time within which a further ejection lasts longer than the previous one.
	flapWindow = 10 * time.Minute
	// ejectionJitter is the largest random fraction that is added to an ejection time.
	ejectionJitter = 0.1
	// probationTimeout bounds a probation that no request can end, as in services without idempotent requests.
	probationTimeout = 30 * time.Second
	// evidenceMaxAge is the age after which an observation no longer counts as current.
	evidenceMaxAge = 10 * time.Second
	// samplesMaxAge is the age after which the samples of an unused class are freed.
	samplesMaxAge = 2 * time.Minute
	// failureMaxAge is the age after which the latest failure no longer leads to an ejection. It is shorter than
	// evidenceMaxAge, so that the failures of other targets still count as a common cause; otherwise a store outage would
	// eject targets after it ended.
	failureMaxAge = evidenceMaxAge / 2
	// failingMaxAge is the maximum age of the latest failure at which a target counts as still failing. With 10 s, the end
	// of a store outage caused 709 false ejections per million at kleefwerk.
	failingMaxAge = 500 * time.Millisecond
	// retainedWeight is the weight of an unhealthy target that stays in service to keep the minimum capacity.
	retainedWeight = 0.25
	// minSlowStartWeight is the weight at the beginning of slow start.
	minSlowStartWeight = 0.1
	// edgeSlack covers twice the round-trip time between regions (24 ms), because the durations at the edge include the
	// network path.
	edgeSlack = 50 * time.Millisecond
	// agentSlack prevents short requests from looking slow because of scheduling noise.
	agentSlack = 10 * time.Millisecond
	// maxWindow is the maximum number of results kept for a class of a target.
	maxWindow = 64
	// minPeers is the number of other targets whose median is a usable reference.
	minPeers = 2
	// minPeerSamples is the number of samples of other targets required for a comparison over the same period.
	minPeerSamples = 5
	// minLatencySamples is the number of samples of other targets required to determine their latency.
	minLatencySamples = 8
	// commonSlowdown is the ratio to their own baseline above which the other targets count as slow themselves.
	commonSlowdown = 1.4
	// suspectSamples is the number of samples after which a target can look slower than its own baseline.
	suspectSamples = 4
	// sampleSpacing is the minimum time between two kept samples, so that a pause of some tenths of a second can't fill
	// the window.
	sampleSpacing = 100 * time.Millisecond
	// referenceInterval limits how often the medians are refreshed, to bound the cost over all targets.
	referenceInterval = time.Second
	// releaseInterval is the interval at which all classes of all targets are visited to free unused samples.
	releaseInterval = 30 * time.Second
	// singleRequestFactor is how many times older a single request must be than two requests to count as a stall. With 3,
	// a hang of 4 s in one of 1,000 requests caused 401 false ejections per million at kleefwerk; with 5 it caused 8.
	singleRequestFactor = 5
	// claimPropagation is the time within which the claims of all agents arrive by gossip.
	claimPropagation = 3 * time.Second
	// maxClaimDelay bounds how long an agent's symptom must persist before it is claimed. The agent has no other targets
	// to wait for: the edges do the comparison, and earlier claims let them recognize a common cause earlier.
	maxClaimDelay = 100 * time.Millisecond
	// minWidespread is the number of affected targets from which a common cause is suspected for a while.
	minWidespread = 3
	// baselineSamples is the number of samples after which the target's own baseline is usable.
	baselineSamples = 30
	// baselineGain is the weight of a new sample in the baseline; at ten samples/s a change is learned in minutes.
	baselineGain = 1.0 / 1024
	// suspectGain is the weight while the target looks unhealthy; it is not zero, so that a permanent change is still
	// learned.
	suspectGain = 1.0 / 8192
)

// profileThresholds returns the thresholds of a profile, chosen from the curve in docs/measurements.md. Capacity is the
// fastest setting without a false ejection at instituto; detection is the last setting before false ejections at
// kleefwerk grow tenfold for a small gain in detection time.
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

// ThresholdsOf returns the thresholds of the service's profile, with the overrides of its spec.
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
