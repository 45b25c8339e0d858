package picker

import (
	"time"

	"github.com/auburnwinch/auburnwinch/internal/spill"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// turndownMaxAge is how long the wait that an agent stated says something about later requests.
const turndownMaxAge = time.Second

// turndown is the latest refusal of an agent without a free slot.
type turndown struct {
	at   time.Time
	wait time.Duration
	// rank is the rank of the refused request; more urgent ones may wait for less time.
	rank int
}

// TurnedDown records that the agent has no slot for the request of the choice within the time that it may wait; wait is what
// the agent expects.
func (p *Picker) TurnedDown(c Choice, wait time.Duration) {
	if c.entry == nil {
		return
	}
	c.entry.counters.turndown.Store(&turndown{at: p.config.Now(), wait: wait, rank: c.rank})
}

// learn records what a response or a refusal with a report says about the target and its tier.
func (p *Picker) learn(c Choice, l Load, now time.Time) {
	if l.Limit > 0 {
		p.observeReply(c, l.IncludesRequest, now)
	}
	if l.IncludesRequest {
		c.entry.counters.forget(l)
		c.entry.counters.health.markServed()
	}
}

// observeReply tells the module of the service how an agent outside of the failure domain answered. A request that may wait
// says nothing about free slots, and the time of one that ran nothing about the link.
func (p *Picker) observeReply(c Choice, admitted bool, now time.Time) {
	if c.entry.tier < regionTier || c.Patience > 0 {
		return
	}
	msg := spill.ReplyMsg{Now: now, Tier: spill.Tier(c.entry.tier), Admitted: admitted}
	if !admitted {
		msg.RoundTrip = now.Sub(c.pickedAt)
	}
	p.spillOf(c.entry.candidate.Target.Ref.Service).update(msg)
}

// knownWait returns the rest of the wait that the agent stated to a request of the same or a lower rank; known is false
// without such a refusal.
func (c *counters) knownWait(r Request, now time.Time) (wait time.Duration, known bool) {
	t := c.turndown.Load()
	if t == nil || t.rank > r.Rank {
		return 0, false
	}
	age := now.Sub(t.at)
	if age > turndownMaxAge || age >= t.wait {
		return 0, false
	}
	return t.wait - age, true
}

// queueWait returns the rest of the wait that the agent stated to a request of the same rank. The wait of a more urgent one
// says only that there is no free slot.
func (c *counters) queueWait(r Request, now time.Time) (wait time.Duration, known bool) {
	if t := c.turndown.Load(); t == nil || t.rank != r.Rank {
		return 0, false
	}
	return c.knownWait(r, now)
}

// refusesQueue reports whether the agent would probably refuse to queue the request. It queues one that misses its objective
// only with enough time left, while calls wait as long as they can.
func (c *counters) refusesQueue(r Request, now time.Time) bool {
	wait, known := c.knownWait(r, now)
	if r.Nested {
		return known && wait > r.Remaining
	}
	return known && wait > r.Remaining/lateMargin && (r.Objective <= 0 || wait > r.Objective)
}

// forget drops a refusal once the target has room again.
func (c *counters) forget(l Load) {
	if l.InFlight < l.Limit {
		c.turndown.Store(nil)
	}
}

// MarkGone avoids a target that its agent no longer serves, for twice as long with each refusal in a row.
func (p *Picker) MarkGone(ref model.TargetRef) {
	if e := p.find(ref); e != nil {
		e.counters.health.markGone(p.config.Now())
	}
}
