package health

import "time"

// Kind classifies the outcome of a request.
type Kind uint8

// The outcomes of a request.
const (
	// Inconclusive outcomes, such as a caller that went away or a request that timed out, count only by their duration.
	Inconclusive Kind = iota
	Succeeded
	Failed
	// Shed means that the target refused the request.
	Shed
	// Neutral outcomes are no evidence, however long they took: the request waited for something outside the target.
	Neutral
)

// Msg is an input of the module.
type Msg interface{ at() time.Time }

// StartMsg reports that a request is sent to the target.
type StartMsg struct {
	Now   time.Time
	ID    uint64
	Route string
	Trial bool
}

// EndMsg reports the outcome of a request.
type EndMsg struct {
	Now  time.Time
	ID   uint64
	Kind Kind
}

// TickMsg advances the time, so that unanswered requests count as evidence.
type TickMsg struct{ Now time.Time }

func (m StartMsg) at() time.Time { return m.Now }
func (m EndMsg) at() time.Time   { return m.Now }
func (m TickMsg) at() time.Time  { return m.Now }

// Cmd is an effect for the caller of Update to carry out.
type Cmd interface{ cmd() }

// UnhealthyCmd reports that the target is now probably unhealthy; waiting requests should go to other targets.
type UnhealthyCmd struct{ LogOdds float64 }

// HealthyCmd reports that the target is probably healthy again.
type HealthyCmd struct{ LogOdds float64 }

func (UnhealthyCmd) cmd() {}
func (HealthyCmd) cmd()   {}

// VerdictKind is the kind of decision on a request.
type VerdictKind uint8

// The kinds of verdicts.
const (
	// Admit admits the request.
	Admit VerdictKind = iota + 1
	// Trial admits the request as the only one that tests the target.
	Trial
	// Refuse refuses the request.
	Refuse
)

// Verdict is the decision on one request.
type Verdict struct {
	Kind VerdictKind
	// RetryAfter is the time after which a retry of a refused request makes sense.
	RetryAfter time.Duration
	// LogOdds are the log-odds that the target is unhealthy.
	LogOdds float64
	// SuccessRatio is the share of its latest requests that the target served.
	SuccessRatio float64
}
