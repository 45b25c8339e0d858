package limit

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/invar"
)

const (
	// contentionMemory is how long the refusal of an account below its share limits the others to theirs.
	contentionMemory = time.Second
	// usualDuration stands for the duration of requests until the first one has ended.
	usualDuration = 100 * time.Millisecond
	// durationGain is the share of a new sample in the mean duration.
	durationGain = 1.0 / 32
	// maxKinds bounds the kinds whose durations are remembered.
	maxKinds = 256
	// shareGain is the share of a new observation in the parts of the slots that each rank holds.
	shareGain = 1.0 / 32
	// leastShare is the part of the slots that is taken to be left for any rank, so that estimates stay finite.
	leastShare = 0.1
	// lateMargin is how many times its expected wait a request must have left when it will miss its objective.
	lateMargin = 2
	// reservedSlots stay free under contention.
	reservedSlots = 1
	retryMin      = 10 * time.Millisecond
	retryMax      = 30 * time.Second
)

// Module is the deterministic part of the admission to one target. It is not safe for concurrent use.
type Module struct {
	settings Settings
	now      time.Time
	learner  learner
	running  map[uint64]running
	queue    queue
	accounts map[string]*account
	// denied holds the two latest accounts that were refused below their share, the latest first.
	denied [2]denial
	usual  mean
	kinds  map[string]*mean
	// shares are the parts of the slots that requests of a rank usually hold.
	shares map[int]float64
}

type running struct {
	account  *account
	since    time.Time
	inFlight int
	kind     string
	rank     int
}

// mean is a moving mean of durations.
type mean struct {
	value   time.Duration
	samples int
}

func (m *mean) add(took time.Duration) {
	m.samples++
	m.value += time.Duration(max(durationGain, 1/float64(m.samples)) * float64(took-m.value))
}

type denial struct {
	account string
	at      time.Time
}

// NewModule returns a module with nothing in flight.
func NewModule(s Settings) *Module {
	m := &Module{
		running: make(map[uint64]running), accounts: make(map[string]*account),
		queue: queue{byID: make(map[uint64]*waiter)}, usual: mean{value: usualDuration}, kinds: make(map[string]*mean),
		shares: make(map[int]float64),
	}
	m.configure(s)
	return m
}

// Load returns the present use.
func (m *Module) Load() Load {
	return Load{InFlight: len(m.running), Waiting: m.queue.len(), Limit: m.learner.value()}
}

// Update applies one message and returns its effects; a time before the latest one is taken as the latest one.
func (m *Module) Update(msg Msg) []Cmd {
	if msg.at().After(m.now) {
		m.now = msg.at()
	}
	cmds := m.expire()
	switch msg := msg.(type) {
	case SettingsMsg:
		m.configure(msg.Settings)
	case AcquireMsg:
		cmds = append(cmds, m.acquire(msg)...)
	case ReleaseMsg:
		m.release(msg)
	case FlushMsg:
		cmds = append(cmds, m.flush()...)
	case CancelMsg:
		if w := m.queue.remove(msg.ID); w != nil {
			m.forget(w.account)
		}
	}
	return append(cmds, m.dispatch()...)
}

func (m *Module) configure(s Settings) {
	m.settings = s.normal()
	m.learner.resize(m.settings.Slots)
}

func (m *Module) acquire(msg AcquireMsg) []Cmd {
	a := m.accounts[msg.Account]
	if a == nil {
		a = &account{name: msg.Account}
		m.accounts[msg.Account] = a
	}
	defer m.forget(a)
	m.observeShares()
	if !msg.Deadline.IsZero() && !msg.Deadline.After(m.now) {
		return []Cmd{m.refuse(msg.ID, ReasonDeadline)}
	}
	if m.free() > 0 && m.queue.len() == 0 && m.mayRun(a) {
		return []Cmd{m.grant(&waiter{id: msg.ID, account: a, rank: msg.Rank, kind: msg.Route})}
	}
	return m.enqueue(msg, a)
}

