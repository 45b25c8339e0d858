package triage

import "time"

// Settings describe sick targets; zero fields take the defaults.
type Settings struct {
	// Usual is the log-odds that a target is sick before anything is known of it.
	Usual float64
	// Recovery is the time in which the difference from the usual odds shrinks to a third.
	Recovery time.Duration
	// Bound is the greatest distance of the log-odds from zero, so that no belief becomes certain.
	Bound float64
	// Failure, Shed and Success are what one end of a request adds to the log-odds.
	Failure, Shed, Success float64
	// Stall is the most that one unanswered request adds.
	Stall float64
	// TrialPause is the time between a failure and the next trial.
	TrialPause time.Duration
}

const (
	// A tenth of the targets is taken as sick: ln(0.1/0.9).
	defaultUsual = -2.2
	// Sick spells of a few seconds are common in targets with gray failures.
	defaultRecovery = 2500 * time.Millisecond
	defaultBound    = 4.0
	// A sick target fails about 0.8 of its requests and a sound one 0.015: ln(0.8/0.015).
	defaultFailure = 4.0
	// A target sheds when it is full as well, so this says less than a failure.
	defaultShed = 1.5
	// ln(0.2/0.985), from the same shares as a failure.
	defaultSuccess = -1.6
	defaultStall   = 2.5
	// One request of the usual duration fits between two trials.
	defaultTrialPause = 200 * time.Millisecond
	// stallShare is the share of requests that a sick target leaves unanswered.
	stallShare = 0.5
	// stallFrom is the part of the evidence of an unanswered request that usual long requests show as well.
	stallFrom = 1.0
	// meanGain is the share of a new duration in the mean of its class.
	meanGain = 1.0 / 16
	// meanSamples is the number of durations from which a mean is usable.
	meanSamples = 3
)

func (s Settings) withDefaults() Settings {
	for _, field := range []struct {
		value    *float64
		standard float64
	}{
		{&s.Usual, defaultUsual},
		{&s.Bound, defaultBound},
		{&s.Failure, defaultFailure},
		{&s.Shed, defaultShed},
		{&s.Success, defaultSuccess},
		{&s.Stall, defaultStall},
	} {
		if *field.value == 0 {
			*field.value = field.standard
		}
	}
	if s.Recovery <= 0 {
		s.Recovery = defaultRecovery
	}
	if s.TrialPause <= 0 {
		s.TrialPause = defaultTrialPause
	}
	return s
}
