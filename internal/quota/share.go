package quota

import (
	"math"
	"time"
)

const (
	// Never is the due time of a call that is not due.
	Never = time.Duration(math.MaxInt64)
	// minCallGap is the least time between two calls of a node.
	minCallGap = 10 * time.Millisecond
	// minHandover and maxHandover limit the time between calls of a node without need.
	minHandover = 200 * time.Millisecond
	maxHandover = time.Second
	// handoverParts is the fraction of the shortest life after which created tokens are handed over.
	handoverParts = 4
	// maxSpan is the time for which a node without a pool keeps what it creates.
	maxSpan = 2 * time.Second
	// pauseDelay is the time after a pause of the process in which it creates nothing, because it has not heard of new nodes.
	pauseDelay = 3 * time.Second
	// prefetchRate is the rate of requests from which a node keeps tokens at hand, for prefetchTime.
	prefetchRate = 1.0
	prefetchTime = 300 * time.Millisecond
	// maxDenial is the longest time for which a node believes that a quota is used up.
	maxDenial = 100 * time.Millisecond
)

// Share is a node's side of the quotas: it creates the node's fraction of the tokens, hands them to a pool, and holds those
// that the pool lends. It is not safe for concurrent use.
type Share struct {
	upward
	accounts map[string]*shareAccount
	fraction float64
	// minted is what was created since mintedFrom and up to mintedTo, in seconds of the fleet's rates.
	minted               float64
	mintedFrom, mintedTo time.Duration
	pausedUntil          time.Duration
	waiting              int
	handover             time.Duration
}

type shareAccount struct {
	terms    Terms
	held     stock
	requests rate
	// fresh counts the requests since the last call that named the account.
	fresh   float64
	waiting int
	// askAt is the time from which the pool may be asked again; until exhaustedUntil the quota counts as used up, and a
	// token is expected at retryAt.
	askAt, exhaustedUntil, retryAt time.Duration
}

// NewShare returns a share of the node; it creates no tokens before FractionMsg.
func NewShare(self string) *Share {
	return &Share{upward: upward{self: self}, accounts: make(map[string]*shareAccount), handover: maxHandover}
}

// Update applies one message.
func (s *Share) Update(msg ShareMsg) Cmd {
	switch msg := msg.(type) {
	case TermsMsg:
		s.setTerms(msg.Terms)
	case FractionMsg:
		s.mint(msg.Now)
		s.fraction = msg.Fraction
	case TakeMsg:
		return s.take(msg)
	case LeaveMsg:
		s.leave(s.accounts[msg.Account])
	case GiveBackMsg:
		if a := s.accounts[msg.Account]; a != nil && msg.Expires > msg.Now {
			a.held.add(1, msg.Expires, a.terms.grain())
		}
	case SendMsg:
		return s.send(msg)
	case GrantedMsg:
		s.receive(msg)
	case FailedMsg:
		s.fail()
	}
	return nil
}

// Due returns when the next SendMsg is due.
func (s *Share) Due() time.Duration {
	if s.inFlight || len(s.accounts) == 0 {
		return Never
	}
	due := s.sentAt + s.handover
	if s.waiting == 0 {
		return due
	}
	for _, a := range s.accounts {
		if a.waiting > 0 {
			due = min(due, max(a.askAt, s.sentAt+minCallGap))
		}
	}
	return due
}

func (s *Share) setTerms(terms map[string]Terms) {
	shortest := maxHandover * handoverParts
	for name, t := range terms {
		a := s.accounts[name]
		if a == nil {
			s.accounts[name] = &shareAccount{terms: t}
		} else {
			a.held.lower(a.terms.lowered(t))
			a.terms = t
		}
		shortest = min(shortest, t.Life)
	}
	for name, a := range s.accounts {
		if _, ok := terms[name]; !ok {
			s.waiting -= a.waiting
			delete(s.accounts, name)
		}
	}
	s.handover = max(minHandover, shortest/handoverParts)
}

