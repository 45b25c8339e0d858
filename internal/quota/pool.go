package quota

import (
	"math"
	"time"
)

const (
	// lendMargin is the life that a token must have left to be lent.
	lendMargin = 100 * time.Millisecond
	// lentGrain is the grain of tokens that have moved.
	lentGrain = lendMargin / 4
	// maxPieces is the number of expiries over which tokens of one call are spread.
	maxPieces = 8
	// minExchangeGap is the least time between two calls of a domain to the pool of the fleet.
	minExchangeGap = 20 * time.Millisecond
	// fillGap is the least time between two calls that only fill stocks.
	fillGap = 200 * time.Millisecond
	// bareExchange is the time between calls of a domain without need, and activeTime that without calls of nodes after
	// which it makes none.
	bareExchange = time.Second
	activeTime   = 3 * time.Second
	// minSurplusGap is the least time between two calls that only hand in surplus, surplusParts the fraction of the shortest
	// life of a wanted account after which one is due.
	minSurplusGap = 100 * time.Millisecond
	surplusParts  = 8
	// wantedTime is the time after a request for tokens that were missing for which the surplus of other domains is accepted.
	wantedTime = time.Minute
	// reserve is the number of tokens that the pool of the fleet keeps of an account that nobody lacks, reservePart what one
	// domain adds at a time, and reserveLife the least life of tokens for which that pays.
	reserve     = 1.5
	reservePart = 0.5
	reserveLife = 2 * time.Second
	// minSurplus is the smallest amount worth handing in.
	minSurplus = 0.25
	// handParts is the number of expiries into which tokens are gathered that are handed in.
	handParts = 4
	// lowWater and highWater are the times for which a domain that needs more than it creates keeps tokens at hand.
	lowWater  = 300 * time.Millisecond
	highWater = 800 * time.Millisecond
	// keepTime is the time for which a domain keeps tokens of its own, besides some for uneven requests.
	keepTime = time.Second
	// minDenied and maxDenied limit the time for which a domain believes that the quota is used up in the fleet.
	minDenied = 50 * time.Millisecond
	maxDenied = 500 * time.Millisecond
	// fillTime is the time in which a pool without tokens fills from its members.
	fillTime = 2 * time.Second
	// minWait and maxWait limit the expected time until a token.
	minWait = 20 * time.Millisecond
	maxWait = 5 * time.Second
	// firstRoundTrip is assumed until one to the pool of the fleet was measured.
	firstRoundTrip = 30 * time.Millisecond
	// memberTime is the time after its last call for which a member is counted.
	memberTime = 3 * time.Second
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Self string
	// Epoch tells apart the processes of a node.
	Epoch uint64
	// Top tells that there is no pool above.
	Top bool
}

// Pool lends the tokens that its members hand in. The pool of a failure domain exchanges tokens with that of the fleet. It is
// not safe for concurrent use.
type Pool struct {
	upward
	config   PoolConfig
	accounts map[string]*poolAccount
	members  map[string]time.Duration
	// usedAt is the time of the last call of another node, and usedSince the start of the calls without a long gap.
	usedAt, usedSince time.Duration
	// askedAt is the time of the last call of a member; urgent tells that requests wait for tokens of the pool above.
	askedAt time.Duration
	urgent  bool
	// low tells that stocks are to be filled.
	low       bool
	surplus   time.Duration
	roundTrip time.Duration
}

type poolAccount struct {
	terms    Terms
	stock    stock
	requests rate
	created  rate
	// lent is the rate of the tokens that members got.
	lent  rate
	fresh float64
	// need is the number of tokens that members waited for and did not get since the last call to the pool above.
	need float64
	// low tells that the stock is to be filled before requests wait.
	low bool
	// deniedUntil is the time until which the quota counts as used up in the fleet.
	deniedUntil time.Duration
	// aboveAt is the time at which the pool above expects a token.
	aboveAt time.Duration
	// wantedUntil is the time until which surplus tokens are accepted; wanted tells that the pool above accepts them.
	wantedUntil       time.Duration
	wanted, reserving bool
}

// NewPool returns a pool without tokens.
func NewPool(c PoolConfig) *Pool {
	return &Pool{
		upward: upward{self: c.Self}, config: c, accounts: make(map[string]*poolAccount), members: make(map[string]time.Duration),
		askedAt: -activeTime, surplus: Never, roundTrip: firstRoundTrip,
	}
}

// Update applies one message.
func (p *Pool) Update(msg PoolMsg) Cmd {
	switch msg := msg.(type) {
	case TermsMsg:
		p.setTerms(msg.Terms)
	case AskMsg:
		return p.answer(msg)
	case SendMsg:
		return p.send(msg)
	case GrantedMsg:
		p.receive(msg)
	case FailedMsg:
		p.fail()
		p.urgent = false
	}
	return nil
}

