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
	// CounterExpiry is how long a count lasts without another crash or answer, and so how long a request is quarantined.
	CounterExpiry = 10 * time.Minute
	// defaultCrashLimit is the number of crashes in a row after which a request is quarantined.
	defaultCrashLimit = 3
	// defaultMaxOwn bounds the counts that a node publishes: those of five crashes of a target with 12 slots.
	defaultMaxOwn = 64
)

// CounterConfig configures a counter; each field may be left out.
type CounterConfig struct {
	Limit      uint32
	Expiry     time.Duration
	MaxEntries int
	MaxOwn     int
}

// Counter counts, for each request, the targets in a row that died while they ran it. It is for nodes that share records
// only, where no node grants trials. Targets that die together count once for a request that runs on several of them, and
// an answer ends the streak, so that deaths with another cause hold back no sound request. It is not safe for concurrent use
// except for Counts.
type Counter struct {
	config CounterConfig
	known  map[uint64]counted
	counts atomic.Pointer[Counts]
}

// counted is what this node knows of one request.
type counted struct {
	crashes model.Crashes
	// own tells that this node has seen the latest crash or answer itself, so that it publishes it.
	own     bool
	expires time.Time
}

// NewCounter returns a counter that knows no crashes.
func NewCounter(c CounterConfig) *Counter {
	c.Limit = cmp.Or(c.Limit, defaultCrashLimit)
	c.Expiry = cmp.Or(c.Expiry, CounterExpiry)
	c.MaxEntries = cmp.Or(c.MaxEntries, defaultMaxEntries)
	c.MaxOwn = cmp.Or(c.MaxOwn, defaultMaxOwn)
	k := &Counter{config: c, known: make(map[uint64]counted)}
	k.publish()
	return k
}

// Update applies the message and returns the effects.
func (k *Counter) Update(msg CounterMsg) []CounterCmd {
	var cmds []CounterCmd
	switch msg := msg.(type) {
	case TargetCrashedMsg:
		cmds = k.die(msg)
	case AnsweredMsg:
		cmds = k.answer(msg)
	case RemoteCountsMsg:
		cmds = k.take(msg.Now, msg.Entries, false)
	case RestoreCountsMsg:
		cmds = k.take(msg.Now, msg.Entries, true)
	}
	k.publish()
	return cmds
}

// Counts returns the current state.
func (k *Counter) Counts() *Counts {
	return k.counts.Load()
}

// LocalEntries returns what this node has seen itself, sorted by fingerprint. Beyond the bound the shortest streaks are left out,
// and among these the oldest.
func (k *Counter) LocalEntries() []model.CrashEntry {
	var own []uint64
	for f, c := range k.known {
		if c.own {
			own = append(own, f)
		}
	}
	slices.SortFunc(own, func(a, b uint64) int { return -k.compare(a, b) })
	own = own[:min(len(own), k.config.MaxOwn)]
	slices.Sort(own)
	entries := make([]model.CrashEntry, 0, len(own))
	for _, f := range own {
		entries = append(entries, model.CrashEntry{Fingerprint: f, Crashes: k.known[f].crashes})
	}
	return entries
}

// die counts from what the sender knew, not from what is known now: a copy of the request that ran elsewhere at the same
// time may have ended by the same cause.
func (k *Counter) die(msg TargetCrashedMsg) []CounterCmd {
	k.expire(msg.Now)
	crashes := msg.Known
	crashes.Count++
	before := k.known[msg.Fingerprint].crashes
	cmds := k.learn(msg.Now, model.CrashEntry{Fingerprint: msg.Fingerprint, Crashes: crashes}, true)
	if crashes.Compare(before) > 0 {
		cmds = append(cmds, PublishCountsCmd{})
	}
	return cmds
}

// answer ends a streak of crashes. The end of a streak of one waits for the next record, since it holds nothing back.
func (k *Counter) answer(msg AnsweredMsg) []CounterCmd {
	k.expire(msg.Now)
	before := k.known[msg.Fingerprint].crashes
	if before.Count == 0 {
		return nil
	}
	after := model.Crashes{Round: before.Round + 1}
	k.learn(msg.Now, model.CrashEntry{Fingerprint: msg.Fingerprint, Crashes: after}, true)
	if before.Count < 2 {
		return nil
	}
	return []CounterCmd{PublishCountsCmd{}}
}

func (k *Counter) take(now time.Time, entries []model.CrashEntry, own bool) []CounterCmd {
	k.expire(now)
	var cmds []CounterCmd
	for _, e := range entries {
		cmds = append(cmds, k.learn(now, e, own)...)
	}
	return cmds
}

// learn keeps the later of what is known and what the entry tells; what is known already does not last longer by it.
func (k *Counter) learn(now time.Time, e model.CrashEntry, own bool) []CounterCmd {
	known, found := k.known[e.Fingerprint]
	order := e.Crashes.Compare(known.crashes)
	if order <= 0 {
		if found && order == 0 && own {
			known.own = true
			k.known[e.Fingerprint] = known
		}
		return nil
	}
	k.known[e.Fingerprint] = counted{crashes: e.Crashes, own: own, expires: now.Add(k.config.Expiry)}
	if e.Crashes.Count < k.config.Limit || known.crashes.Count >= k.config.Limit {
		return nil
	}
	return []CounterCmd{QuarantineCmd{Entry: e}}
}

func (k *Counter) expire(now time.Time) {
	maps.DeleteFunc(k.known, func(_ uint64, c counted) bool { return !c.expires.After(now) })
}

// compare orders two requests by the length of their streaks, then by age.
func (k *Counter) compare(a, b uint64) int {
	x, y := k.known[a], k.known[b]
	return cmp.Or(cmp.Compare(x.crashes.Count, y.crashes.Count), x.expires.Compare(y.expires), cmp.Compare(a, b))
}

// bound drops the entries beyond the bound: the shortest streaks, and among these the oldest.
func (k *Counter) bound() {
	if len(k.known) > k.config.MaxEntries {
		all := slices.SortedFunc(maps.Keys(k.known), k.compare)
		for _, f := range all[:len(all)-k.config.MaxEntries] {
			delete(k.known, f)
		}
	}
	invar.Check(len(k.known) <= k.config.MaxEntries, "poison", "%d counts are kept, the bound is %d", len(k.known), k.config.MaxEntries)
}

func (k *Counter) publish() {
	k.bound()
	k.counts.Store(&Counts{limit: k.config.Limit, known: maps.Clone(k.known)})
}
