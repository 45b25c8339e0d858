package health

import (
	"math"
	"time"
)

// Module estimates the health of one target. It is not safe for concurrent use.
type Module struct {
	settings Settings
	now      time.Time
	// logOdds are the log-odds from finished requests, as of now.
	logOdds      float64
	running      map[uint64]runningRequest
	durations    map[string]*durationMean
	trialID      uint64
	trialRunning bool
	// nextTrial is the earliest time of the next trial; trialBackoff is the delay from a failure to it.
	nextTrial    time.Time
	trialBackoff time.Duration
	unhealthy    bool
	// successRatio is the share of the latest requests that were served.
	successRatio float64
	// lastFailure is when the latest request failed.
	lastFailure time.Time
	// silentLogOdds is the part of the log-odds from requests that ended inconclusively after a long time without a
	// response. It decays like the log-odds.
	silentLogOdds float64
}

type runningRequest struct {
	route string
	since time.Time
}

type durationMean struct {
	seconds float64
	samples int
}

// New returns a module without evidence about its target.
func New(s Settings) *Module {
	s = s.withDefaults()
	return &Module{
		settings: s, logOdds: s.PriorLogOdds, successRatio: 1, running: make(map[uint64]runningRequest),
		durations: make(map[string]*durationMean),
	}
}

// Update applies one message and returns its effects. A time before the latest one counts as the latest one.
func (m *Module) Update(msg Msg) []Cmd {
	m.advance(msg.at())
	switch msg := msg.(type) {
	case StartMsg:
		m.running[msg.ID] = runningRequest{route: msg.Route, since: m.now}
		if msg.Trial {
			m.trialID, m.trialRunning = msg.ID, true
		}
	case EndMsg:
		m.recordOutcome(msg)
	}
	return m.transition()
}

// LogOdds returns the log-odds that the target is unhealthy.
func (m *Module) LogOdds(now time.Time) float64 {
	m.advance(now)
	return m.totalLogOdds()
}

// Decide returns whether a request may go to the target.
func (m *Module) Decide(now time.Time, idempotent bool) Verdict {
	m.advance(now)
	v := Verdict{Kind: Admit, LogOdds: m.totalLogOdds(), SuccessRatio: m.successRatio}
	if v.LogOdds < 0 {
		return v
	}
	m.releaseSurvivedTrial()
	if idempotent && !m.trialRunning && !m.now.Before(m.nextTrial) {
		v.Kind = Trial
		return v
	}
	v.Kind, v.RetryAfter = Refuse, m.retryAfter()
	return v
}

func (m *Module) advance(now time.Time) {
	if !now.After(m.now) {
		return
	}
	if !m.now.IsZero() {
		decay := math.Exp(-float64(now.Sub(m.now)) / float64(m.settings.Recovery))
		m.logOdds = m.settings.PriorLogOdds + (m.logOdds-m.settings.PriorLogOdds)*decay
		m.silentLogOdds *= decay
	}
	m.now = now
}

func (m *Module) recordOutcome(msg EndMsg) {
	r, known := m.running[msg.ID]
	if !known {
		return
	}
	delete(m.running, msg.ID)
	if m.trialRunning && m.trialID == msg.ID {
		m.trialRunning = false
	}
	took := m.now.Sub(r.since)
	switch msg.Kind {
	case Succeeded:
		// A success that came very late is no evidence of health.
		if m.stallEvidence(r) == 0 {
			m.addEvidence(m.settings.Success)
		}
		m.recordDuration(r.route, took)
		m.trialBackoff = 0
		m.successRatio += successGain * (1 - m.successRatio)
	case Failed:
		m.lastFailure = m.now
		if m.isQuick(r.route, took) {
			m.addEvidence(m.settings.QuickFailure)
		} else {
			m.addEvidence(m.settings.Failure)
		}
		m.successRatio -= successGain * m.successRatio
		m.backOffTrial()
	case Shed:
		m.addEvidence(m.settings.Shed)
		m.backOffTrial()
	case Inconclusive:
		// A request that was abandoned after a long time without a response keeps its weight as evidence.
		stall := m.stallEvidence(r)
		m.addEvidence(stall)
		m.silentLogOdds += stall
	}
}

