package eject

import (
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// findings holds the symptoms of a service's targets at one moment, in the order of the targets.
type findings struct {
	symptoms []symptom
	// ownCommon and claimsCommon tell that more than half of the targets are affected, by own sight or by claims.
	ownCommon    bool
	claimsCommon bool
}

// advance judges the evidence of one service and moves its targets through the cycle.
func (m *Module) advance(s *service) {
	if s.dirty {
		s.refs = s.references()
		s.dirty = false
	}
	found := m.examineAll(s)
	for i, t := range s.targets {
		m.step(s, t, found.symptoms[i], found)
	}
}

func (m *Module) examineAll(s *service) findings {
	f := findings{symptoms: make([]symptom, len(s.targets))}
	observed, suspicious, claimed := 0, 0, 0
	for i, t := range s.targets {
		f.symptoms[i] = s.examine(t, m.now)
		if t.claim != 0 && t.claim != model.SeverityCrashed {
			claimed++
		}
		if t.evidence.fresh(m.now) || t.own != 0 {
			observed++
		}
		if f.symptoms[i].suspicious || t.own != 0 {
			suspicious++
		}
	}
	f.ownCommon = observed >= widespreadMin && 2*suspicious > observed
	f.claimsCommon = len(s.targets) >= widespreadMin && 2*claimed > len(s.targets)
	return f
}

// cause returns the severity for which a target has to be out of service now; it is 0 when there is none.
func (m *Module) cause(s *service, t *target, found symptom, f findings) model.Severity {
	own := t.own
	if !t.out() {
		own = t.settled(found.severity, m.now, s.thresholds.Settle)
	}
	if f.ownCommon && own != model.SeverityCrashed {
		own = 0
	}
	claim := t.claim
	if f.claimsCommon && claim != model.SeverityCrashed {
		claim = 0
	}
	if claim != model.SeverityCrashed && m.now.Sub(t.claimSince) < s.thresholds.Settle {
		claim = 0
	}
	return max(own, claim)
}

func (m *Module) step(s *service, t *target, found symptom, f findings) {
	cause := m.cause(s, t, found, f)
	switch t.phase {
	case StateEjected, StateProbation:
		m.stepOut(s, t, cause, found)
	default:
		if cause != 0 {
			t.own = found.severity
			t.eject(m.now, cause, m.rng)
		} else if t.phase == StateSlowStart && !m.now.Before(t.phaseEnds) {
			t.phase = StateHealthy
		}
	}
}

func (m *Module) stepOut(s *service, t *target, cause model.Severity, found symptom) {
	switch {
	case cause == 0 && (t.own != 0 || t.claim != 0):
		t.pardon(m.now)
	case cause == 0:
		t.readmit(m.now, s.thresholds.SlowStart)
	case t.phase == StateEjected && !m.now.Before(t.phaseEnds):
		t.enter(StateProbation, m.now)
	case t.phase == StateProbation:
		m.stepProbation(s, t, cause, found)
	}
}

func (m *Module) stepProbation(s *service, t *target, cause model.Severity, found symptom) {
	switch {
	case t.evidence.bad || found.severity != 0:
		t.own = max(t.own, found.severity, model.SeveritySlow)
		t.eject(m.now, max(cause, found.severity), m.rng)
	case t.claim != 0:
		// The agent sees all requests of the target and withdraws its claim; until then probation goes on.
		if t.evidence.good >= s.thresholds.ProbationSuccesses {
			t.own = 0
		}
	case t.evidence.good >= s.thresholds.ProbationSuccesses || m.outOfPatience(s, t):
		t.readmit(m.now, s.thresholds.SlowStart)
	}
}

// outOfPatience reports whether probation waits for idempotent requests that do not come.
func (m *Module) outOfPatience(s *service, t *target) bool {
	since := t.phaseSince
	if s.idempotentAt.After(since) {
		since = s.idempotentAt
	}
	if t.evidence.lastAt.After(since) {
		since = t.evidence.lastAt
	}
	return m.now.Sub(since) >= patience
}

// publish applies the floor and replaces the snapshot and the claims if they changed.
func (m *Module) publish() []Cmd {
	next := &Snapshot{index: make(map[model.TargetRef]Verdict)}
	var claims []model.Claim
	for _, s := range m.services {
		s.honour()
		for _, t := range s.targets {
			next.add(t, s.thresholds, m.now)
			if t.out() {
				claims = append(claims, model.Claim{Target: t.Ref, Severity: t.severity})
			}
		}
	}
	cmds := changes(m.snapshot, next)
	if !slices.Equal(m.snapshot.Verdicts, next.Verdicts) {
		m.snapshot = next
	}
	return append(cmds, m.publishClaims(claims)...)
}

func (m *Module) publishClaims(claims []model.Claim) []Cmd {
	if m.config.Observer != ObserverAgent {
		return nil
	}
	slices.SortFunc(claims, func(a, b model.Claim) int { return a.Target.Compare(b.Target) })
	if slices.Equal(m.claims, claims) {
		return nil
	}
	m.claims = claims
	return []Cmd{ClaimsCmd{Claims: claims}}
}

func (s *Snapshot) add(t *target, thresholds Thresholds, now time.Time) {
	v := Verdict{State: t.phase, Severity: t.severity, Weight: t.weight(now, thresholds.SlowStart), EvidenceFrom: t.evidenceFrom}
	switch {
	case t.out() && t.honoured:
		v.Weight = 0
	case t.out():
		v.State, v.Weight = StateRetained, retainedWeight
	}
	if v.State == StateHealthy && v.EvidenceFrom.IsZero() {
		return
	}
	s.Verdicts = append(s.Verdicts, TargetVerdict{Target: t.Ref, Verdict: v})
	s.index[t.Ref] = v
}

func changes(old, next *Snapshot) []Cmd {
	var cmds []Cmd
	report := func(ref model.TargetRef) {
		from, to := old.Verdict(ref), next.Verdict(ref)
		if from.State != to.State {
			cmds = append(cmds, VerdictCmd{Target: ref, From: from.State, To: to.State, Severity: to.Severity})
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