// enqueue queues the request or refuses it at once if it has no place or would not be done in time.
func (m *Module) enqueue(msg AcquireMsg, a *account) []Cmd {
	reason, expires := m.admitToQueue(msg, a)
	if reason != 0 {
		if reason != ReasonDeadline || !m.now.Add(m.durationOf(msg.Route)).After(msg.Deadline) {
			m.deny(a)
		}
		return []Cmd{m.refuseRank(msg.ID, reason, msg.Rank)}
	}
	cmds := m.makePlace(a, msg.Rank)
	m.queue.push(&waiter{id: msg.ID, account: a, expires: expires, rank: msg.Rank, kind: msg.Route, objective: msg.Objective})
	invar.Check(m.queue.len() <= m.settings.Places, "limit", "%d requests wait in %d places", m.queue.len(),
		m.settings.Places)
	return append(cmds, WaitCmd{ID: msg.ID, Until: expires})
}

// admitToQueue returns the reason against a place in the queue, or until when the request may wait.
func (m *Module) admitToQueue(msg AcquireMsg, a *account) (reason Reason, expires time.Time) {
	places, patience := m.settings.Places, m.settings.MaxWait
	if msg.HasPatience {
		patience = msg.Patience
	}
	wait := m.waitOf(m.ahead(a, msg.Rank), msg.Rank)
	expires = m.now.Add(patience)
	latest := expires
	if !msg.Deadline.IsZero() {
		latest = msg.Deadline.Add(-m.durationOf(msg.Route))
	}
	switch {
	case m.queue.len() > places, m.queue.len() == places && m.displaced(a) == nil && m.outranked(msg.Rank) == nil:
		if !m.mayRun(a) {
			return ReasonAccountShare, expires
		}
		return ReasonQueueFull, expires
	case m.now.Add(wait).After(latest) && latest.Before(expires):
		return ReasonDeadline, expires
	case wait > patience, m.tooLate(msg, wait):
		return ReasonQueueFull, expires
	case latest.Before(expires):
		return 0, latest
	default:
		return 0, expires
	}
}

// tooLate reports whether a request would miss its objective and has too little time beyond it: others that can still meet
// theirs would start before it until its time is over.
func (m *Module) tooLate(msg AcquireMsg, wait time.Duration) bool {
	duration := m.durationOf(msg.Route)
	if msg.Objective.IsZero() || msg.Deadline.IsZero() || !m.now.Add(wait+duration).After(msg.Objective) {
		return false
	}
	return wait > msg.Deadline.Add(-duration).Sub(m.now)/lateMargin
}

// hopeless reports whether a waiting request misses its objective and would hardly start in its time; work is that of all
// waiters.
func (m *Module) hopeless(w *waiter, work time.Duration) bool {
	return m.late(w) && m.now.Add(m.expectedWait(work-m.durationOf(w.kind))).After(w.expires)
}

// displaced returns the account that gives a place of the full queue to an account that holds less, or nil.
func (m *Module) displaced(a *account) *account {
	if m.settings.AccountShare >= 1 {
		return nil
	}
	var most *account
	for _, other := range m.queue.ring {
		if !m.belowShare(other) && other.held() > a.held()+1 && (most == nil || other.held() > most.held()) {
			most = other
		}
	}
	return most
}

// outranked returns the waiter that gives its place in the full queue to a more urgent request, or nil: the latest of the
// least urgent ones.
func (m *Module) outranked(rank int) *waiter {
	var last *waiter
	for _, w := range m.queue.all() {
		if w.rank > rank && (last == nil || w.rank >= last.rank) {
			last = w
		}
	}
	return last
}

// makePlace refuses the latest request of the displaced account when the queue is full, or else the outranked one.
func (m *Module) makePlace(a *account, rank int) []Cmd {
	if m.queue.len() < m.settings.Places {
		return nil
	}
	if other := m.displaced(a); other != nil {
		last := other.waiters[len(other.waiters)-1]
		m.queue.remove(last.id)
		return []Cmd{m.refuse(last.id, ReasonAccountShare)}
	}
	last := m.outranked(rank)
	m.queue.remove(last.id)
	m.forget(last.account)
	return []Cmd{m.refuseRank(last.id, ReasonQueueFull, last.rank)}
}

