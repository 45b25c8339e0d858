package quota

import (
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

const (
	inDomain   = time.Millisecond / 2
	betweenRTT = 24 * time.Millisecond
	spread     = 2 * time.Second
)

// fleet runs the modules of all nodes over a network without sockets, in steps of a millisecond.
type fleet struct {
	now      time.Duration
	random   *rand.Rand
	domains  int
	nodes    []*node
	messages []message
	terms    map[string]Terms
	cut      func(from, to int) bool
	loss     float64
	delay    time.Duration
	granted  map[string][]time.Duration
	refused  map[string]int
	messaged [2]int
	// encoders count the bytes of calls and replies by level, if set.
	encoders [2]*gob.Encoder
	bytes    [2]byteCounter
}

type byteCounter int

func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

// countBytes encodes messages as on connections that are in use.
func (f *fleet) countBytes() {
	for level := range f.encoders {
		f.encoders[level] = gob.NewEncoder(&f.bytes[level])
		_ = f.encoders[level].Encode(Ask{})   // Writing to a counter never fails.
		_ = f.encoders[level].Encode(Grant{}) // The same.
		f.bytes[level] = 0
	}
}

// node is one VM: the modules of its process and the calls that are in flight.
type node struct {
	index  int
	domain int
	// offset is the age of the VM at the start; epoch counts its processes.
	offset      time.Duration
	epoch       uint64
	knownFrom   time.Duration
	up          bool
	frozenUntil time.Duration
	share       *Share
	domainPool  *Pool
	fleetPool   *Pool
	rankings    [2]*Ranking
	calls       [2]call
	waiting     []waiter
	createsFrom time.Duration
	// idleUntil is the time before which nothing is due at the node.
	idleUntil, toldAt time.Duration
	// told identifies the rows of which the process was told.
	told uint64
}

type call struct {
	id       int
	peer     string
	deadline time.Duration
}

type waiter struct {
	account string
	until   time.Duration
	done    func(ok bool)
}

type message struct {
	at       time.Duration
	from, to int
	level    int
	id       int
	epoch    uint64
	ask      *Ask
	grant    *Grant
}

func newFleet(seed uint64, size, domains int, terms map[string]Terms) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), domains: domains, terms: terms, granted: make(map[string][]time.Duration),
		refused: make(map[string]int), cut: func(int, int) bool { return false },
	}
	for range size {
		f.add(0)
	}
	return f
}

// add adds a VM; tokens are created after the delay.
func (f *fleet) add(delay time.Duration) {
	n := &node{index: len(f.nodes), domain: len(f.nodes) % f.domains, offset: time.Duration(f.random.Int64N(int64(time.Hour))), knownFrom: f.now}
	f.nodes = append(f.nodes, n)
	f.start(n)
	n.createsFrom = f.now + delay
}

// start starts a process without state.
func (f *fleet) start(n *node) {
	n.up, n.epoch = true, n.epoch+1
	n.share = NewShare(n.id())
	n.domainPool = NewPool(PoolConfig{Self: n.id(), Epoch: n.epoch})
	n.fleetPool = NewPool(PoolConfig{Self: n.id(), Epoch: n.epoch, Top: true})
	n.rankings = [2]*Ranking{NewRanking(n.id(), "domain"), NewRanking(n.id(), "fleet")}
	n.calls, n.waiting, n.idleUntil, n.toldAt, n.told = [2]call{}, nil, 0, -time.Second, 0
	f.setTerms(n, f.terms)
}

func (f *fleet) kill(n *node) {
	n.up = false
	for _, w := range n.waiting {
		w.done(false)
	}
}

func (f *fleet) setTerms(n *node, terms map[string]Terms) {
	n.share.Update(TermsMsg{Terms: terms})
	n.domainPool.Update(TermsMsg{Terms: terms})
	n.fleetPool.Update(TermsMsg{Terms: terms})
}

