package access

import "time"

// Revocation bounds how long a withdrawn key may still work at a node that can't learn of its withdrawal.
type Revocation struct {
	// Strict refuses keys that were not confirmed within Bound; otherwise the last known keys stay valid.
	Strict bool
	Bound  time.Duration
}

// Freshness decides whether the keys of the configuration in force may still be relied on. It is not safe for concurrent
// use.
type Freshness struct {
	revocation  Revocation
	number      uint64
	confirmedAt time.Time
}

// FreshnessMsg is an input of Freshness.
type FreshnessMsg interface{ freshnessMsg() }

// RevocationMsg replaces the bounds.
type RevocationMsg struct{ Revocation Revocation }

// ConfirmedMsg reports that the configuration with the number was the newest one at the time.
type ConfirmedMsg struct {
	Number uint64
	At     time.Time
}

func (RevocationMsg) freshnessMsg() {}
func (ConfirmedMsg) freshnessMsg()  {}

// Update applies one message. A confirmation of an older configuration than the latest one says nothing.
func (f *Freshness) Update(msg FreshnessMsg) {
	switch msg := msg.(type) {
	case RevocationMsg:
		f.revocation = msg.Revocation
	case ConfirmedMsg:
		if msg.Number < f.number {
			return
		}
		if f.number = msg.Number; msg.At.After(f.confirmedAt) {
			f.confirmedAt = msg.At
		}
	}
}

// ConfirmedAt returns when the configuration in force was last confirmed; zero means never.
func (f *Freshness) ConfirmedAt() time.Time { return f.confirmedAt }

// Reliable reports whether the keys may be relied on.
func (f *Freshness) Reliable(now time.Time) bool {
	return !f.revocation.Strict || !f.confirmedAt.IsZero() && now.Sub(f.confirmedAt) <= f.revocation.Bound
}

// MaxWait returns how long one call that confirms the configuration may take, so that this node and those that ask it stay
// within the bound; zero means that it does not matter.
func (f *Freshness) MaxWait() time.Duration {
	if !f.revocation.Strict {
		return 0
	}
	return f.revocation.Bound / 4
}

// Due reports whether the node should ask others for a confirmation, because half of the bound has passed without one.
func (f *Freshness) Due(now time.Time) bool {
	return f.revocation.Strict && now.Sub(f.confirmedAt) > f.revocation.Bound/2
}
