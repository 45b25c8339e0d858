package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Counts is an immutable state of a counter.
type Counts struct {
	limit uint32
	known map[uint64]counted
}

// Crashes returns the crashes of the request that count at the time.
func (c *Counts) Crashes(now time.Time, fingerprint uint64) model.Crashes {
	known, ok := c.known[fingerprint]
	if !ok || !known.expires.After(now) {
		return model.Crashes{}
	}
	return known.crashes
}

// Quarantined reports whether the request must not run at the time.
func (c *Counts) Quarantined(now time.Time, fingerprint uint64) bool {
	return c.Crashes(now, fingerprint).Count >= c.limit
}

// Entries lists all counts, sorted by fingerprint.
func (c *Counts) Entries() []model.CrashEntry {
	entries := make([]model.CrashEntry, 0, len(c.known))
	for f, known := range c.known {
		entries = append(entries, model.CrashEntry{Fingerprint: f, Crashes: known.crashes})
	}
	slices.SortFunc(entries, func(a, b model.CrashEntry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}
