package eject

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Module is the deterministic state machine that owns the evidence and the state of all targets. It is not safe for
// concurrent use.
type Module struct {
	config    Config
	rng       *rand.Rand
	now       time.Time
	services  []*service
	byName    map[string]*service
	histories map[historyKey]*history
	// unusedHistories holds the keys of the histories whose target is not announced.
	unusedHistories map[historyKey]struct{}
	claims          []model.Claim
	snapshot        *Snapshot
	// changed tells that a service was evaluated since the last publication.
	changed bool
}

type historyKey struct{ service, id string }

type service struct {
	spec       model.ServiceSpec
	thresholds Thresholds
	// slack is added to the duration above which a request counts as slow.
	slack time.Duration
	// useOwnBaseline tells that the observer may compare a target with its own baseline, since an agent mostly has no
	// other targets to compare with.
	useOwnBaseline bool
	targets        []*target
	byRef          map[model.TargetRef]*target
	references     map[string]*reference
	referencesAt   time.Time
	// releasedAt is when the medians of all targets were last computed and unused samples freed.
	releasedAt time.Time
	// dirty tells that new evidence arrived since the last evaluation, active that some target needs evaluation without
	// new evidence because it is not healthy.
	dirty  bool
	active bool
	// verdictsStale tells that the service was evaluated after its verdicts and claims were computed.
	verdictsStale bool
	verdicts      []TargetVerdict
	claims        []model.Claim
	// commonCauseUntil and commonSlownessUntil are the times until which symptoms and slowness are assumed to be common to
	// the service.
	commonCauseUntil    time.Time
	commonSlownessUntil time.Time
	idempotentAt        time.Time
	classCounts         map[string]int
}

// New returns a module without services.
func New(c Config) *Module {
	if c.Thresholds == nil {
		c.Thresholds = ThresholdsOf
	}
	return &Module{
		config: c, rng: rand.New(rand.NewPCG(c.Seed, uint64(c.Observer))), byName: make(map[string]*service),
		histories: make(map[historyKey]*history), unusedHistories: make(map[historyKey]struct{}), snapshot: &Snapshot{},
	}
}

// Snapshot returns the current verdicts.
func (m *Module) Snapshot() *Snapshot { return m.snapshot }

// Claims returns the claims that the agent's observer publishes, sorted by target.
func (m *Module) Claims() []model.Claim { return m.claims }

// Update applies one message and returns its commands; time never goes backward, so an earlier time is replaced by the
// latest one.
func (m *Module) Update(msg Msg) []Cmd {
	if msg.at().After(m.now) {
		m.now = msg.at()
	}
	switch msg := msg.(type) {
	case ServicesMsg:
		m.replaceServices(msg.Services)
	case ChangeMsg:
		return m.applyChange(msg)
	case ClaimMsg:
		m.replaceClaims(msg.Claims)
	case ResultMsg:
		m.recordResult(msg)
		return nil
	case InFlightMsg:
		m.recordInFlight(msg)
		return nil
	case IdleMsg:
		m.releaseIdle(msg)
		return nil
	case TickMsg:
		m.tick()
	}
	return m.publish()
}

func (m *Module) find(ref model.TargetRef) (*service, *target) {
	s := m.byName[ref.Service]
	if s == nil {
		return nil, nil
	}
	return s, s.byRef[ref]
}

func (m *Module) replaceServices(list []Service) {
	old := m.byName
	m.byName = make(map[string]*service, len(list))
	m.services = m.services[:0:0]
	for _, item := range list {
		s := m.newService(item, old[item.Spec.Name])
		m.byName[item.Spec.Name] = s
		m.services = append(m.services, s)
	}
	m.findUnusedHistories()
	m.expireHistories()
	m.changed = true
}

func (m *Module) newService(item Service, old *service) *service {
	s := &service{
		spec: item.Spec, thresholds: m.config.Thresholds(item.Spec), slack: edgeSlack, dirty: true, verdictsStale: true,
		byRef: make(map[model.TargetRef]*target, len(item.Targets)), classCounts: make(map[string]int),
	}
	if m.config.Observer == ObserverAgent {
		s.slack, s.useOwnBaseline = agentSlack, true
	}
	if old != nil {
		s.idempotentAt, s.classCounts = old.idempotentAt, old.classCounts
		s.commonCauseUntil, s.commonSlownessUntil = old.commonCauseUntil, old.commonSlownessUntil
	}
	for _, announced := range item.Targets {
		t := m.targetFor(announced, old)
		if s.byRef[announced.Ref] == nil {
			s.targets = append(s.targets, t)
		}
		s.byRef[announced.Ref] = t
	}
	slices.SortFunc(s.targets, func(a, b *target) int { return a.Ref.Compare(b.Ref) })
	return s
}

// targetFor returns the state of a known target, or a new one; a target that joins a running service begins with slow
// start.
func (m *Module) targetFor(announced model.Target, old *service) *target {
	if old != nil {
		if t := old.byRef[announced.Ref]; t != nil {
			t.Target = announced
			return t
		}
	}
	key := historyKey{announced.Ref.Service, announced.Ref.ID}
	if m.histories[key] == nil {
		m.histories[key] = &history{}
	}
	delete(m.unusedHistories, key)
	t := &target{Target: announced, history: m.histories[key]}
	if old != nil {
		t.readmit(m.now, old.thresholds.SlowStart)
	}
	return t
}

func (m *Module) findUnusedHistories() {
	for key, h := range m.histories {
		s := m.byName[key.service]
		known := s != nil && slices.ContainsFunc(s.targets, func(t *target) bool { return t.history == h })
		if !known {
			m.unusedHistories[key] = struct{}{}
		}
	}
}

func (m *Module) replaceClaims(claims []model.Claim) {
	for _, s := range m.services {
		m.setClaims(s, claims)
		m.advance(s)
	}
}

func (m *Module) recordResult(msg ResultMsg) {
	s, t := m.find(msg.Target)
	if t == nil {
		return
	}
	if msg.Idempotent {
		s.idempotentAt = m.now
	}
	if msg.Kind == KindNone || m.now.Add(-msg.Duration).Before(t.evidenceFrom) {
		return
	}
	limit, known := s.slowLimit(t, msg.Class)
	slow := known && msg.Duration > limit
	if msg.Kind == KindCanceled {
		if !slow && msg.Duration < s.thresholds.StallAfter {
			return
		}
		msg.Kind = KindTimeout
	}
	msg.Now = m.now
	gain := baselineGain
	if t.phase != StateHealthy || t.symptom.isSuspect(true) {
		gain = suspectGain
	}
	t.evidence.record(msg, slow, gain)
	if msg.Kind == KindOK {
		t.evidence.class(msg.Class).lastLatency = s.classifyLatency(t, msg.Class, msg.Duration, slow, known)
	}
	s.classCounts[msg.Class]++
	s.dirty, t.dirty, t.mediansStale = true, true, true
}

func (m *Module) recordInFlight(msg InFlightMsg) {
	s, t := m.find(msg.Target)
	if t == nil {
		return
	}
	c := t.evidence.class(msg.Class)
	c.inFlight, c.oldestAge, c.secondAge, c.reportedAt = msg.Count, msg.OldestAge, msg.SecondAge, m.now
	s.dirty, t.dirty = true, true
}

// mainClass returns the class with the most requests.
func (s *service) mainClass() string {
	main := ""
	for name, n := range s.classCounts {
		if n > s.classCounts[main] || n == s.classCounts[main] && name < main {
			main = name
		}
	}
	return main
}

func (m *Module) tick() {
	for _, s := range m.services {
		m.advance(s)
	}
}
