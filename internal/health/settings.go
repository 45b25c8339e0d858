package health

import "time"

// Settings describe sick targets; zero fields take the defaults.
type Settings struct {
	// Usual is the log-odds that a target is sick before anything is known of it.
	Usual float64
	// Recovery is the time in which the difference from the usual odds shrinks to a third.
	Recovery time.Duration
	// Bound is the greatest distance of the log-odds from zero, so that no belief becomes certain.
	Bound float64
	// QuickFailure, Failure, Shed and Success are what one end of a request adds to the log-odds. A quick failure came
	// before the target can have worked on the request; others may be due to the request or to the calls that it made.
	QuickFailure, Failure, Shed, Success float64
	// Survived is what a running request adds that is past the time of quick failures.
	Survived float64
	// Stall is the most that one unanswered request adds.
	Stall float64
	// TrialPause is the time between a failure and the next trial; it grows with each failed trial in a row.
	TrialPause time.Duration
}

const (
	// A tenth of the targets is taken as sick: ln(0.1/0.9).
	defaultUsual = -2.2
	// Sick spells of some seconds are common in targets with gray failures; most are ended by a trial that succeeds.
	defaultRecovery = 5 * time.Second
	defaultBound    = 4.0
	// A sick target fails about 0.8 of its requests at once and a sound one 0.015: ln(0.8/0.015).
	defaultQuickFailure = 4.0
	// A sound target fails a few in a hundred requests after work, most because a call of theirs failed.
	defaultFailure = 1.2
	// quickShare is the part of the usual duration of its class within which a failure counts as quick.
	quickShare = 0.15
	// quickLeast counts as quick for every class.
	quickLeast = 5 * time.Millisecond
	// A target sheds when it is full as well, so this says less than a failure.
	defaultShed = 1.5
	// ln(0.2/0.985), from the same shares as a failure.
	defaultSuccess = -1.6
	// Below the usual distance from zero, so that a single long request does not close a target: kinds of requests exist
	// that mostly take milliseconds and sometimes a second.
	defaultStall = 1.8
	// A sick target answers or keeps a fifth of its requests for longer than the time of quick failures, a sound one nearly
	// all: ln(0.3/0.985).
	defaultSurvived   = -1.2
	defaultTrialPause = 200 * time.Millisecond
	// surviveUsual is the time after which a request has survived while its class is unknown, and surviveLeast the least for
	// any class: failing targets answer within some milliseconds.
	surviveUsual = 100 * time.Millisecond
	surviveLeast = 30 * time.Millisecond
	// silentMost is the evidence of silence from which survival says nothing: half a stalled request.
	silentMost = 0.9
	// trialGrowth and trialMost bound the pause: each failed trial costs a caller a repeat.
	trialGrowth = 1.7
	trialMost   = 1500 * time.Millisecond
	// stallShare is the share of requests that a sick target leaves unanswered.
	stallShare = 0.5
	// stallFrom is the part of the evidence of an unanswered request that usual long requests show as well.
	stallFrom = 1.0
	// chanceGain is the share of a new result in the chance. Most sick targets fail nine requests in ten, so that two failures
	// in a row say more than the successes before.
	chanceGain = 0.35
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
		{&s.QuickFailure, defaultQuickFailure},
		{&s.Failure, defaultFailure},
		{&s.Shed, defaultShed},
		{&s.Success, defaultSuccess},
		{&s.Stall, defaultStall},
		{&s.Survived, defaultSurvived},
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