// mint creates the tokens up to the present. What was kept for longer than maxSpan is dropped, and a gap of that length means
// that the process was paused.
func (s *Share) mint(now time.Duration) {
	if now-s.mintedTo > maxSpan {
		if s.mintedTo > 0 && s.fraction > 0 {
			s.pausedUntil = now + pauseDelay
		}
		s.minted, s.mintedFrom, s.mintedTo = 0, now, now
	}
	if s.minted == 0 || now-s.mintedFrom > maxSpan {
		s.minted, s.mintedFrom = 0, s.mintedTo
	}
	if now >= s.pausedUntil {
		s.minted += s.fraction * (now - s.mintedTo).Seconds()
	}
	s.mintedTo = now
}

func (s *Share) take(msg TakeMsg) Cmd {
	a := s.accounts[msg.Account]
	if a == nil {
		return TokenCmd{} // The account has no quota in the configuration in force.
	}
	if !msg.Waiting {
		a.requests.add(msg.Now, 1)
		a.fresh++
	}
	expires, ok := a.held.takeOne(msg.Now)
	switch {
	case ok:
		s.leaveIf(a, msg.Waiting)
		return TokenCmd{Expires: expires}
	case msg.Now < a.exhaustedUntil || msg.Now >= msg.Until:
		s.leaveIf(a, msg.Waiting)
		return RefuseCmd{RetryAfter: max(minWait, a.retryAt-msg.Now), Late: msg.Now >= a.exhaustedUntil}
	case !msg.Waiting:
		a.waiting++
		s.waiting++
	}
	return WaitCmd{}
}

func (s *Share) leaveIf(a *shareAccount, waiting bool) {
	if waiting {
		s.leave(a)
	}
}

func (s *Share) leave(a *shareAccount) {
	if a != nil && a.waiting > 0 {
		a.waiting--
		s.waiting--
	}
}

func (s *Share) send(msg SendMsg) Cmd {
	ask, knows := s.begin(msg.Now, msg.Pool)
	s.mint(msg.Now)
	if knows {
		ask.Minted, ask.Span = s.minted, msg.Now-s.mintedFrom
		s.minted = 0
	}
	for name, a := range s.accounts {
		a.held.expire(msg.Now)
		target := a.target(msg.Now)
		want := float64(a.waiting) + target - a.held.total
		switch {
		case a.waiting > 0 && msg.Now >= a.askAt, a.waiting == 0 && want > target/2:
			ask.Wants = append(ask.Wants, Want{
				Account: name, Amount: want, Waiting: max(0, float64(a.waiting)-a.held.total), Requests: a.fresh,
			})
			a.fresh = 0
		case knows && want < -epsilon-target:
			a.held.take(-want, msg.Now, func(p parcel) {
				ask.Offers = append(ask.Offers, Parcel{Account: name, Amount: p.amount, Life: p.expires - msg.Now})
			})
		}
	}
	return SendCmd{Ask: ask}
}

// target returns the number of tokens to keep at hand.
func (a *shareAccount) target(now time.Duration) float64 {
	if r := a.requests.value(now); r >= prefetchRate {
		return max(1, math.Floor(r*prefetchTime.Seconds()))
	}
	return 0
}

func (s *Share) receive(msg GrantedMsg) {
	s.succeed(msg.Now, msg.Grant)
	for _, p := range msg.Grant.Parcels {
		if a := s.accounts[p.Account]; a != nil {
			a.held.add(p.Amount, s.sentAt+min(p.Life, a.terms.Life), lentGrain)
			a.exhaustedUntil = 0
		}
	}
	for _, d := range msg.Grant.Denials {
		a := s.accounts[d.Account]
		if a == nil {
			continue
		}
		a.askAt, a.retryAt = msg.Now+min(d.Wait, maxDenial), msg.Now+d.Wait
		if d.Exhausted {
			a.exhaustedUntil = a.askAt
		}
	}
}