// ahead is the work of the waiters that start before the next one of the account. Those of accounts below their share come
// first; otherwise the accounts have turns.
func (m *Module) ahead(a *account, rank int) time.Duration {
	first := m.belowShare(a)
	work := m.work(upToRank(a.waiters, rank))
	for _, other := range m.queue.ring {
		switch {
		case other == a, first && !m.belowShare(other):
		case !first && m.belowShare(other):
			work += m.work(other.waiters)
		default:
			work += m.work(other.waiters[:min(len(a.waiters)+1, len(other.waiters))])
		}
	}
	return work
}

// upToRank returns the waiters that a request of the rank does not overtake.
func upToRank(waiters []*waiter, rank int) []*waiter {
	var list []*waiter
	for _, w := range waiters {
		if w.rank <= rank {
			list = append(list, w)
		}
	}
	return list
}

// work is the time that the waiters usually take, one after the other.
func (m *Module) work(waiters []*waiter) time.Duration {
	var total time.Duration
	for _, w := range waiters {
		total += m.durationOf(w.kind)
	}
	return total
}

// expectedWait estimates when a request behind so much work would start: a slot must come free, and take it on.
func (m *Module) expectedWait(ahead time.Duration) time.Duration {
	running, stretch := m.pace()
	return time.Duration(stretch * float64(ahead+running) / float64(m.learner.value()))
}

// pace returns the usual duration of the requests that run, and how many times longer than it they have taken by now, if
// they have.
func (m *Module) pace() (running time.Duration, stretch float64) {
	if len(m.running) == 0 {
		return m.usual.value, 1
	}
	var usual, ages time.Duration
	for _, r := range m.running {
		usual += m.durationOf(r.kind)
		ages += m.now.Sub(r.since)
	}
	running = usual / time.Duration(len(m.running))
	if !m.settings.FixedLimit || usual <= 0 {
		return running, 1
	}
	return running, max(1, float64(ages)/float64(usual))
}

// waitOf estimates when a request of the rank would start behind so much work: the slots that come free go to lower ranks
// first, in the part that these usually hold.
func (m *Module) waitOf(ahead time.Duration, rank int) time.Duration {
	before := 0.0
	for r, share := range m.shares {
		if r < rank {
			before += share
		}
	}
	return time.Duration(float64(m.expectedWait(ahead)) / max(leastShare, 1-before))
}

// observeShares brings the parts of the slots that each rank holds up to date.
func (m *Module) observeShares() {
	for rank := range m.shares {
		m.shares[rank] -= shareGain * m.shares[rank]
	}
	for _, r := range m.running {
		m.shares[r.rank] += shareGain / float64(m.learner.value())
	}
}

// durationOf returns the usual duration of requests of the kind.
func (m *Module) durationOf(kind string) time.Duration {
	if k := m.kinds[kind]; k != nil && kind != "" {
		return k.value
	}
	return m.usual.value
}

func (m *Module) refuse(id uint64, reason Reason) Cmd {
	return m.refuseAfter(id, reason, m.expectedWait(m.work(m.queue.all())))
}

// refuseRank tells the wait that a request of the rank would have.
func (m *Module) refuseRank(id uint64, reason Reason, rank int) Cmd {
	return m.refuseAfter(id, reason, m.waitOf(m.work(upToRank(m.queue.all(), rank)), rank))
}

func (m *Module) refuseAfter(id uint64, reason Reason, wait time.Duration) Cmd {
	after := min(retryMax, max(retryMin, wait))
	if reason == ReasonAccountShare {
		after = max(after, contentionMemory)
	}
	return RefuseCmd{ID: id, Reason: reason, RetryAfter: after}
}

func (m *Module) grant(w *waiter) Cmd {
	w.account.inFlight++
	m.running[w.id] = running{account: w.account, since: m.now, inFlight: len(m.running) + 1, kind: w.kind, rank: w.rank}
	invar.Check(len(m.running) <= m.settings.Slots, "limit", "%d requests run in %d slots", len(m.running), m.settings.Slots)
	return GrantCmd{ID: w.id}
}