func (n *node) id() string { return fmt.Sprint(n.index) }

func (n *node) runs(now time.Duration) bool { return n.up && now >= n.frozenUntil }

// step advances the time by one millisecond.
func (f *fleet) step() {
	f.now += time.Millisecond
	due := f.messages
	f.messages = nil
	for _, m := range due {
		if m.at > f.now || f.nodes[m.to].up && !f.nodes[m.to].runs(f.now) {
			f.messages = append(f.messages, m)
			continue
		}
		f.deliver(m)
	}
	for _, n := range f.nodes {
		if n.runs(f.now) && f.now >= n.idleUntil {
			f.run(n)
			n.idleUntil = f.idleUntil(n)
		}
	}
}

func (f *fleet) idleUntil(n *node) time.Duration {
	if len(n.waiting) > 0 {
		return f.now
	}
	local, next := f.now+n.offset, f.now+100*time.Millisecond
	for level, due := range []time.Duration{n.share.Due(), n.domainPool.Due(local)} {
		if n.calls[level].peer != "" {
			next = min(next, n.calls[level].deadline)
		} else if due != Never {
			next = min(next, due-n.offset)
		}
	}
	return next
}

func (f *fleet) run(n *node) {
	local := f.now + n.offset
	f.tell(n)
	for level := range n.calls {
		if c := &n.calls[level]; c.peer != "" && f.now >= c.deadline {
			f.fail(n, level)
		}
	}
	if n.calls[0].peer == "" && n.share.Due() <= local {
		peer := n.rankings[0].Choose(local).ID
		f.send(n, 0, peer, n.share.Update(SendMsg{Now: local, Pool: peer}).(SendCmd).Ask)
	}
	if n.calls[1].peer == "" && n.domainPool.Due(local) <= local {
		peer := n.rankings[1].Choose(local).ID
		f.send(n, 1, peer, n.domainPool.Update(SendMsg{Now: local, Pool: peer}).(SendCmd).Ask)
	}
	f.wake(n)
}

// tell applies the rows that have reached the node.
func (f *fleet) tell(n *node) {
	if f.now < n.toldAt+100*time.Millisecond {
		return
	}
	n.toldAt = f.now
	var domain, all []Peer
	known := uint64(0)
	for _, other := range f.nodes {
		if f.knows(n, other) {
			known += 1<<32 + other.epoch
		}
	}
	fraction := 0.0
	if f.now >= n.createsFrom {
		fraction = 1 / float64(known>>32)
	}
	n.share.Update(FractionMsg{Now: f.now + n.offset, Fraction: fraction})
	if known == n.told {
		return
	}
	n.told = known
	for _, other := range f.nodes {
		if !f.knows(n, other) {
			continue
		}
		all = append(all, Peer{ID: other.id(), Incarnation: other.epoch})
		if other.domain == n.domain {
			domain = append(domain, all[len(all)-1])
		}
	}
	n.rankings[0].Update(PeersMsg{Peers: domain})
	n.rankings[1].Update(PeersMsg{Peers: all})
}

// knows reports whether the row of the other node has reached the node.
func (f *fleet) knows(n, other *node) bool {
	return other == n || other.knownFrom == 0 || f.now >= other.knownFrom+spread
}

func (f *fleet) send(n *node, level int, peer string, ask Ask) {
	var to int
	_, _ = fmt.Sscan(peer, &to)
	c := &n.calls[level]
	c.id, c.peer, c.deadline = c.id+1, peer, f.now+[]time.Duration{domainCallTimeout, fleetCallTimeout}[level]
	m := message{from: n.index, to: to, level: level, id: c.id, epoch: n.epoch, ask: &ask}
	if to == n.index {
		f.deliver(m)
		return
	}
	f.messaged[level]++
	f.post(m)
}

