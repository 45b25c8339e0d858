package limit

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/invar"
)

const (
	// contentionWindow is how long the refusal of an account below its share limits the other accounts to theirs.
	contentionWindow = time.Second
	// A request that will miss its objective must have at least lateMargin times its expected wait left.
	lateMargin = 2
	// onceMargin is the multiple of its usual duration that a request which must not run twice needs after a wait.
	onceMargin = 2
	// reservedSlots stay free under contention.
	reservedSlots = 1
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Module is the deterministic admission control of one target. It is not safe for concurrent use.
type Module struct {
	settings Settings
	now      time.Time
	limit    adaptiveLimit
	rate     rateLimit
	running  map[uint64]runningRequest
	queue    queue
	accounts map[string]*account
	// denials are the two latest accounts that were refused while below their share, the latest first.
	denials        [2]denial
	duration       durationMean
	routeDurations map[string]*durationMean
	// rankShares is the moving average of the share of the slots that each rank holds.
	rankShares map[int]float64
	// turn is the time used by the account that had the latest turn.
	turn time.Duration
}

type runningRequest struct {
	account  *account
	since    time.Time
	inFlight int
	route    string
	rank     int
}

type denial struct {
	account string
	at      time.Time
}

// NewModule returns a module with no request in flight.
func NewModule(s Settings) *Module {
	m := &Module{
		running: make(map[uint64]runningRequest), accounts: make(map[string]*account),
		queue: queue{byID: make(map[uint64]*waiter)}, duration: durationMean{value: initialDuration},
		routeDurations: make(map[string]*durationMean), rankShares: make(map[int]float64),
	}
	m.configure(s)
	return m
}

// Load returns the current load.
func (m *Module) Load() Load {
	limit := m.rate.concurrency(m.duration.value, m.limit.value())
	return Load{InFlight: len(m.running), Waiting: m.queue.len(), Limit: limit}
}

// Update applies one message and returns its effects. A time before the latest one counts as the latest one.
func (m *Module) Update(msg Msg) []Cmd {
	if msg.at().After(m.now) {
		m.now = msg.at()
	}
	m.rate.advance(m.now)
	cmds := m.expire()
	switch msg := msg.(type) {
	case RateMsg:
		m.rate.set(m.now, msg.Rate, msg.Limited)
	case SettingsMsg:
		m.configure(msg.Settings)
	case AcquireMsg:
		cmds = append(cmds, m.acquire(msg)...)
	case ReleaseMsg:
		m.release(msg)
	case RefuseWaitingMsg:
		cmds = append(cmds, m.refuseWaiting()...)
	case CancelMsg:
		if w := m.queue.remove(msg.ID); w != nil {
			m.dropIfIdle(w.account)
		}
	}
	return append(append(cmds, m.dispatch()...), m.wake()...)
}

// wake asks for a tick if the rate limit alone holds back the next waiting request.
func (m *Module) wake() []Cmd {
	if m.queue.len() == 0 || m.freeSlots() <= 0 || m.rate.permits() {
		return nil
	}
	return []Cmd{WakeCmd{At: m.now.Add(m.rate.wait(0))}}
}

func (m *Module) configure(s Settings) {
	m.settings = s.normalized()
	m.limit.resize(m.settings.Slots)
}

func (m *Module) acquire(msg AcquireMsg) []Cmd {
	a := m.accounts[msg.Account]
	if a == nil {
		a = &account{name: msg.Account}
		m.accounts[msg.Account] = a
	}
	defer m.dropIfIdle(a)
	m.updateRankShares()
	if m.settings.FairTurns {
		m.updateAccountShares()
	}
	if !msg.Deadline.IsZero() && !msg.Deadline.After(m.now) {
		return []Cmd{m.refuse(msg.ID, ReasonDeadline)}
	}
	if m.freeSlots() > 0 && m.rate.permits() && m.queue.len() == 0 && m.mayRun(a) {
		m.activate(a)
		return []Cmd{m.grant(&waiter{id: msg.ID, account: a, rank: msg.Rank, route: msg.Route})}
	}
	return m.enqueue(msg, a)
}

// enqueue queues the request, or refuses it at once if there is no place or it would not finish in time.
func (m *Module) enqueue(msg AcquireMsg, a *account) []Cmd {
	reason, expires := m.admitToQueue(msg, a)
	if reason != 0 {
		if reason != ReasonDeadline || !m.now.Add(m.durationOf(msg.Route)).After(msg.Deadline) {
			m.recordDenial(a)
		}
		return []Cmd{m.refuseFor(msg.ID, reason, a, msg.Rank)}
	}
	cmds := m.freePlace(a, msg.Rank)
	m.activate(a)
	m.queue.push(&waiter{id: msg.ID, account: a, expires: expires, rank: msg.Rank, route: msg.Route, objective: msg.Objective})
	invar.Check(m.queue.len() <= m.settings.Places, "limit", "%d requests wait in %d places", m.queue.len(),
		m.settings.Places)
	return append(cmds, WaitCmd{ID: msg.ID, Until: expires})
}

// admitToQueue returns the reason to refuse a queue place, or how long the request may wait.
func (m *Module) admitToQueue(msg AcquireMsg, a *account) (reason Reason, expires time.Time) {
	places, patience := m.settings.Places, m.settings.MaxWait
	if msg.HasPatience {
		patience = msg.Patience
	}
	ahead := m.waitersAhead(a, msg.Rank)
	wait, overrun := m.slotWait(ahead, msg.Rank), false
	if m.settings.FairTurns {
		own := m.ownWait(a, msg.Rank)
		wait, overrun = max(wait, own), m.overruns(msg, own)
	}
	expires = m.now.Add(patience)
	latest := expires
	if !msg.Deadline.IsZero() {
		latest = msg.Deadline.Add(-m.timeToRun(msg))
	}
	switch {
	case m.queue.len() > places,
		m.queue.len() == places && m.accountToDisplace(a) == nil && m.waiterToDisplace(a, msg.Rank) == nil:
		if !m.mayRun(a) {
			return ReasonAccountShare, expires
		}
		return ReasonQueueFull, expires
	case m.now.Add(wait).After(latest) && latest.Before(expires):
		return ReasonDeadline, expires
	case wait > patience, overrun, m.startsTooLate(msg, wait):
		return ReasonQueueFull, expires
	case m.rateRefuses(msg, m.shareWait(m.rate.wait(len(ahead)), msg.Rank), patience, latest):
		return ReasonRateLimit, expires
	case latest.Before(expires):
		return 0, latest
	default:
		return 0, expires
	}
}

// timeToRun returns the time that a waiting request must have left when it starts.
func (m *Module) timeToRun(msg AcquireMsg) time.Duration {
	if msg.RunsOnce {
		return onceMargin * m.durationOf(msg.Route)
	}
	return m.durationOf(msg.Route)
}

// rateRefuses reports whether the request would wait too long for the rate limit of the target. Other targets may take it.
// A request that would miss its objective gets no place: the limit lets through a fixed number of requests, so that it would
// only take the place of one that can meet its objective.
func (m *Module) rateRefuses(msg AcquireMsg, wait, patience time.Duration, latest time.Time) bool {
	if wait <= 0 {
		return false
	}
	late := !msg.Objective.IsZero() && m.now.Add(wait+m.durationOf(msg.Route)).After(msg.Objective)
	return late || wait > patience || m.now.Add(wait).After(latest)
}

// startsTooLate reports whether a request would miss its objective and has too little time beyond it: requests that can
// still meet their objective would start before it until it expires.
func (m *Module) startsTooLate(msg AcquireMsg, wait time.Duration) bool {
	duration := m.durationOf(msg.Route)
	if msg.Objective.IsZero() || msg.Deadline.IsZero() || !m.now.Add(wait+duration).After(msg.Objective) {
		return false
	}
	return wait > msg.Deadline.Add(-duration).Sub(m.now)/lateMargin
}

// unlikelyToStart reports whether a waiting request misses its objective and would hardly start before it expires; work
// is that of all waiters.
func (m *Module) unlikelyToStart(w *waiter, work time.Duration) bool {
	return m.missesObjective(w) && m.now.Add(m.expectedWait(work-m.durationOf(w.route))).After(w.expires)
}

// accountToDisplace returns the account that loses a place of the full queue to an account that holds less, or nil.
func (m *Module) accountToDisplace(a *account) *account {
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

// waiterToDisplace returns the waiter that loses its place of the full queue to a more urgent request, or nil. It is
// the latest of the least urgent ones.
func (m *Module) waiterToDisplace(a *account, rank int) *waiter {
	if m.settings.FairTurns {
		return m.lastInTurn(a, rank)
	}
	var last *waiter
	for _, w := range m.queue.all() {
		if w.rank > rank && (last == nil || w.rank >= last.rank) {
			last = w
		}
	}
	return last
}

// freePlace makes room in a full queue: it refuses the latest request of the account to displace, or else the waiter to
// displace.
func (m *Module) freePlace(a *account, rank int) []Cmd {
	if m.queue.len() < m.settings.Places {
		return nil
	}
	if other := m.accountToDisplace(a); other != nil {
		last := other.waiters[len(other.waiters)-1]
		m.queue.remove(last.id)
		return []Cmd{m.refuse(last.id, ReasonAccountShare)}
	}
	last := m.waiterToDisplace(a, rank)
	m.queue.remove(last.id)
	m.dropIfIdle(last.account)
	return []Cmd{m.refuseFor(last.id, ReasonQueueFull, last.account, last.rank)}
}

func (m *Module) refuse(id uint64, reason Reason) Cmd {
	return m.refuseAfter(id, reason, max(m.expectedWait(m.work(m.queue.all())), m.rate.wait(m.queue.len())))
}

// refuseFor refuses a request with the wait that a request of the account and rank would have.
func (m *Module) refuseFor(id uint64, reason Reason, a *account, rank int) Cmd {
	ahead, own := upToRank(m.queue.all(), rank), time.Duration(0)
	if m.settings.FairTurns {
		ahead, own = m.aheadInTurn(a, rank), m.ownWait(a, rank)
	}
	return m.refuseAfter(id, reason, max(m.slotWait(ahead, rank), m.shareWait(m.rate.wait(len(ahead)), rank), own))
}

func (m *Module) refuseAfter(id uint64, reason Reason, wait time.Duration) Cmd {
	after := min(maxRetryAfter, max(minRetryAfter, wait))
	if reason == ReasonAccountShare {
		after = max(after, contentionWindow)
	}
	return RefuseCmd{ID: id, Reason: reason, RetryAfter: after}
}

func (m *Module) grant(w *waiter) Cmd {
	m.rate.take()
	m.chargeTurn(w)
	w.account.inFlight++
	m.running[w.id] = runningRequest{
		account: w.account, since: m.now, inFlight: len(m.running) + 1, route: w.route, rank: w.rank,
	}
	invar.Check(len(m.running) <= m.settings.Slots, "limit", "%d requests run in %d slots", len(m.running), m.settings.Slots)
	return GrantCmd{ID: w.id}
}

func (m *Module) release(msg ReleaseMsg) {
	r, found := m.running[msg.ID]
	if !found {
		return
	}
	delete(m.running, msg.ID)
	if msg.Result.Unsent {
		m.rate.giveBack()
	}
	r.account.inFlight--
	m.dropIfIdle(r.account)
	if msg.Result.OK {
		took := m.now.Sub(r.since)
		m.duration.add(took)
		m.recordDuration(r.route, took)
		if !m.settings.FixedLimit {
			m.limit.observe(took, r.inFlight)
		}
	}
}

// dispatch starts waiting requests in the free slots, those of accounts below their share first.
func (m *Module) dispatch() []Cmd {
	var cmds []Cmd
	for m.freeSlots() > 0 && m.rate.permits() && m.queue.len() > 0 {
		w := m.nextToStart()
		if w == nil {
			break
		}
		cmds = append(cmds, m.grant(w))
	}
	return cmds
}

// nextToStart removes and returns the waiter that starts next, or nil if none may start.
func (m *Module) nextToStart() *waiter {
	if m.settings.FairTurns {
		return m.nextInTurn()
	}
	if w := m.queue.next(m.belowShare, m.startsBefore); w != nil {
		return w
	}
	return m.queue.next(m.mayRun, m.startsBefore)
}

// startsBefore reports whether one waiter starts before another one of its account: those that can still meet their
// objective first, then by rank.
func (m *Module) startsBefore(a, b *waiter) bool {
	if lateA, lateB := m.missesObjective(a), m.missesObjective(b); lateA != lateB {
		return lateB
	}
	return a.rank < b.rank
}

func (m *Module) missesObjective(w *waiter) bool {
	return !w.objective.IsZero() && m.now.Add(m.durationOf(w.route)).After(w.objective)
}

func (m *Module) refuseWaiting() []Cmd {
	var cmds []Cmd
	for _, w := range m.queue.all() {
		m.queue.remove(w.id)
		m.dropIfIdle(w.account)
		cmds = append(cmds, m.refuse(w.id, ReasonUnhealthy))
	}
	return cmds
}

func (m *Module) expire() []Cmd {
	var cmds []Cmd
	for _, w := range m.queue.expired(m.now) {
		m.queue.remove(w.id)
		m.recordDenial(w.account)
		m.dropIfIdle(w.account)
		cmds = append(cmds, m.refuse(w.id, ReasonWaitTimeout))
	}
	waiters := m.queue.all()
	work := m.work(waiters)
	for _, w := range waiters {
		reason := ReasonDeadline
		switch {
		case m.overtaken(w):
			reason = ReasonRateLimit
		case !m.unlikelyToStart(w, work):
			continue
		}
		m.queue.remove(w.id)
		m.dropIfIdle(w.account)
		work -= m.durationOf(w.route)
		cmds = append(cmds, m.refuse(w.id, reason))
	}
	return cmds
}

// overtaken reports whether the requests that a rate limit lets through are needed by others: a waiter that misses its
// objective starts after those that can meet theirs, and more of them arrive all the time.
func (m *Module) overtaken(w *waiter) bool {
	return m.rate.limited && m.queue.len() > 1 && m.missesObjective(w)
}

func (m *Module) freeSlots() int {
	return m.limit.value() - len(m.running)
}

// mayRun reports whether the account is below its share, or no other account needs the slots. With a queue, one free
// slot is enough for an account that was refused below its share: its next requests wait and are dispatched first.
func (m *Module) mayRun(a *account) bool {
	if !m.contended(a) || m.belowShare(a) {
		return true
	}
	return m.settings.Places > 0 && m.freeSlots() > reservedSlots
}

func (m *Module) belowShare(a *account) bool {
	return a.inFlight < m.settings.shareOf(m.limit.value())
}

func (m *Module) contended(a *account) bool {
	for _, d := range m.denials {
		if d.account != a.name && !d.at.IsZero() && m.now.Sub(d.at) < contentionWindow {
			return true
		}
	}
	return false
}

// recordDenial records the refusal of an account below its share, which limits the other accounts to their shares.
func (m *Module) recordDenial(a *account) {
	if !m.belowShare(a) {
		return
	}
	if m.denials[0].account != a.name {
		m.denials[1] = m.denials[0]
	}
	m.denials[0] = denial{account: a.name, at: m.now}
}

func (m *Module) dropIfIdle(a *account) {
	if a.inFlight == 0 && len(a.waiters) == 0 {
		delete(m.accounts, a.name)
	}
}
