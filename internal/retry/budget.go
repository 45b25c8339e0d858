package retry

import "sync/atomic"

const (
	// tokenUnits is the number of units in one token; a first attempt adds a tenth of a token.
	tokenUnits     = 10
	earnedUnits    = 1
	defaultBurst   = 20
	defaultReserve = 3
)

// Config configures a Budget; zero fields select the defaults.
type Config struct {
	// Burst is the capacity of the bucket in retries; default 20.
	Burst int
	// Reserve is the number of retries available at the start; default 3, none when negative. First attempts repay
	// it before they add tokens, so that retries stay within a tenth of the first attempts.
	Reserve int
}

// Budget is a token bucket that allows one retry per ten first attempts; the zero value starts empty.
type Budget struct {
	units    atomic.Int64
	debt     atomic.Int64
	maxUnits int64
}

// NewBudget returns a budget that holds its reserve.
func NewBudget(c Config) *Budget {
	if c.Burst <= 0 {
		c.Burst = defaultBurst
	}
	if c.Reserve == 0 {
		c.Reserve = defaultReserve
	}
	b := &Budget{maxUnits: int64(c.Burst) * tokenUnits}
	advance := min(int64(max(c.Reserve, 0))*tokenUnits, b.maxUnits)
	b.units.Store(advance)
	b.debt.Store(advance)
	return b
}

// Deposit adds a tenth of a token for a first attempt.
func (b *Budget) Deposit() {
	if b.debt.Load() > 0 && b.debt.Add(-earnedUnits) >= 0 {
		return
	}
	for {
		units := b.units.Load()
		if units >= b.limit() || b.units.CompareAndSwap(units, units+earnedUnits) {
			return
		}
	}
}

// Withdraw takes the token for one retry and reports false when none is left.
func (b *Budget) Withdraw() bool {
	for {
		units := b.units.Load()
		if units < tokenUnits {
			return false
		}
		if b.units.CompareAndSwap(units, units-tokenUnits) {
			return true
		}
	}
}

func (b *Budget) limit() int64 {
	if b.maxUnits == 0 {
		return defaultBurst * tokenUnits
	}
	return b.maxUnits
}