// post puts the message on its way, or loses it.
func (f *fleet) post(m message) {
	if f.cut(m.from, m.to) || f.random.Float64() < f.loss {
		return
	}
	if e := f.encoders[m.level]; e != nil && m.from != m.to {
		if m.ask != nil {
			_ = e.Encode(m.ask) // Writing to a counter never fails.
		} else {
			_ = e.Encode(m.grant) // The same.
		}
	}
	m.at = f.now + inDomain
	if m.from != m.to && f.nodes[m.from].domain != f.nodes[m.to].domain {
		m.at = f.now + betweenRTT/2
	}
	if f.delay > 0 && f.random.IntN(10) == 0 {
		m.at += time.Duration(f.random.Int64N(int64(f.delay)))
	}
	if m.from == m.to {
		m.at = f.now
		f.deliver(m)
		return
	}
	f.messages = append(f.messages, m)
}

func (f *fleet) deliver(m message) {
	n := f.nodes[m.to]
	if !n.up {
		return
	}
	local := f.now + n.offset
	n.idleUntil = f.now
	if m.ask != nil {
		pool := n.domainPool
		if m.level == 1 {
			pool = n.fleetPool
		}
		grant := pool.Update(AskMsg{Now: local, Ask: *m.ask}).(GrantCmd).Grant
		f.post(message{from: m.to, to: m.from, level: m.level, id: m.id, epoch: m.epoch, grant: &grant})
		return
	}
	c := &n.calls[m.level]
	if m.epoch != n.epoch || c.peer == "" || c.id != m.id {
		return // The call timed out, or an earlier process made it.
	}
	n.rankings[m.level].Update(ReachedMsg{ID: c.peer})
	c.peer = ""
	if m.level == 0 {
		n.share.Update(GrantedMsg{Now: local, Grant: *m.grant})
	} else {
		n.domainPool.Update(GrantedMsg{Now: local, Grant: *m.grant})
	}
}

func (f *fleet) fail(n *node, level int) {
	local := f.now + n.offset
	n.rankings[level].Update(UnreachableMsg{Now: local, ID: n.calls[level].peer})
	n.calls[level].peer = ""
	if level == 0 {
		n.share.Update(FailedMsg{Now: local})
	} else {
		n.domainPool.Update(FailedMsg{Now: local})
	}
}

// request takes a token for a request at the node; done may be nil.
func (f *fleet) request(n *node, account string, done func(ok bool)) {
	if done == nil {
		done = func(bool) {}
	}
	if !n.runs(f.now) {
		return
	}
	w := waiter{account: account, until: f.now + n.offset + maxPatience, done: done}
	if !f.try(n, w, false) {
		n.idleUntil = f.now
		n.waiting = append(n.waiting, w)
	}
}

func (f *fleet) try(n *node, w waiter, waiting bool) (ended bool) {
	cmd := n.share.Update(TakeMsg{Now: f.now + n.offset, Account: w.account, Until: w.until, Waiting: waiting})
	switch cmd := cmd.(type) {
	case TokenCmd:
		if f.random.IntN(20) == 0 && cmd.Expires > 0 && w.account == "returned" {
			n.share.Update(GiveBackMsg{Now: f.now + n.offset, Account: w.account, Expires: cmd.Expires})
		} else {
			f.granted[w.account] = append(f.granted[w.account], f.now)
		}
		w.done(true)
		return true
	case RefuseCmd:
		f.refused[w.account]++
		w.done(false)
		return true
	}
	return false
}

func (f *fleet) wake(n *node) {
	kept := n.waiting[:0]
	for _, w := range n.waiting {
		if !f.try(n, w, true) {
			kept = append(kept, w)
		}
	}
	n.waiting = kept
}

// most returns the largest number of requests in a window that begins at or after the time.
func (f *fleet) most(account string, window, from time.Duration) int {
	times := f.granted[account]
	most, first := 0, sort.Search(len(times), func(i int) bool { return times[i] >= from })
	for last := first; last < len(times); last++ {
		for times[last]-times[first] > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
