package health

import "time"

// Kind classifies the end of a request.
type Kind uint8

// The kinds of ends.
const (
	// Inconclusive ends say nothing about the target but by their length, such as a caller that went away or a request whose
	// time was over.
	Inconclusive Kind = iota
	Succeeded
	Failed
	// Shed means that the target refused the request.
	Shed
	// Neutral ends say nothing about the target, however long they took: what the request waited for lay elsewhere.
	Neutral
)

// Msg is an input of the module.
type Msg interface{ at() time.Time }

// StartMsg tells that a request is handed to the target.
type StartMsg struct {
	Now   time.Time
	ID    uint64
	Route string
	Trial bool
}

// EndMsg tells how a request ended.
type EndMsg struct {
	Now  time.Time
	ID   uint64
	Kind Kind
}

// TickMsg moves the time, so that unanswered requests are noticed.
type TickMsg struct{ Now time.Time }

func (m StartMsg) at() time.Time { return m.Now }
func (m EndMsg) at() time.Time   { return m.Now }
func (m TickMsg) at() time.Time  { return m.Now }

// Cmd is an effect that the shell carries out.
type Cmd interface{ cmd() }

// UnhealthyCmd tells that the target became probably sick; waiting requests should go elsewhere.
type UnhealthyCmd struct{ LogOdds float64 }

// HealthyCmd tells that the target is probably sound again.
type HealthyCmd struct{ LogOdds float64 }

func (UnhealthyCmd) cmd() {}
func (HealthyCmd) cmd()   {}

// VerdictKind tells whether a request may go to the target.
type VerdictKind uint8

// The verdicts.
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
	// RetryAfter is the time after which a repeat makes sense, when the request is refused.
	RetryAfter time.Duration
	// LogOdds are the log-odds that the target is sick.
	LogOdds float64
	// SuccessRatio is the share of its latest requests that the target served.
	SuccessRatio float64
}
