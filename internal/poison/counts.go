package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// Counts is an immutable snapshot of a Counter.
type Counts struct {
	limit   uint32
	records map[uint64]crashRecord
}

// Crashes returns the crash count of the request, unless it has expired at the given time.
func (c *Counts) Crashes(now time.Time, fingerprint uint64) model.Crashes {
	known, ok := c.records[fingerprint]
	if !ok || !known.expires.After(now) {
		return model.Crashes{}
	}
	return known.crashes
}

// Quarantined reports whether the request must not run at the given time.
func (c *Counts) Quarantined(now time.Time, fingerprint uint64) bool {
	return c.Crashes(now, fingerprint).Count >= c.limit
}

// Entries returns all counts, sorted by fingerprint.
func (c *Counts) Entries() []model.CrashEntry {
	entries := make([]model.CrashEntry, 0, len(c.records))
	for f, known := range c.records {
		entries = append(entries, model.CrashEntry{Fingerprint: f, Crashes: known.crashes})
	}
	slices.SortFunc(entries, func(a, b model.CrashEntry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}