// isQuick reports whether a failure came too early for the target to have worked on the request.
func (m *Module) isQuick(route string, took time.Duration) bool {
	mean := m.durations[route]
	return mean == nil || mean.samples < minSamples || took < quickTime(mean)
}

// quickTime is the time within which a failure counts as quick.
func quickTime(mean *durationMean) time.Duration {
	return max(time.Duration(quickFraction*mean.seconds*float64(time.Second)), minQuickTime)
}

// survived reports whether a running request is past the time within which unhealthy targets fail most of their
// requests.
func (m *Module) survived(r runningRequest) bool {
	after := defaultSurvivalTime
	if mean := m.durations[r.route]; mean != nil && mean.samples >= minSamples {
		after = max(minSurvivalTime, quickTime(mean))
	}
	return m.now.Sub(r.since) >= after
}

// releaseSurvivedTrial permits the next trial as soon as the current one has survived.
func (m *Module) releaseSurvivedTrial() {
	if r, runs := m.running[m.trialID]; m.trialRunning && runs && m.survived(r) {
		m.trialRunning, m.trialBackoff = false, 0
	}
}

func (m *Module) backOffTrial() {
	m.trialBackoff = min(maxTrialBackoff,
		max(m.settings.TrialBackoff, time.Duration(trialBackoffFactor*float64(m.trialBackoff))))
	m.nextTrial = m.now.Add(m.trialBackoff)
}

func (m *Module) addEvidence(delta float64) {
	m.logOdds = max(-m.settings.MaxLogOdds, min(m.settings.MaxLogOdds, m.logOdds+delta))
}

func (m *Module) recordDuration(route string, took time.Duration) {
	mean := m.durations[route]
	if mean == nil {
		mean = &durationMean{}
		m.durations[route] = mean
	}
	mean.samples++
	mean.seconds += max(durationGain, 1/float64(mean.samples)) * (took.Seconds() - mean.seconds)
}

// totalLogOdds adds the evidence of running requests, which is dropped when they end. A request that began after the
// latest failure and has survived is evidence of health, unless it or earlier ones stay unanswered for long: a target
// that hangs fails nothing quickly either.
func (m *Module) totalLogOdds() float64 {
	stalls, survivors := 0.0, 0
	for _, r := range m.running {
		if stall := m.stallEvidence(r); stall > 0 {
			stalls += stall
		} else if r.since.After(m.lastFailure) && m.survived(r) {
			survivors++
		}
	}
	odds := m.logOdds + stalls
	if m.silentLogOdds+stalls < maxSilentLogOdds {
		odds += float64(survivors) * m.settings.Survived
	}
	return odds
}

// stallEvidence returns the evidence of one unanswered request: the logarithm of how much more often an unhealthy
// target than a healthy one leaves a request unanswered for so long.
func (m *Module) stallEvidence(r runningRequest) float64 {
	mean := m.durations[r.route]
	if mean == nil || mean.samples < minSamples || mean.seconds <= 0 {
		return 0
	}
	healthy := math.Exp(-m.now.Sub(r.since).Seconds() / mean.seconds)
	evidence := math.Log(unansweredRatio/healthy+1-unansweredRatio) - stallThreshold
	return max(0, min(m.settings.Stall, evidence))
}

// retryAfter returns the time until the log-odds of finished requests favor a healthy target.
func (m *Module) retryAfter() time.Duration {
	wait := m.settings.TrialBackoff
	if m.logOdds > 0 && m.settings.PriorLogOdds < 0 {
		decay := math.Log((m.logOdds - m.settings.PriorLogOdds) / -m.settings.PriorLogOdds)
		wait = max(wait, time.Duration(decay*float64(m.settings.Recovery)))
	}
	return wait
}

func (m *Module) transition() []Cmd {
	odds := m.totalLogOdds()
	switch unhealthy := odds >= 0; {
	case unhealthy && !m.unhealthy:
		m.unhealthy = true
		return []Cmd{UnhealthyCmd{LogOdds: odds}}
	case !unhealthy && m.unhealthy:
		m.unhealthy = false
		return []Cmd{HealthyCmd{LogOdds: odds}}
	default:
		return nil
	}
}
