package agent

import (
	"context"

	"github.com/auburnwinch/auburnwinch/internal/relay"
)

// mayRun decides, just before the request is sent to the target, whether it may run: the suspicion may have arrived
// while the request waited for its slot. It returns the reason for a refusal, or an empty string; cleanUp ends what it
// began.
func (x *exchange) mayRun(ctx context.Context) string {
	poison := x.agent.config.PoisonDetector
	if poison == nil || x.suspect.Fingerprint == 0 {
		return ""
	}
	x.countRunning()
	switch poison.Verdict(x.suspect.Service, x.suspect.Fingerprint) {
	case PoisonClear:
		return ""
	case PoisonQuarantined:
		return relay.ReasonPoison
	}
	// A request that only asks for its trial must not count as running.
	x.uncountRunning()
	if !x.agent.suspectRuns.CompareAndSwap(false, true) {
		return relay.ReasonSuspect
	}
	x.holdsSuspectRun = true
	switch poison.Trial(ctx, x.suspect) {
	case TrialGranted:
		x.trialGranted = true
		x.countRunning()
		return ""
	case TrialUnneeded:
		x.countRunning()
		return ""
	case TrialQuarantined:
		return relay.ReasonPoison
	default:
		return relay.ReasonSuspect
	}
}

func (x *exchange) countRunning() {
	x.agent.running.begin(x.suspect.Fingerprint)
	x.counted = true
}

func (x *exchange) uncountRunning() {
	if x.counted {
		x.agent.running.end(x.suspect.Fingerprint)
		x.counted = false
	}
}

// endTrial reports the result of a trial. A request without a response proves nothing, so its trial is not reported.
func (x *exchange) endTrial(kind ResultKind) {
	if !x.trialGranted {
		return
	}
	switch kind {
	case ResultOK, ResultError:
		x.agent.config.PoisonDetector.EndTrial(x.suspect, true)
	case ResultCrashed:
		x.agent.config.PoisonDetector.EndTrial(x.suspect, false)
	}
}
