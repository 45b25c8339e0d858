package retry

import "sync/atomic"

const (
	// tokenUnits are the units of one token.
	tokenUnits     = 100
	defaultPercent = 10
	defaultBurst   = 20
	defaultAtRest  = 3
)

// Config sizes a budget; zero fields take the defaults.
type Config struct {
	// Burst is the largest number of retries that can be saved up; default 20.
	Burst int
	// Reserve is the number of retries that a new budget advances; default 3, none when negative. The first attempts
	// pay it back before they earn more, so that retries stay within a tenth of the first attempts.
	Reserve int
	// Percent is the share of a token that each first attempt earns, 0 to 100; default 10.
	Percent int
}

// Budget is a token bucket that allows retries in a share of the first attempts; the zero value starts empty with the
// default share.
type Budget struct {
	units    atomic.Int64
	debt     atomic.Int64
	maxUnits int64
	percent  int64
}

// NewBudget returns a budget that has its reserve advanced.
func NewBudget(c Config) *Budget {
	if c.Burst <= 0 {
		c.Burst = defaultBurst
	}
	if c.Reserve == 0 {
		c.Reserve = defaultAtRest
	}
	b := &Budget{maxUnits: int64(c.Burst) * tokenUnits, percent: int64(c.Percent)}
	advance := min(int64(max(c.Reserve, 0))*tokenUnits, b.maxUnits)
	b.units.Store(advance)
	b.debt.Store(advance)
	return b
}

// Begin counts a first attempt.
func (b *Budget) Begin() {
	earned := b.percent
	if earned <= 0 {
		earned = defaultPercent
	}
	if b.debt.Load() > 0 && b.debt.Add(-earned) >= 0 {
		return
	}
	for {
		units := b.units.Load()
		if units >= b.limit() || b.units.CompareAndSwap(units, min(b.limit(), units+earned)) {
			return
		}
	}
}

// Spend takes the token for one retry; it reports false when none is left.
func (b *Budget) Spend() bool {
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
