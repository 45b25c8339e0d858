package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// CounterExpiry is how long a crash count, and therefore a quarantine, lasts without another crash or success.
	CounterExpiry = 10 * time.Minute
	// defaultCrashLimit is the number of consecutive crashes after which a request is quarantined.
	defaultCrashLimit = 3
	// defaultMaxPublished limits the counts that a node publishes: those of five crashes of a target with 12 slots.
	defaultMaxPublished = 64
)

// CounterConfig configures a Counter; zero fields take defaults.
type CounterConfig struct {
	Limit        uint32
	Expiry       time.Duration
	MaxEntries   int
	MaxPublished int
}

// Counter counts, for each request, the consecutive targets that crashed while running it. It is for nodes that only
// exchange records, where no node grants trials. Simultaneous crashes count once for a request that was running on
// several of the targets, and a success resets the count, so that crashes with another cause do not quarantine a
// harmless request. It is not safe for concurrent use, except for Counts.
type Counter struct {
	config  CounterConfig
	records map[uint64]crashRecord
	counts  atomic.Pointer[Counts]
}

// crashRecord is what this node knows about one request.
type crashRecord struct {
	crashes model.Crashes
	// local is set if this node observed the latest crash or success itself and therefore publishes it.
	local   bool
	expires time.Time
}

// NewCounter returns a counter without recorded crashes.
func NewCounter(c CounterConfig) *Counter {
	c.Limit = cmp.Or(c.Limit, defaultCrashLimit)
	c.Expiry = cmp.Or(c.Expiry, CounterExpiry)
	c.MaxEntries = cmp.Or(c.MaxEntries, defaultMaxEntries)
	c.MaxPublished = cmp.Or(c.MaxPublished, defaultMaxPublished)
	k := &Counter{config: c, records: make(map[uint64]crashRecord)}
	k.publish()
	return k
}

// Update processes msg and returns the resulting commands.
func (k *Counter) Update(msg CounterMsg) []CounterCmd {
	var cmds []CounterCmd
	switch msg := msg.(type) {
	case TargetCrashedMsg:
		cmds = k.handleCrash(msg)
	case AnsweredMsg:
		cmds = k.handleSuccess(msg)
	case RemoteCountsMsg:
		cmds = k.merge(msg.Now, msg.Entries, false)
	case RestoreCountsMsg:
		cmds = k.merge(msg.Now, msg.Entries, true)
	}
	k.publish()
	return cmds
}

// Counts returns the current state; it is safe for concurrent use.
func (k *Counter) Counts() *Counts {
	return k.counts.Load()
}

// LocalEntries returns the counts that this node observed itself, sorted by fingerprint. Beyond the limit, it omits the
// lowest counts first, and the oldest among equals.
func (k *Counter) LocalEntries() []model.CrashEntry {
	var local []uint64
	for f, c := range k.records {
		if c.local {
			local = append(local, f)
		}
	}
	slices.SortFunc(local, func(a, b uint64) int { return -k.compare(a, b) })
	local = local[:min(len(local), k.config.MaxPublished)]
	slices.Sort(local)
	entries := make([]model.CrashEntry, 0, len(local))
	for _, f := range local {
		entries = append(entries, model.CrashEntry{Fingerprint: f, Crashes: k.records[f].crashes})
	}
	return entries
}

// handleCrash counts from what the sender of the request knew, not from the current state: another copy of the request
// that ran at the same time may have crashed from the same cause.
func (k *Counter) handleCrash(msg TargetCrashedMsg) []CounterCmd {
	k.expire(msg.Now)
	crashes := msg.Known
	crashes.Count++
	before := k.records[msg.Fingerprint].crashes
	cmds := k.mergeEntry(msg.Now, model.CrashEntry{Fingerprint: msg.Fingerprint, Crashes: crashes}, true)
	if crashes.Compare(before) > 0 {
		cmds = append(cmds, PublishCountsCmd{})
	}
	return cmds
}

// handleSuccess resets the count. Resetting a count of one is left for the next regular record, because that count
// holds nothing back.
func (k *Counter) handleSuccess(msg AnsweredMsg) []CounterCmd {
	k.expire(msg.Now)
	before := k.records[msg.Fingerprint].crashes
	if before.Count == 0 {
		return nil
	}
	after := model.Crashes{Round: before.Round + 1}
	k.mergeEntry(msg.Now, model.CrashEntry{Fingerprint: msg.Fingerprint, Crashes: after}, true)
	if before.Count < 2 {
		return nil
	}
	return []CounterCmd{PublishCountsCmd{}}
}

func (k *Counter) merge(now time.Time, entries []model.CrashEntry, local bool) []CounterCmd {
	k.expire(now)
	var cmds []CounterCmd
	for _, e := range entries {
		cmds = append(cmds, k.mergeEntry(now, e, local)...)
	}
	return cmds
}

// mergeEntry keeps the newer of the known state and the entry; an entry that is already known does not extend the
// expiry.
func (k *Counter) mergeEntry(now time.Time, e model.CrashEntry, local bool) []CounterCmd {
	known, found := k.records[e.Fingerprint]
	order := e.Crashes.Compare(known.crashes)
	if order <= 0 {
		if found && order == 0 && local {
			known.local = true
			k.records[e.Fingerprint] = known
		}
		return nil
	}
	k.records[e.Fingerprint] = crashRecord{crashes: e.Crashes, local: local, expires: now.Add(k.config.Expiry)}
	if e.Crashes.Count < k.config.Limit || known.crashes.Count >= k.config.Limit {
		return nil
	}
	return []CounterCmd{QuarantineCmd{Entry: e}}
}

func (k *Counter) expire(now time.Time) {
	maps.DeleteFunc(k.records, func(_ uint64, c crashRecord) bool { return !c.expires.After(now) })
}

// compare orders two requests by crash count, then by age.
func (k *Counter) compare(a, b uint64) int {
	x, y := k.records[a], k.records[b]
	return cmp.Or(cmp.Compare(x.crashes.Count, y.crashes.Count), x.expires.Compare(y.expires), cmp.Compare(a, b))
}

// evictExcess drops the entries above MaxEntries: the lowest counts first, and the oldest among equals.
func (k *Counter) evictExcess() {
	if len(k.records) > k.config.MaxEntries {
		all := slices.SortedFunc(maps.Keys(k.records), k.compare)
		for _, f := range all[:len(all)-k.config.MaxEntries] {
			delete(k.records, f)
		}
	}
	invar.Check(len(k.records) <= k.config.MaxEntries, "poison", "%d counts stored, the limit is %d", len(k.records), k.config.MaxEntries)
}

func (k *Counter) publish() {
	k.evictExcess()
	k.counts.Store(&Counts{limit: k.config.Limit, records: maps.Clone(k.records)})
}
