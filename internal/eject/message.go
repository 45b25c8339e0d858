package eject

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Kind classifies how a request to a target ended.
type Kind uint8

const (
	// KindNone provides no evidence: the agent refused the request, or it was never sent.
	KindNone Kind = iota
	// KindOK is a complete response of the target that is not a server error.
	KindOK
	// KindError is a response of the target that reports a server error.
	KindError
	// KindReset is a connection to the target that was refused or reset.
	KindReset
	// KindTimeout is a request that timed out at the target.
	KindTimeout
	// KindPathFailure is a failure between the edge and the agent; it says nothing about the target.
	KindPathFailure
	// KindCanceled is a request canceled by the caller; it counts as a timeout if it had run for too long.
	KindCanceled
)

// Service is one service with its announced targets.
type Service struct {
	Spec    model.ServiceSpec
	Targets []model.Target
}

// Msg is an input of the module.
type Msg interface{ at() time.Time }

// ServicesMsg replaces the services and their announced targets.
type ServicesMsg struct {
	Now      time.Time
	Services []Service
}

// ClaimMsg replaces the claims of all agents.
type ClaimMsg struct {
	Now    time.Time
	Claims []model.Claim
}

// ResultMsg reports the end of one request.
type ResultMsg struct {
	Now        time.Time
	Target     model.TargetRef
	Class      string
	Duration   time.Duration
	Kind       Kind
	Idempotent bool
}

// InFlightMsg reports the requests of one class in flight at a target; Count 0 clears the earlier report.
type InFlightMsg struct {
	Now       time.Time
	Target    model.TargetRef
	Class     string
	Count     int
	OldestAge time.Duration
	// SecondAge is the age of the second oldest request, when there is one.
	SecondAge time.Duration
}

// TickMsg advances the time and triggers an evaluation of the evidence.
type TickMsg struct{ Now time.Time }

func (m ServicesMsg) at() time.Time { return m.Now }
func (m ClaimMsg) at() time.Time    { return m.Now }
func (m ResultMsg) at() time.Time   { return m.Now }
func (m InFlightMsg) at() time.Time { return m.Now }
func (m TickMsg) at() time.Time     { return m.Now }

// Cmd is a side effect that the caller of the module must perform.
type Cmd interface{ cmd() }

// ClaimsCmd requests publication of the claims in the node's record; only the agent's observer emits it.
type ClaimsCmd struct{ Claims []model.Claim }

// VerdictCmd reports that the published state of a target changed.
type VerdictCmd struct {
	Target   model.TargetRef
	From     State
	To       State
	Severity model.Severity
	// DetectionTime is, for an ejection, the time from the first symptom or claim to the ejection.
	DetectionTime time.Duration
}

func (ClaimsCmd) cmd()  {}
func (VerdictCmd) cmd() {}
