package eject

import (
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// State is the state of a target in the cycle of ejection and readmission.
type State uint8

const (
	// StateHealthy gets requests without restriction.
	StateHealthy State = iota
	// StateEjected gets no requests.
	StateEjected
	// StateProbation gets only idempotent requests, one at a time.
	StateProbation
	// StateSlowStart gets requests in proportion to its growing weight.
	StateSlowStart
	// StateRetained is unhealthy but stays in service to keep the minimum capacity; it is chosen last.
	StateRetained
)

// Verdict tells the load balancer of an edge how to treat a target.
type Verdict struct {
	State    State          `json:"state"`
	Severity model.Severity `json:"severity"`
	// Weight is the fraction of the normal load, from 0 to 1.
	Weight float64 `json:"weight"`
	// EvidenceFrom is the earliest start time of requests that count as evidence.
	EvidenceFrom time.Time `json:"evidence-from"`
	// DetectionTime is the time from the first symptom or claim to the latest ejection.
	DetectionTime time.Duration `json:"-"`
}

// TargetVerdict is the verdict on one target in the state dump.
type TargetVerdict struct {
	Target  model.TargetRef `json:"target"`
	Verdict Verdict         `json:"verdict"`
}

// Snapshot holds the verdicts at one moment; it is never modified.
type Snapshot struct {
	// Verdicts lists the targets whose verdict differs from the default, sorted by target.
	Verdicts []TargetVerdict `json:"verdicts"`
	index    map[model.TargetRef]Verdict
}

// Verdict returns the verdict on a target; a target without evidence is healthy.
func (s *Snapshot) Verdict(ref model.TargetRef) Verdict {
	if s != nil {
		if v, found := s.index[ref]; found {
			return v
		}
	}
	return Verdict{State: StateHealthy, Weight: 1}
}

// InService reports whether the target may receive all requests.
func (v Verdict) InService() bool {
	return v.State != StateEjected && v.State != StateProbation
}

// String returns the state's name as used in logs and state dumps.
func (s State) String() string {
	switch s {
	case StateHealthy:
		return "healthy"
	case StateEjected:
		return "ejected"
	case StateProbation:
		return "probation"
	case StateSlowStart:
		return "slow-start"
	case StateRetained:
		return "retained"
	default:
		return "invalid"
	}
}

// MarshalText encodes the state as its name.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// verdict returns the verdict on the target and whether it differs from the default.
func (t *target) verdict(thresholds Thresholds, now time.Time) (Verdict, bool) {
	v := Verdict{State: t.phase, Severity: t.severity, Weight: t.weight(now, thresholds.SlowStart), EvidenceFrom: t.evidenceFrom, DetectionTime: t.detectionTime}
	switch {
	case t.outOfService() && t.enforced:
		v.Weight = 0
	case t.outOfService():
		v.State, v.Weight = StateRetained, retainedWeight
	}
	return v, v.State != StateHealthy || !v.EvidenceFrom.IsZero()
}

func changes(old, next *Snapshot) []Cmd {
	var cmds []Cmd
	report := func(ref model.TargetRef) {
		from, to := old.Verdict(ref), next.Verdict(ref)
		if from.State != to.State {
			cmds = append(cmds, VerdictCmd{Target: ref, From: from.State, To: to.State, Severity: to.Severity, DetectionTime: to.DetectionTime})
		}
	}
	for _, v := range next.Verdicts {
		report(v.Target)
	}
	for _, v := range old.Verdicts {
		if _, found := next.index[v.Target]; !found {
			report(v.Target)
		}
	}
	return cmds
}
