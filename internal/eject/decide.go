package eject

import (
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// advance judges the evidence of one service and moves its targets through the cycle.
func (m *Module) advance(s *service) {
	if s.dirty {
		s.refs = s.references()
		s.dirty = false
	}
	symptoms, common := m.examineAll(s)
	for i, t := range s.targets {
		t.suspicious = symptoms[i].suspicious
		if common && t.claim == 0 && t.severity != model.SeverityCrashed {
			t.commonUntil = m.now.Add(waitMin)
		}
		if t.out() {
			m.stepOut(s, t, symptoms[i].severity)
		} else {
			m.stepIn(s, t, symptoms[i].severity, common)
		}
	}
}

// examineAll returns the symptoms and whether more than half of the targets that an edge observes are affected.
func (m *Module) examineAll(s *service) (symptoms []symptom, common bool) {
	symptoms = make([]symptom, len(s.targets))
	observed, affected := 0, 0
	for i, t := range s.targets {
		symptoms[i] = s.examine(t, m.now)
		if t.evidence.fresh(m.now) || t.own != 0 {
			observed++
		}
		if symptoms[i].suspicious || t.own != 0 {
			affected++
		}
	}
	enough := observed >= max(widespreadMin, len(s.targets)/widespreadShare)
	return symptoms, m.config.Observer == ObserverEdge && enough && 2*affected > observed
}

// stepIn ejects a target in service when its own symptom or the claim of its agent has stood for the settling time.
func (m *Module) stepIn(s *service, t *target, found model.Severity, common bool) {
	own := t.settled(found, m.now, s.thresholds.Settle)
	if common && own != model.SeverityCrashed {
		own = 0
	}
	claim := t.claim
	if claim != model.SeverityCrashed && m.now.Sub(t.claimSince) < s.thresholds.Settle {
		claim = 0
	}
	switch {
	case own != 0 || claim != 0:
		t.own = own
		t.eject(m.now, max(own, claim), m.rng)
	case t.phase == StateSlowStart && !m.now.Before(t.phaseEnds):
		t.phase = StateHealthy
	}
}

// stepOut moves a target that is ejected or in probation; found is its symptom since the phase began.
func (m *Module) stepOut(s *service, t *target, found model.Severity) {
	switch {
	case !t.honoured:
		m.stepRetained(s, t, found)
	case t.phase == StateProbation:
		m.stepProbation(s, t, found)
	case !m.now.Before(t.phaseEnds):
		t.enter(StateProbation, m.now)
	}
}

// stepRetained judges a target that still gets requests, as its ejection is not honoured or the observer is the agent.
func (m *Module) stepRetained(s *service, t *target, found model.Severity) {
	recovered := found == 0 && t.evidence.good >= s.thresholds.MinSamples/2
	if m.config.Observer == ObserverAgent {
		// Only probation requests may reach the target, too few to clear the window of the error ratio and the median.
		recovered = found < model.SeverityStalled && t.evidence.good >= s.thresholds.ProbationSuccesses
	}
	switch {
	case t.claim != 0:
		t.severity = max(t.own, t.claim)
	case t.own == 0 && m.config.Observer == ObserverEdge, recovered, m.outOfPatience(s, t):
		t.pardon(m.now)
	}
}

func (m *Module) stepProbation(s *service, t *target, found model.Severity) {
	succeeded := t.evidence.good >= s.thresholds.ProbationSuccesses
	switch {
	case t.evidence.bad || found != 0:
		t.own = max(t.own, found, model.SeveritySlow)
		t.eject(m.now, max(t.severity, found), m.rng)
	case t.claim != 0:
		// The agent sees all requests of the target and withdraws its claim; until then probation goes on.
	case succeeded || m.outOfPatience(s, t):
		t.readmit(m.now, s.thresholds.SlowStart)
	}
}

// outOfPatience reports whether probation waits for idempotent requests that do not come.
func (m *Module) outOfPatience(s *service, t *target) bool {
	since := t.phaseSince
	if s.idempotentAt.After(since) {
		since = s.idempotentAt
	}
	if t.evidence.fresh(m.now) {
		return false
	}
	return m.now.Sub(since) >= patience
}

// publish applies the floor and replaces the snapshot and the claims if they changed.
func (m *Module) publish() []Cmd {
	next := &Snapshot{index: make(map[model.TargetRef]Verdict)}
	var claims []model.Claim
	for _, s := range m.services {
		if m.config.Observer == ObserverEdge {
			s.honour(m.now)
		}
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
