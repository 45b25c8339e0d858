package main

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/eject"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// setting is a way of choosing and ejecting that an experiment measures.
type setting struct {
	name       string
	policy     policyFactory
	thresholds *eject.Thresholds
}

// settings are the points of the trade-off curve from eager to reluctant, the profiles, and the baselines.
var settings = []setting{
	point("eager-1", 300*time.Millisecond, 2, 0.3, 2, 6, 0),
	point("eager-2", 500*time.Millisecond, 3, 0.4, 2.5, 10, 100*time.Millisecond),
	point("middle-1", time.Second, 4, 0.4, 3, 10, 200*time.Millisecond),
	point("middle-2", 1500*time.Millisecond, 5, 0.5, 3, 16, 500*time.Millisecond),
	point("middle-3", 2*time.Second, 6, 0.5, 3.5, 16, 700*time.Millisecond),
	point("reluctant-1", 3*time.Second, 7, 0.5, 4, 20, time.Second),
	point("reluctant-2", 5*time.Second, 10, 0.6, 5, 32, 2*time.Second),
	profile(model.ProfileDetection),
	profile(model.ProfileCapacity),
	{name: "round-robin", policy: newPlain(0)},
	{name: "plain-3", policy: newPlain(3)},
	{name: "plain-5", policy: newPlain(5)},
	{name: "plain-10", policy: newPlain(10)},
}

func point(name string, stall time.Duration, errors int, ratio, slow float64, samples int, settle time.Duration) setting {
	t := eject.ThresholdsOf(model.ServiceSpec{Profile: model.ProfileDetection})
	t.StallAfter, t.ConsecutiveErrors, t.ErrorRatio, t.SlowFactor, t.MinSamples = stall, errors, ratio, slow, samples
	t.ConfirmDelay, t.UncomparedDelay = settle, max(stall, settle)
	return setting{name: name, policy: newModules, thresholds: &t}
}

func profile(p model.Profile) setting {
	t := eject.ThresholdsOf(model.ServiceSpec{Profile: p})
	return setting{name: string(p), policy: newModules, thresholds: &t}
}