// Due returns when the next SendMsg is due.
func (p *Pool) Due(now time.Duration) time.Duration {
	switch {
	case p.config.Top || p.inFlight || now-p.askedAt > activeTime:
		return Never
	case p.urgent:
		return p.sentAt + minExchangeGap
	case p.low:
		return p.sentAt + min(fillGap, p.surplus)
	default:
		return p.sentAt + min(bareExchange, p.surplus)
	}
}

func (p *Pool) setTerms(terms map[string]Terms) {
	for name, t := range terms {
		a := p.accounts[name]
		if a == nil {
			p.accounts[name] = &poolAccount{terms: t}
			continue
		}
		a.stock.lower(a.terms.lowered(t))
		a.terms = t
	}
	for name := range p.accounts {
		if _, ok := terms[name]; !ok {
			delete(p.accounts, name)
		}
	}
}

func (p *Pool) answer(msg AskMsg) Cmd {
	if msg.Ask.From != p.config.Self || p.usedSince == 0 {
		if p.usedSince == 0 || msg.Now-p.usedAt > activeTime {
			p.usedSince = msg.Now
		}
		p.usedAt = msg.Now
	}
	p.askedAt = msg.Now
	p.members[msg.Ask.From] = msg.Now
	p.credit(msg)
	g := Grant{Epoch: p.config.Epoch, Stamp: msg.Now}
	for _, w := range msg.Ask.Wants {
		if a := p.accounts[w.Account]; a != nil {
			p.lend(&g, a, w, msg.Now)
			continue
		}
		// The configuration with the account is on its way.
		g.Denials = append(g.Denials, Denial{Account: w.Account, Wait: maxDenial})
	}
	if p.config.Top {
		p.listWanted(&g, msg.Now)
	}
	return GrantCmd{Grant: g}
}

func (p *Pool) listWanted(g *Grant, now time.Duration) {
	for name, a := range p.accounts {
		a.stock.expire(now)
		switch {
		case now < a.wantedUntil:
			if a.stock.total < 2*reserve+a.lent.value(now)*rateWindow.Seconds() {
				g.Wanted = append(g.Wanted, name)
			}
		case a.terms.Life >= reserveLife && a.stock.total < reserve:
			g.Reserve = append(g.Reserve, name)
		}
	}
}

// credit adds the tokens that the member hands in. They age as if the call had been sent when the last reply was, so that a
// call that was delayed adds no fresh ones.
func (p *Pool) credit(msg AskMsg) {
	sent := msg.Ask.Stamp + msg.Ask.Since
	if msg.Ask.Epoch != p.config.Epoch || sent > msg.Now {
		return
	}
	for _, offer := range msg.Ask.Offers {
		if a := p.accounts[offer.Account]; a != nil {
			a.stock.add(offer.Amount, sent+min(offer.Life, a.terms.Life), lentGrain)
			if p.config.Top {
				a.created.add(msg.Now, offer.Amount)
			}
		}
	}
	if msg.Ask.Minted <= 0 {
		return
	}
	for _, a := range p.accounts {
		a.stock.expire(msg.Now)
		pieces := min(maxPieces, 1+int(msg.Ask.Span*maxPieces/a.terms.Life))
		amount := a.terms.Rate * msg.Ask.Minted / float64(pieces)
		for i := range pieces {
			created := sent - msg.Ask.Span + msg.Ask.Span*time.Duration(i)/time.Duration(pieces)
			if expires := created + a.terms.Life; expires > msg.Now {
				a.stock.add(amount, expires, a.terms.grain())
			}
		}
		a.created.add(msg.Now, amount*float64(pieces))
	}
}

// lend grants what there is, in whole tokens unless all is granted.
func (p *Pool) lend(g *Grant, a *poolAccount, w Want, now time.Duration) {
	a.stock.expire(now)
	a.requests.add(now, w.Requests)
	a.fresh += w.Requests
	amount := min(w.Amount, a.stock.after(now+lendMargin))
	if amount < w.Amount {
		amount = math.Floor(amount + epsilon)
	}
	if amount > 0 {
		a.stock.take(amount, now+lendMargin, func(part parcel) {
			g.Parcels = append(g.Parcels, Parcel{Account: w.Account, Amount: part.amount, Life: part.expires - now})
		})
	}
	missing := math.Ceil(w.Waiting - amount - epsilon)
	a.lent.add(now, amount)
	if missing > 0 {
		a.wantedUntil = now + wantedTime
	}
	allowed := !p.config.Top && now >= a.deniedUntil
	if allowed && a.runsLow(now) {
		a.low, p.low = true, true
	}
	if missing <= 0 {
		return
	}
	d := Denial{Account: w.Account, Wait: a.expectedWait(now), Exhausted: !allowed && now-p.usedSince > fillTime}
	if allowed {
		a.need += missing
		p.urgent = true
		d.Wait = p.roundTrip
	}
	g.Denials = append(g.Denials, d)
}