func (m *Module) release(msg ReleaseMsg) {
	r, found := m.running[msg.ID]
	if !found {
		return
	}
	delete(m.running, msg.ID)
	r.account.inFlight--
	m.forget(r.account)
	if msg.Result.OK {
		took := m.now.Sub(r.since)
		m.usual.add(took)
		m.learnKind(r.kind, took)
		if !m.settings.FixedLimit {
			m.learner.observe(took, r.inFlight)
		}
	}
}

func (m *Module) learnKind(kind string, took time.Duration) {
	if kind == "" {
		return
	}
	if m.kinds[kind] == nil {
		if len(m.kinds) >= maxKinds {
			return // The mean of all kinds stands for further ones.
		}
		m.kinds[kind] = &mean{}
	}
	m.kinds[kind].add(took)
}

// dispatch starts waiting requests in the free slots, those of accounts below their share first.
func (m *Module) dispatch() []Cmd {
	var cmds []Cmd
	for m.free() > 0 && m.queue.len() > 0 {
		w := m.queue.next(m.belowShare, m.before)
		if w == nil {
			w = m.queue.next(m.mayRun, m.before)
		}
		if w == nil {
			break
		}
		cmds = append(cmds, m.grant(w))
	}
	return cmds
}

// before reports whether one waiter starts before another one of its account: those that can still meet their objective
// first, then by rank.
func (m *Module) before(a, b *waiter) bool {
	if lateA, lateB := m.late(a), m.late(b); lateA != lateB {
		return lateB
	}
	return a.rank < b.rank
}

func (m *Module) late(w *waiter) bool {
	return !w.objective.IsZero() && m.now.Add(m.durationOf(w.kind)).After(w.objective)
}

func (m *Module) flush() []Cmd {
	var cmds []Cmd
	for _, w := range m.queue.all() {
		m.queue.remove(w.id)
		m.forget(w.account)
		cmds = append(cmds, m.refuse(w.id, ReasonUnhealthy))
	}
	return cmds
}

func (m *Module) expire() []Cmd {
	var cmds []Cmd
	for _, w := range m.queue.expired(m.now) {
		m.queue.remove(w.id)
		m.deny(w.account)
		m.forget(w.account)
		cmds = append(cmds, m.refuse(w.id, ReasonWaitTimeout))
	}
	waiters := m.queue.all()
	work := m.work(waiters)
	for _, w := range waiters {
		if m.hopeless(w, work) {
			m.queue.remove(w.id)
			m.forget(w.account)
			work -= m.durationOf(w.kind)
			cmds = append(cmds, m.refuse(w.id, ReasonDeadline))
		}
	}
	return cmds
}

func (m *Module) free() int {
	return m.learner.value() - len(m.running)
}

// mayRun reports whether the account is below its share, or no other account needs the slots. With a queue, one free
// slot is enough for an account that was refused below its share: its next requests wait and come first.
func (m *Module) mayRun(a *account) bool {
	if !m.contended(a) || m.belowShare(a) {
		return true
	}
	return m.settings.Places > 0 && m.free() > reservedSlots
}

func (m *Module) belowShare(a *account) bool {
	return a.inFlight < m.settings.shareOf(m.learner.value())
}

func (m *Module) contended(a *account) bool {
	for _, d := range m.denied {
		if d.account != a.name && !d.at.IsZero() && m.now.Sub(d.at) < contentionMemory {
			return true
		}
	}
	return false
}

// deny notes a refusal of an account below its share, for which the other accounts give way.
func (m *Module) deny(a *account) {
	if !m.belowShare(a) {
		return
	}
	if m.denied[0].account != a.name {
		m.denied[1] = m.denied[0]
	}
	m.denied[0] = denial{account: a.name, at: m.now}
}

func (m *Module) forget(a *account) {
	if a.inFlight == 0 && len(a.waiters) == 0 {
		delete(m.accounts, a.name)
	}
}
