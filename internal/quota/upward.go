package quota

import "time"

// upward holds the state of the calls to the pool above: a node's to the pool of its domain, and a domain's to that of the
// fleet.
type upward struct {
	self string
	// pool names the pool of the last reply; epoch and stamp are from that reply, which arrived at stampedAt.
	pool      string
	epoch     uint64
	stamp     time.Duration
	stampedAt time.Duration
	inFlight  bool
	called    string
	sentAt    time.Duration
}

// begin returns the call to the pool; knows tells whether tokens can be handed in, which takes a stamp of that pool.
func (u *upward) begin(now time.Duration, pool string) (ask Ask, knows bool) {
	u.inFlight, u.called, u.sentAt = true, pool, now
	ask = Ask{From: u.self}
	if u.pool != pool || u.epoch == 0 {
		return ask, false
	}
	ask.Epoch, ask.Stamp, ask.Since = u.epoch, u.stamp, now-u.stampedAt
	return ask, true
}

func (u *upward) succeed(now time.Duration, g Grant) {
	u.inFlight, u.pool = false, u.called
	u.epoch, u.stamp, u.stampedAt = g.Epoch, g.Stamp, now
}

func (u *upward) fail() {
	u.inFlight, u.pool, u.epoch = false, "", 0
}
