package eject

import (
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// advance judges the evidence of one service and moves its targets through the cycle.
func (m *Module) advance(s *service) {
	if !s.dirty && !s.active {
		return
	}
	s.dirty, s.active = false, false
	m.changed, s.judged = true, true
	s.refreshReferences(m.now)
	for _, t := range s.targets {
		if t.dirty || t.found.hints(true) || t.out() {
			t.dirty = false
			t.found = s.examine(t, m.now)
		}
	}
	if s.widespread(false, m.now) {
		s.doubtUntil = m.now.Add(claimSpread)
	}
	if s.widespread(true, m.now) {
		s.slowDoubtUntil = m.now.Add(claimSpread)
	}
	for _, t := range s.targets {
		if t.out() {
			m.stepOut(s, t)
		} else {
			m.stepIn(s, t)
		}
		s.active = s.active || t.phase != StateHealthy || t.found.hints(true) || t.claim != 0
	}
}

// stepIn ejects a target in service when its own symptom or the claim of its agent has stood for long enough.
func (m *Module) stepIn(s *service, t *target) {
	own := m.standing(s, t)
	claim := m.standingClaim(s, t)
	switch {
	case own != 0 || claim != 0:
		t.own, t.cause = own, t.found.class
		if own != 0 {
			t.cause = t.pendingClass
		}
		t.mixed = t.evidence.class(t.cause).mixed(s.thresholds.MinSamples)
		t.stood = m.now.Sub(t.firstSign(own, claim))
		t.eject(m.now, max(own, claim), m.rng)
		t.evidence.proving = t.cause
	case t.phase == StateSlowStart && !m.now.Before(t.phaseEnds):
		t.phase = StateHealthy
	}
}

// firstSign returns when the symptom or the claim that ejects the target was first seen.
func (t *target) firstSign(own, claim model.Severity) time.Time {
	if claim == 0 || own != 0 && t.pendingSince.Before(t.claimSince) {
		return t.pendingSince
	}
	return t.claimSince
}

// standing returns the target's own symptom once it has stood long enough. Failures stand while they come at half the
// threshold: a target whose failure rate is near the threshold crosses it many times within the settling time.
func (m *Module) standing(s *service, t *target) model.Severity {
	lasting := t.pending == model.SeverityFailing && t.found.failing
	if t.found.severity == 0 && !lasting {
		t.pending = 0
		return 0
	}
	if t.pending == 0 {
		t.pendingSince = m.now
	}
	if t.found.severity != 0 {
		t.pending, t.pendingClass = t.found.severity, t.found.class
	}
	if m.config.Observer == ObserverAgent {
		return m.after(t.pending, t.pendingSince, min(s.thresholds.ConfirmDelay, claimSettle))
	}
	if t.pending == model.SeveritySlow {
		if before, after := s.paceAround(t, t.pendingSince, m.now); before == opinionIll || after == opinionIll {
			t.pendingSince = m.now
			return 0
		}
	}
	severity, ill := m.confirmed(s, t, t.pending, t.pendingClass, t.pendingSince)
	if ill {
		t.pendingSince = m.now
	}
	return severity
}

// standingClaim returns the agent's claim once it has stood long enough. A claim of slowness waits for the claims of the
// other agents, as an agent without other targets of the service compares the target with its own past only. One that
// stood during a common slowness counts no more, because an agent with few requests withdraws it late.
func (m *Module) standingClaim(s *service, t *target) model.Severity {
	t.claimCommon = t.claim == model.SeveritySlow && (t.claimCommon || m.now.Before(s.slowDoubtUntil))
	if t.claimCommon {
		return 0
	}
	if t.claim == model.SeveritySlow && !m.paceStood(s, t) {
		return 0
	}
	severity, ill := m.confirmed(s, t, t.claim, "", t.claimSince)
	switch {
	case ill:
		t.claimSince = m.now
	case t.claim == model.SeveritySlow && severity == 0:
		// The pace of the others is known, even if too few of them answered since the claim to be asked one by one.
		return m.after(t.claim, t.claimSince, s.thresholds.UncomparedDelay)
	}
	return severity
}

// paceStood reports whether the other targets ran at their usual pace around the claim of slowness. If that is not known
// of the time before it, or was not the case, the claim must stand as long as agents need to withdraw theirs after the end
// of a common slowness.
func (m *Module) paceStood(s *service, t *target) bool {
	before, after := s.paceAround(t, t.claimSince, m.now)
	if before == opinionIll || after == opinionIll {
		t.claimSince, t.claimDoubted = m.now, true
		return false
	}
	doubted := t.claimDoubted || before == opinionNone
	if doubted && m.now.Sub(t.claimSince) < max(claimSpread, 2*s.thresholds.UncomparedDelay) {
		return false
	}
	return after == opinionWell
}

// confirmed waits shortly when the other targets work, longer when they are not observed, and for ever when they are
// affected too; ill reports that case. Crashes need no confirmation.
func (m *Module) confirmed(
	s *service, t *target, severity model.Severity, class string, since time.Time,
) (standing model.Severity, ill bool) {
	if severity == 0 || severity == model.SeverityCrashed {
		return severity, false
	}
	if class == "" {
		class = s.mainClass()
	}
	slowness := severity == model.SeveritySlow
	if m.now.Before(s.doubtUntil) || slowness && m.now.Before(s.slowDoubtUntil) {
		return 0, true
	}
	switch s.ask(t, class, slowness, since) {
	case opinionIll:
		return 0, true
	case opinionWell:
		return m.after(severity, since, s.thresholds.ConfirmDelay), false
	case opinionDoubt:
		return m.afterAlone(s, severity, since, claimSpread), false
	default:
		// The agent's claim alone waits for the claims of the others, the edge's own sight does not.
		if t.pending == 0 {
			return m.afterAlone(s, severity, since, claimSpread), false
		}
		return m.afterAlone(s, severity, since, s.thresholds.ConfirmDelay), false
	}
}

// afterAlone waits for at least the time without observed others. A slow target still serves, so an edge that can't
// compare it leaves it in service.
func (m *Module) afterAlone(s *service, severity model.Severity, since time.Time, wait time.Duration) model.Severity {
	if severity == model.SeveritySlow {
		return 0
	}
	return m.after(severity, since, max(wait, s.thresholds.UncomparedDelay))
}

func (m *Module) after(severity model.Severity, since time.Time, wait time.Duration) model.Severity {
	if severity != model.SeverityCrashed && m.now.Sub(since) < wait {
		return 0
	}
	return severity
}

// stepOut moves a target that is ejected or in probation.
func (m *Module) stepOut(s *service, t *target) {
	switch {
	case t.common || m.commonNow(s, t):
		t.pardon(m.now)
	case !t.honoured:
		m.stepRetained(s, t)
	case t.phase == StateProbation:
		m.stepProbation(s, t)
	case !m.now.Before(t.phaseEnds):
		t.enter(StateProbation, m.now)
		t.evidence.proving = t.cause
	}
}

// commonNow reports whether the other targets turned out to be affected since the ejection.
func (m *Module) commonNow(s *service, t *target) bool {
	return m.config.Observer == ObserverEdge && t.severity != model.SeverityCrashed && t.phase == StateEjected &&
		s.ask(t, s.mainClass(), t.severity == model.SeveritySlow, t.phaseSince) == opinionIll
}

// stepRetained judges a target that still gets requests, as its ejection is not honoured or the observer is the agent.
func (m *Module) stepRetained(s *service, t *target) {
	found := t.found.severity
	recovered := found == 0 && t.evidence.good >= s.thresholds.MinSamples/2
	if m.config.Observer == ObserverAgent {
		// Only probation requests may reach the target, too few to clear the window of the error ratio and the median.
		needed := s.thresholds.ProbationSuccesses
		if t.own == model.SeveritySlow || t.own == model.SeverityFailing && t.mixed {
			needed = max(needed, s.thresholds.MinSamples/2)
		}
		recovered = found < model.SeverityStalled && t.evidence.good >= needed
	}
	switch {
	case t.claim != 0:
		t.severity = max(t.own, t.claim)
	case t.own == 0 && m.config.Observer == ObserverEdge, recovered, m.outOfPatience(s, t):
		t.pardon(m.now)
	}
}

func (m *Module) stepProbation(s *service, t *target) {
	found := t.found.severity
	succeeded := t.evidence.good >= s.thresholds.ProbationSuccesses
	switch {
	case t.evidence.bad || found != 0:
		t.own = max(t.own, found, model.SeveritySlow)
		t.eject(m.now, max(t.severity, found), m.rng)
		t.evidence.proving = t.cause
	case t.claim != 0:
		// The agent sees all requests of the target and withdraws its claim; until then probation goes on.
	case succeeded || m.outOfPatience(s, t) || m.proofMissing(t):
		t.readmit(m.now, s.thresholds.SlowStart)
	}
}

// outOfPatience reports whether probation waits for idempotent requests that do not come.
func (m *Module) outOfPatience(s *service, t *target) bool {
	since := t.phaseSince
	if s.idempotentAt.After(since) {
		since = s.idempotentAt
	}
	return !t.evidence.fresh(m.now) && m.now.Sub(since) >= patience
}

// proofMissing reports whether good requests came all the time, but none of the class that had failed.
func (m *Module) proofMissing(t *target) bool {
	c := t.evidence.classes[t.cause]
	return t.evidence.proving != "" && (c == nil || c.lastAt.IsZero() && c.inFlight == 0) && m.now.Sub(t.phaseSince) >= patience
}

// publish applies the floor and replaces the snapshot and the claims if they changed.
func (m *Module) publish() []Cmd {
	if !m.changed {
		return nil
	}
	m.changed = false
	next := &Snapshot{index: make(map[model.TargetRef]Verdict)}
	var claims []model.Claim
	for _, s := range m.services {
		if s.judged {
			m.renew(s)
		}
		next.Verdicts = append(next.Verdicts, s.verdicts...)
		claims = append(claims, s.claims...)
	}
	for _, v := range next.Verdicts {
		next.index[v.Target] = v.Verdict
	}
	cmds := changes(m.snapshot, next)
	if !slices.Equal(m.snapshot.Verdicts, next.Verdicts) {
		m.snapshot = next
	}
	return append(cmds, m.publishClaims(claims)...)
}

// renew brings verdicts and claims of one service up to date. Only a judgement changes what they depend on, so the
// services without one since the last publication keep theirs.
func (m *Module) renew(s *service) {
	s.judged = false
	if m.config.Observer == ObserverEdge {
		s.honour()
	}
	s.verdicts, s.claims = nil, nil
	for _, t := range s.targets {
		if v, differs := t.verdict(s.thresholds, m.now); differs {
			s.verdicts = append(s.verdicts, TargetVerdict{Target: t.Ref, Verdict: v})
		}
		if t.out() {
			s.claims = append(s.claims, model.Claim{Target: t.Ref, Severity: t.severity})
		}
	}
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
