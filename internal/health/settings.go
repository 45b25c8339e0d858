package health

import "time"

// Settings parameterize the estimate; zero fields take the defaults.
type Settings struct {
	// PriorLogOdds are the log-odds that a target is unhealthy without any evidence.
	PriorLogOdds float64
	// Recovery is the time in which the difference from the prior log-odds shrinks to a third.
	Recovery time.Duration
	// MaxLogOdds is the greatest distance of the log-odds from zero, so that the estimate never becomes certain.
	MaxLogOdds float64
	// QuickFailure, Failure, Shed and Success are what one outcome adds to the log-odds. A quick failure came too early
	// for the target to have worked on the request; other failures may be due to the request or to its downstream
	// calls.
	QuickFailure, Failure, Shed, Success float64
	// Survived is what a running request adds once it is past the time of quick failures.
	Survived float64
	// Stall is the most that one unanswered request adds.
	Stall float64
	// TrialBackoff is the delay from a failure to the next trial; it grows with each consecutive failed trial.
	TrialBackoff time.Duration
}

const (
	// A tenth of the targets is assumed to be unhealthy: ln(0.1/0.9).
	defaultPriorLogOdds = -2.2
	// Unhealthy periods of some seconds are common in targets with gray failures; most end with a successful trial.
	defaultRecovery   = 5 * time.Second
	defaultMaxLogOdds = 4.0
	// An unhealthy target fails about 0.8 of its requests at once and a healthy one 0.015: ln(0.8/0.015).
	defaultQuickFailure = 4.0
	// A healthy target fails a few in a hundred requests after work, most of them because a downstream call failed.
	defaultFailure = 1.2
	// quickFraction is the fraction of the mean duration of its route within which a failure counts as quick.
	quickFraction = 0.15
	// minQuickTime counts as quick on every route.
	minQuickTime = 5 * time.Millisecond
	// A target also sheds requests when it is full, so this is weaker evidence than a failure.
	defaultShed = 1.5
	// ln(0.2/0.985), from the same ratios as a quick failure.
	defaultSuccess = -1.6
	// Below the absolute prior, so that a single long request does not make a target unhealthy: some routes mostly take
	// milliseconds and sometimes a second.
	defaultStall = 1.8
	// An unhealthy target serves or keeps a fifth of its requests for longer than the time of quick failures, a healthy
	// one nearly all: ln(0.3/0.985).
	defaultSurvived     = -1.2
	defaultTrialBackoff = 200 * time.Millisecond
	// defaultSurvivalTime is the time after which a request of a route without known durations has survived;
	// minSurvivalTime is the least for any route. Failing targets respond within some milliseconds.
	defaultSurvivalTime = 100 * time.Millisecond
	minSurvivalTime     = 30 * time.Millisecond
	// maxSilentLogOdds is the evidence of silence from which survival counts no more: half a stalled request.
	maxSilentLogOdds = 0.9
	// trialBackoffFactor and maxTrialBackoff bound the backoff: each failed trial costs a caller a retry.
	trialBackoffFactor = 1.7
	maxTrialBackoff    = 1500 * time.Millisecond
	// unansweredRatio is the share of requests that an unhealthy target leaves unanswered.
	unansweredRatio = 0.5
	// stallThreshold is the part of the evidence of an unanswered request that ordinary long requests show as well.
	stallThreshold = 1.0
	// successGain is the weight of a new result in the success ratio. Most unhealthy targets fail nine requests in ten,
	// so two failures in a row say more than the successes before them.
	successGain = 0.35
	// durationGain is the weight of a new duration in the mean of its route.
	durationGain = 1.0 / 16
	// minSamples is the number of durations from which a mean is usable.
	minSamples = 3
)

func (s Settings) withDefaults() Settings {
	for _, field := range []struct {
		value    *float64
		fallback float64
	}{
		{&s.PriorLogOdds, defaultPriorLogOdds},
		{&s.MaxLogOdds, defaultMaxLogOdds},
		{&s.QuickFailure, defaultQuickFailure},
		{&s.Failure, defaultFailure},
		{&s.Shed, defaultShed},
		{&s.Success, defaultSuccess},
		{&s.Stall, defaultStall},
		{&s.Survived, defaultSurvived},
	} {
		if *field.value == 0 {
			*field.value = field.fallback
		}
	}
	if s.Recovery <= 0 {
		s.Recovery = defaultRecovery
	}
	if s.TrialBackoff <= 0 {
		s.TrialBackoff = defaultTrialBackoff
	}
	return s
}
