package eject

import (
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// advance evaluates the evidence of one service and updates the states of its targets.
func (m *Module) advance(s *service) {
	if !s.dirty && !s.active {
		return
	}
	s.dirty, s.active = false, false
	m.changed, s.verdictsStale = true, true
	s.refreshReferences(m.now)
	for _, t := range s.targets {
		if t.dirty || t.symptom.isSuspect(true) || t.outOfService() {
			t.dirty = false
			t.symptom = s.examine(t, m.now)
		}
	}
	if s.widespread(false, m.now) {
		s.commonCauseUntil = m.now.Add(claimPropagation)
	}
	if s.widespread(true, m.now) {
		s.commonSlownessUntil = m.now.Add(claimPropagation)
	}
	for _, t := range s.targets {
		if t.outOfService() {
			m.stepOutOfService(s, t)
		} else {
			m.stepInService(s, t)
		}
		s.active = s.active || t.phase != StateHealthy || t.symptom.isSuspect(true) || t.claim != 0
	}
}

// stepInService ejects a target when a symptom that this node observed, or the claim of the target's agent, has
// persisted long enough. It also ends slow start.
func (m *Module) stepInService(s *service, t *target) {
	own := m.persistentSymptom(s, t)
	claim := m.persistentClaim(s, t)
	switch {
	case own != 0 || claim != 0:
		t.ownSeverity, t.causeClass = own, t.symptom.class
		if own != 0 {
			t.causeClass = t.pendingClass
		}
		t.interleavedSuccess = t.evidence.class(t.causeClass).hasInterleavedSuccess(s.thresholds.MinSamples)
		t.detectionTime = m.now.Sub(t.firstDetected(own, claim))
		t.eject(m.now, max(own, claim), m.rng)
		t.evidence.recoveryClass = t.causeClass
	case t.phase == StateSlowStart && !m.now.Before(t.phaseEnds):
		t.phase = StateHealthy
	}
}

// firstDetected returns when the symptom or claim that causes the ejection was first seen.
func (t *target) firstDetected(own, claim model.Severity) time.Time {
	if claim == 0 || own != 0 && t.pendingSince.Before(t.claimSince) {
		return t.pendingSince
	}
	return t.claimSince
}

// persistentSymptom returns the severity of the symptom that this node observed at the target, or 0 until it has
// persisted long enough. A symptom of severity failing counts as continuing while the target fails at least half as
// often as the error thresholds require, because a failure rate near the threshold crosses it many times within the
// confirmation delay.
func (m *Module) persistentSymptom(s *service, t *target) model.Severity {
	stillFailing := t.pending == model.SeverityFailing && t.symptom.stillFailing
	if t.symptom.severity == 0 && !stillFailing {
		t.pending = 0
		return 0
	}
	if t.pending == 0 {
		t.pendingSince = m.now
	}
	if t.symptom.severity != 0 {
		t.pending, t.pendingClass = t.symptom.severity, t.symptom.class
	}
	if m.config.Observer == ObserverAgent {
		return m.ifPersisted(t.pending, t.pendingSince, min(s.thresholds.ConfirmDelay, maxClaimDelay))
	}
	if t.pending == model.SeveritySlow {
		if before, after := s.peerLatencyAround(t, t.pendingSince, m.now); before == peersAffected || after == peersAffected {
			t.pendingSince = m.now
			return 0
		}
	}
	severity, othersAffected := m.confirm(s, t, t.pending, t.pendingClass, t.pendingSince)
	if othersAffected {
		t.pendingSince = m.now
	}
	return severity
}

// persistentClaim returns the severity of the agent's claim, or 0 until it has persisted long enough. A claim of
// slowness counts only after the latency of the other targets was checked: an agent without other targets of the
// service can compare its target only with that target's own baseline. A claim of slowness that was active while most
// targets were slow is ignored until it is withdrawn, because an agent with few requests withdraws it late.
func (m *Module) persistentClaim(s *service, t *target) model.Severity {
	t.claimDiscarded = t.claim == model.SeveritySlow && (t.claimDiscarded || m.now.Before(s.commonSlownessUntil))
	if t.claimDiscarded {
		return 0
	}
	if t.claim == model.SeveritySlow && !m.otherTargetsNotSlow(s, t) {
		return 0
	}
	severity, othersAffected := m.confirm(s, t, t.claim, "", t.claimSince)
	switch {
	case othersAffected:
		t.claimSince = m.now
	case t.claim == model.SeveritySlow && severity == 0:
		// otherTargetsNotSlow has checked the pooled latency of the other targets, but too few of them responded since
		// the claim for confirm to compare them one by one.
		return m.ifPersisted(t.claim, t.claimSince, s.thresholds.UncomparedDelay)
	}
	return severity
}

// otherTargetsNotSlow reports whether the other targets have had their usual latency since the agent claimed slowness.
// If they are slow now or were slow shortly before the claim, it returns false and restarts the time that the claim
// must persist. After that, or if their latency before the claim is unknown, it returns false until the claim has
// persisted as long as agents need to withdraw their claims when a common slowness ends.
func (m *Module) otherTargetsNotSlow(s *service, t *target) bool {
	before, after := s.peerLatencyAround(t, t.claimSince, m.now)
	if before == peersAffected || after == peersAffected {
		t.claimSince, t.othersSlowDuringClaim = m.now, true
		return false
	}
	mayBeCommon := t.othersSlowDuringClaim || before == peersUnknown
	if mayBeCommon && m.now.Sub(t.claimSince) < max(claimPropagation, 2*s.thresholds.UncomparedDelay) {
		return false
	}
	return after == peersHealthy
}

// confirm returns the severity if the symptom or claim has persisted since the given time for as long as the results of
// the other targets require, and 0 otherwise. If the others are healthy, that is ConfirmDelay; if too few were
// observed, at least UncomparedDelay. If they fail or are slow too, it returns 0 and othersAffected. Crashes need no
// confirmation. An empty class stands for the main class of the service.
func (m *Module) confirm(
	s *service, t *target, severity model.Severity, class string, since time.Time,
) (persisted model.Severity, othersAffected bool) {
	if severity == 0 || severity == model.SeverityCrashed {
		return severity, false
	}
	if class == "" {
		class = s.mainClass()
	}
	slowness := severity == model.SeveritySlow
	if m.now.Before(s.commonCauseUntil) || slowness && m.now.Before(s.commonSlownessUntil) {
		return 0, true
	}
	switch s.checkPeers(t, class, slowness, since) {
	case peersAffected:
		return 0, true
	case peersHealthy:
		return m.ifPersisted(severity, since, s.thresholds.ConfirmDelay), false
	case peersSuspect:
		return m.ifPersistedWithoutComparison(s, severity, since, claimPropagation), false
	default:
		// If the edge saw no symptom itself, the claims of the other agents must have had time to arrive.
		if t.pending == 0 {
			return m.ifPersistedWithoutComparison(s, severity, since, claimPropagation), false
		}
		return m.ifPersistedWithoutComparison(s, severity, since, s.thresholds.ConfirmDelay), false
	}
}

// ifPersistedWithoutComparison is ifPersisted for a target that can't be compared with others: the severity must have
// persisted for minimum and for UncomparedDelay. It returns 0 for slowness, because a slow target still serves
// requests.
func (m *Module) ifPersistedWithoutComparison(s *service, severity model.Severity, since time.Time, minimum time.Duration) model.Severity {
	if severity == model.SeveritySlow {
		return 0
	}
	return m.ifPersisted(severity, since, max(minimum, s.thresholds.UncomparedDelay))
}

// ifPersisted returns the severity if it has persisted for at least the minimum duration, and 0 otherwise. A crash need
// not persist.
func (m *Module) ifPersisted(severity model.Severity, since time.Time, minimum time.Duration) model.Severity {
	if severity != model.SeverityCrashed && m.now.Sub(since) < minimum {
		return 0
	}
	return severity
}

// stepOutOfService updates a target that is ejected or in probation.
func (m *Module) stepOutOfService(s *service, t *target) {
	switch {
	case t.commonCause || m.commonCauseSinceEjection(s, t):
		t.cancelEjection(m.now)
	case !t.enforced:
		m.stepRetained(s, t)
	case t.phase == StateProbation:
		m.stepProbation(s, t)
	case !m.now.Before(t.phaseEnds):
		t.enter(StateProbation, m.now)
		t.evidence.recoveryClass = t.causeClass
	}
}

// commonCauseSinceEjection reports whether, at an edge, at least half of the other observed targets have failed or been
// slow too since the target was ejected, so that the cause is not the target. Crashes are excluded.
func (m *Module) commonCauseSinceEjection(s *service, t *target) bool {
	return m.config.Observer == ObserverEdge && t.severity != model.SeverityCrashed && t.phase == StateEjected &&
		s.checkPeers(t, s.mainClass(), t.severity == model.SeveritySlow, t.phaseSince) == peersAffected
}

// stepRetained updates a target that still gets requests because its ejection is not enforced or the observer is the
// agent.
func (m *Module) stepRetained(s *service, t *target) {
	current := t.symptom.severity
	recovered := current == 0 && t.evidence.consecutiveSuccesses >= s.thresholds.MinSamples/2
	if m.config.Observer == ObserverAgent {
		// The target may receive only probation requests, which are too few to replace the old results in the windows
		// of the error ratio and of the median.
		needed := s.thresholds.ProbationSuccesses
		if t.ownSeverity == model.SeveritySlow || t.ownSeverity == model.SeverityFailing && t.interleavedSuccess {
			needed = max(needed, s.thresholds.MinSamples/2)
		}
		recovered = current < model.SeverityStalled && t.evidence.consecutiveSuccesses >= needed
	}
	switch {
	case t.claim != 0:
		t.severity = max(t.ownSeverity, t.claim)
	case t.ownSeverity == 0 && m.config.Observer == ObserverEdge, recovered, m.probationTimedOut(s, t):
		t.cancelEjection(m.now)
	}
}

// stepProbation ejects the target again after a bad result or a new symptom, and otherwise readmits it when enough
// requests in a row succeeded or when the probation timeout has passed without requests that could show its state.
func (m *Module) stepProbation(s *service, t *target) {
	current := t.symptom.severity
	succeeded := t.evidence.consecutiveSuccesses >= s.thresholds.ProbationSuccesses
	switch {
	case t.evidence.badResultSeen || current != 0:
		t.ownSeverity = max(t.ownSeverity, current, model.SeveritySlow)
		t.eject(m.now, max(t.severity, current), m.rng)
		t.evidence.recoveryClass = t.causeClass
	case t.claim != 0:
		// The agent sees all requests of the target, so probation continues until it withdraws its claim.
	case succeeded || m.probationTimedOut(s, t) || m.failedClassIdle(t):
		t.readmit(m.now, s.thresholds.SlowStart)
	}
}

// probationTimedOut reports whether the probation timeout has passed without a request at this target, counted from the
// start of probation or from the latest idempotent request of the service, whichever is later.
func (m *Module) probationTimedOut(s *service, t *target) bool {
	since := t.phaseSince
	if s.idempotentAt.After(since) {
		since = s.idempotentAt
	}
	return !t.evidence.receivesRequests(m.now) && m.now.Sub(since) >= probationTimeout
}

// failedClassIdle reports whether the probation timeout has passed without a request of the class that had failed; a
// target that gets only requests of other classes would otherwise stay in probation.
func (m *Module) failedClassIdle(t *target) bool {
	c := t.evidence.classes[t.causeClass]
	return t.evidence.recoveryClass != "" && (c == nil || c.lastAt.IsZero() && c.inFlight == 0) && m.now.Sub(t.phaseSince) >= probationTimeout
}

// publish enforces the ejections that leave the minimum capacity in service, and replaces the snapshot and the claims
// if they have changed.
func (m *Module) publish() []Cmd {
	if !m.changed {
		return nil
	}
	m.changed = false
	next := &Snapshot{index: make(map[model.TargetRef]Verdict)}
	var claims []model.Claim
	for _, s := range m.services {
		if s.verdictsStale {
			m.refreshVerdicts(s)
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

// refreshVerdicts recomputes the verdicts and claims of one service. They change only when the service is evaluated, so
// services that were not evaluated since the last publication keep theirs.
func (m *Module) refreshVerdicts(s *service) {
	s.verdictsStale = false
	if m.config.Observer == ObserverEdge {
		s.enforceEjections()
	}
	s.verdicts, s.claims = nil, nil
	for _, t := range s.targets {
		if v, differs := t.verdict(s.thresholds, m.now); differs {
			s.verdicts = append(s.verdicts, TargetVerdict{Target: t.Ref, Verdict: v})
		}
		if t.outOfService() {
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