// runsLow reports whether the members use more than they create and the rest is short.
func (a *poolAccount) runsLow(now time.Duration) bool {
	requests := a.requests.value(now)
	return requests > a.created.value(now) && a.stock.total < 1+requests*lowWater.Seconds()
}

// expectedWait returns the time until the next token, longer by the excess of requests over tokens.
func (a *poolAccount) expectedWait(now time.Duration) time.Duration {
	wait := bareExchange
	if created := a.created.value(now); created > 0 {
		wait = seconds(max(0, 1-a.stock.total) / created * max(1, a.requests.value(now)/created))
	}
	if a.aboveAt > now {
		wait = min(wait, a.aboveAt-now)
	}
	return max(minWait, min(wait, maxWait))
}

// send makes the call to the pool above, for missing tokens and with surplus ones.
func (p *Pool) send(msg SendMsg) Cmd {
	ask, knows := p.begin(msg.Now, msg.Pool)
	p.urgent, p.low = false, false
	for name, a := range p.accounts {
		a.stock.expire(msg.Now)
		requests := a.requests.value(msg.Now)
		switch {
		case a.need > 0 || a.low:
			fill := max(0, 1+requests*highWater.Seconds()-a.stock.total)
			ask.Wants = append(ask.Wants, Want{Account: name, Amount: math.Ceil(a.need + fill), Waiting: a.need, Requests: a.fresh})
			a.need, a.low, a.fresh = 0, false, 0
			if rest := a.stock.after(msg.Now + lendMargin); knows && rest < 1 {
				p.hand(&ask, name, a, rest, msg.Now+lendMargin, msg.Now) // Fractions of several domains make whole tokens.
			}
		case (a.wanted || a.reserving) && knows:
			p.offer(&ask, name, a, msg.Now)
		}
	}
	return SendCmd{Ask: ask}
}

// offer hands in what the domain does not need soon.
func (p *Pool) offer(ask *Ask, name string, a *poolAccount, now time.Duration) {
	from := now + lendMargin
	if !a.wanted {
		from = now + a.terms.Life/2 // Old tokens make no reserve.
	}
	requests := a.requests.value(now)
	spare := a.stock.after(from) - requests*keepTime.Seconds() - 2*math.Sqrt(requests*rateWindow.Seconds())
	if !a.wanted {
		spare = min(spare, reservePart)
	}
	if spare > minSurplus {
		p.hand(ask, name, a, spare, from, now)
	}
}

// hand moves tokens that expire later than the time into the call.
func (p *Pool) hand(ask *Ask, name string, a *poolAccount, amount float64, from, now time.Duration) {
	if amount <= 0 {
		return
	}
	first := len(ask.Offers)
	a.stock.take(amount, from, func(part parcel) {
		life := part.expires - now
		if last := len(ask.Offers) - 1; last >= first && life-ask.Offers[last].Life < a.terms.Life/handParts {
			ask.Offers[last].Amount += part.amount
			return
		}
		ask.Offers = append(ask.Offers, Parcel{Account: name, Amount: part.amount, Life: life})
	})
}

func (p *Pool) receive(msg GrantedMsg) {
	p.succeed(msg.Now, msg.Grant)
	p.roundTrip = max(minCallGap, min(msg.Now-p.sentAt, maxDenied))
	for _, part := range msg.Grant.Parcels {
		if a := p.accounts[part.Account]; a != nil {
			a.stock.add(part.Amount, p.sentAt+min(part.Life, a.terms.Life), lentGrain)
		}
	}
	for _, d := range msg.Grant.Denials {
		if a := p.accounts[d.Account]; a != nil {
			a.deniedUntil, a.aboveAt = msg.Now+max(minDenied, min(d.Wait, maxDenied)), msg.Now+d.Wait
		}
	}
	for _, a := range p.accounts {
		a.wanted, a.reserving = false, false
	}
	for _, name := range msg.Grant.Reserve {
		if a := p.accounts[name]; a != nil {
			a.reserving = true
		}
	}
	p.surplus = Never
	for _, name := range msg.Grant.Wanted {
		if a := p.accounts[name]; a != nil {
			a.wanted = true
			p.surplus = min(p.surplus, max(minSurplusGap, a.terms.Life/surplusParts))
		}
	}
}

// Members returns the number of members that have called lately.
func (p *Pool) Members(now time.Duration) int {
	for name, at := range p.members {
		if now-at > memberTime {
			delete(p.members, name)
		}
	}
	return len(p.members)
}
