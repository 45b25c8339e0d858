package health

import (
	"math"
	"time"
)

// Module is the belief about one target. It is not safe for concurrent use.
type Module struct {
	settings Settings
	now      time.Time
	// odds are the log-odds from the ends of requests, as of now.
	odds    float64
	running map[uint64]run
	means   map[string]*mean
	trial   uint64
	trying  bool
	// nextTrial is the earliest time of the next trial, and pause the time from a failure to it.
	nextTrial time.Time
	pause     time.Duration
	closed    bool
	// chance is the share of the latest requests that were served.
	chance float64
	// failedAt is when the latest request failed.
	failedAt time.Time
	// silent is the part of the odds that came from requests which ended after a long silence; it fades like the odds.
	silent float64
}

type run struct {
	class string
	since time.Time
}

type mean struct {
	value   float64
	samples int
}

// New returns a module that knows nothing of its target.
func New(s Settings) *Module {
	s = s.withDefaults()
	return &Module{settings: s, odds: s.Usual, chance: 1, running: make(map[uint64]run), means: make(map[string]*mean)}
}

// Update applies one message and returns its effects; a time before the latest one is taken as the latest one.
func (m *Module) Update(msg Msg) []Cmd {
	m.advance(msg.at())
	switch msg := msg.(type) {
	case StartMsg:
		m.running[msg.ID] = run{class: msg.Route, since: m.now}
		if msg.Trial {
			m.trial, m.trying = msg.ID, true
		}
	case EndMsg:
		m.end(msg)
	}
	return m.cross()
}

// Odds returns the log-odds that the target is sick.
func (m *Module) Odds(now time.Time) float64 {
	m.advance(now)
	return m.total()
}

// Decide tells whether a request may go to the target.
func (m *Module) Decide(now time.Time, idempotent bool) Verdict {
	m.advance(now)
	v := Verdict{Kind: Admit, LogOdds: m.total(), SuccessRatio: m.chance}
	if v.LogOdds < 0 {
		return v
	}
	m.endSurvivedTrial()
	if idempotent && !m.trying && !m.now.Before(m.nextTrial) {
		v.Kind = Trial
		return v
	}
	v.Kind, v.RetryAfter = Refuse, m.restLeft()
	return v
}

func (m *Module) advance(now time.Time) {
	if !now.After(m.now) {
		return
	}
	if !m.now.IsZero() {
		fade := math.Exp(-float64(now.Sub(m.now)) / float64(m.settings.Recovery))
		m.odds = m.settings.Usual + (m.odds-m.settings.Usual)*fade
		m.silent *= fade
	}
	m.now = now
}

func (m *Module) end(msg EndMsg) {
	r, known := m.running[msg.ID]
	if !known {
		return
	}
	delete(m.running, msg.ID)
	if m.trying && m.trial == msg.ID {
		m.trying = false
	}
	took := m.now.Sub(r.since)
	switch msg.Kind {
	case Succeeded:
		// A success that came very late is no sign of health.
		if m.stall(r) == 0 {
			m.shift(m.settings.Success)
		}
		m.learn(r.class, took)
		m.pause = 0
		m.chance += chanceGain * (1 - m.chance)
	case Failed:
		m.failedAt = m.now
		if m.quick(r.class, took) {
			m.shift(m.settings.QuickFailure)
		} else {
			m.shift(m.settings.Failure)
		}
		m.chance -= chanceGain * m.chance
		m.delayTrial()
	case Shed:
		m.shift(m.settings.Shed)
		m.delayTrial()
	case Inconclusive:
		// A request that was given up after a long silence keeps its weight.
		stall := m.stall(r)
		m.shift(stall)
		m.silent += stall
	}
}

// quick reports whether a failure came before the target can have worked on the request.
func (m *Module) quick(class string, took time.Duration) bool {
	c := m.means[class]
	return c == nil || c.samples < meanSamples || took < quickTime(c)
}

// quickTime is the time within which a failure counts as quick.
func quickTime(c *mean) time.Duration {
	return max(time.Duration(quickShare*c.value*float64(time.Second)), quickLeast)
}

// survived reports whether a running request is past the time within which sick targets mostly fail theirs.
func (m *Module) survived(r run) bool {
	after := surviveUsual
	if c := m.means[r.class]; c != nil && c.samples >= meanSamples {
		after = max(surviveLeast, quickTime(c))
	}
	return m.now.Sub(r.since) >= after
}

// endSurvivedTrial permits the next trial as soon as the present one has survived.
func (m *Module) endSurvivedTrial() {
	if r, runs := m.running[m.trial]; m.trying && runs && m.survived(r) {
		m.trying, m.pause = false, 0
	}
}

func (m *Module) delayTrial() {
	m.pause = min(trialMost, max(m.settings.TrialPause, time.Duration(trialGrowth*float64(m.pause))))
	m.nextTrial = m.now.Add(m.pause)
}

func (m *Module) shift(by float64) {
	m.odds = max(-m.settings.Bound, min(m.settings.Bound, m.odds+by))
}

func (m *Module) learn(class string, took time.Duration) {
	c := m.means[class]
	if c == nil {
		c = &mean{}
		m.means[class] = c
	}
	c.samples++
	c.value += max(meanGain, 1/float64(c.samples)) * (took.Seconds() - c.value)
}

// total adds the evidence of running requests, which goes when they end. One that began after the latest failure and has
// survived speaks for the target, unless it or earlier ones stay unanswered for long: a target that hangs fails nothing
// quickly either.
func (m *Module) total() float64 {
	stalls, survivors := 0.0, 0
	for _, r := range m.running {
		if stall := m.stall(r); stall > 0 {
			stalls += stall
		} else if r.since.After(m.failedAt) && m.survived(r) {
			survivors++
		}
	}
	odds := m.odds + stalls
	if m.silent+stalls < silentMost {
		odds += float64(survivors) * m.settings.Survived
	}
	return odds
}

// stall returns the evidence of one request that is still unanswered: the logarithm of how much more often a sick target
// leaves a request unanswered for so long than a sound one does.
func (m *Module) stall(r run) float64 {
	c := m.means[r.class]
	if c == nil || c.samples < meanSamples || c.value <= 0 {
		return 0
	}
	sound := math.Exp(-m.now.Sub(r.since).Seconds() / c.value)
	evidence := math.Log(stallShare/sound+1-stallShare) - stallFrom
	return max(0, min(m.settings.Stall, evidence))
}

// restLeft returns the time until the odds of ended requests favour health.
func (m *Module) restLeft() time.Duration {
	wait := m.settings.TrialPause
	if m.odds > 0 && m.settings.Usual < 0 {
		fade := math.Log((m.odds - m.settings.Usual) / -m.settings.Usual)
		wait = max(wait, time.Duration(fade*float64(m.settings.Recovery)))
	}
	return wait
}

func (m *Module) cross() []Cmd {
	odds := m.total()
	switch closed := odds >= 0; {
	case closed && !m.closed:
		m.closed = true
		return []Cmd{UnhealthyCmd{LogOdds: odds}}
	case !closed && m.closed:
		m.closed = false
		return []Cmd{HealthyCmd{LogOdds: odds}}
	default:
		return nil
	}
}
