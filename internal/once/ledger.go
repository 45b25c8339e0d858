package once

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/auburnwinch/auburnwinch/internal/timer"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// shards is the number of independently locked modules that share the keys, which reduces lock contention.
const shards = 16

// Limits of the data that a node keeps. At the design size a node gets 180,000/670 = 270 requests/s, which makes
// 180,000 keys in eleven minutes; the limit of keys adds half of that for skew. Keys and responses together must leave
// room in the 128 MB that a node has for control-plane work.
const (
	defaultRetention      = 10 * time.Minute
	defaultMaxKeys        = 270_000
	defaultMaxFloors      = 8_192
	maxResponseBytes      = 64 << 10
	maxTotalResponseBytes = 32 << 20
	expireInterval        = 10 * time.Second
)

// LedgerConfig configures a Ledger; only Self is required.
type LedgerConfig struct {
	Self  model.NodeRef
	Clock timer.Service
	// Retention is the minimum time for which a key is kept, unless MaxKeys is reached.
	Retention time.Duration
	MaxKeys   int
}

// Ledger records the keys of the requests that an agent sent to its targets.
type Ledger struct {
	config LedgerConfig
	shards [shards]ledgerShard
	ticker ticker
}

type ledgerShard struct {
	mu     sync.Mutex
	module *ledgerModule
	_      [48]byte // puts the locks of two shards on different cache lines
}

// ticker calls a function periodically until it is closed.
type ticker struct {
	stop chan struct{}
	once sync.Once
	wg   conc.WaitGroup
}

// NewLedger returns a ledger that drops expired epochs in the background until Close.
func NewLedger(c LedgerConfig) (*Ledger, error) {
	if c.Self.IsZero() {
		return nil, eris.New("once: LedgerConfig.Self is required")
	}
	if c.Clock == nil {
		c.Clock = timer.NewReal()
	}
	c.Retention = orDefault(c.Retention, defaultRetention)
	c.MaxKeys = orDefault(c.MaxKeys, defaultMaxKeys)
	l := &Ledger{config: c}
	for i := range l.shards {
		l.shards[i].module = newLedgerModule(ledgerConfig{
			Self:                  c.Self,
			MaxRecords:            max(c.MaxKeys/shards, 1),
			MaxFloors:             defaultMaxFloors,
			MaxResponseBytes:      maxResponseBytes,
			MaxTotalResponseBytes: maxTotalResponseBytes / shards,
		})
	}
	l.ticker.start(c.Clock, expireInterval, l.expire)
	return l, nil
}

// Admit reports whether the attempt may be sent to a target. False does not prove that the key did not run.
func (l *Ledger) Admit(attempt string) bool {
	id, err := parseAttempt(attempt)
	if err != nil {
		return false
	}
	return l.update(id.Key, AdmitMsg{Now: l.config.Clock.Now(), ID: id}) != nil
}

// Release undoes the admission of an attempt that certainly did not reach the target.
func (l *Ledger) Release(attempt string) {
	if id, err := parseAttempt(attempt); err == nil {
		l.update(id.Key, ReleaseMsg{ID: id})
	}
}

// Finish records that the target sent a complete response. A nil or too large response is not stored; the caller must
// not modify the response afterwards.
func (l *Ledger) Finish(attempt string, response *StoredResponse) {
	if id, err := parseAttempt(attempt); err == nil {
		l.update(id.Key, CompleteMsg{Now: l.config.Clock.Now(), ID: id, Response: response})
	}
}

// Fail records that the target aborted the attempt after it received the request.
func (l *Ledger) Fail(attempt string) {
	if id, err := parseAttempt(attempt); err == nil {
		l.update(id.Key, CompleteMsg{Now: l.config.Clock.Now(), ID: id, Aborted: true})
	}
}

// Close stops the expiry of epochs.
func (l *Ledger) Close() {
	l.ticker.close()
}

func (l *Ledger) fence(msg FenceMsg) KeyStateCmd {
	msg.Now = l.config.Clock.Now()
	return l.update(msg.ID, msg).(KeyStateCmd)
}

func (l *Ledger) lookup(msg LookupMsg) KeyStateCmd {
	s := l.shard(msg.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.module.Lookup(msg)
}

func (l *Ledger) update(id keyID, msg Msg) Cmd {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.module.Update(msg)
}

func (l *Ledger) shard(id keyID) *ledgerShard {
	return &l.shards[id.Digest.shard()]
}

func (l *Ledger) expire(now time.Time) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.module.Update(ExpireMsg{Before: now.Add(-l.config.Retention)})
		s.mu.Unlock()
	}
}

func (d digest) shard() int {
	return int(d[0]) % shards
}

func (t *ticker) start(clock timer.Service, interval time.Duration, f func(time.Time)) {
	t.stop = make(chan struct{})
	ticks := clock.Subscribe(interval)
	t.wg.Go(func() {
		defer ticks.Stop()
		for {
			select {
			case now := <-ticks.C:
				f(now)
			case <-t.stop:
				return
			}
		}
	})
}

func (t *ticker) close() {
	t.once.Do(func() { close(t.stop) })
	t.wg.Wait()
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
