package picker

import (
	"sync/atomic"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/relay"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

const (
	// noticeExpiry is how long the counters of a target that is not in the view are kept for its notice.
	noticeExpiry = 10 * time.Minute
	// maxRateWait limits how long a target is avoided because of its rate limit, which may be raised meanwhile.
	maxRateWait = 2 * time.Second
)

// targetNotice is what a target has stated about itself, as known to this edge.
type targetNotice struct {
	latest atomic.Pointer[relay.Notice]
	// waitsUntil is when the rate limit permits the next request, in nanoseconds since the picker's start.
	waitsUntil atomic.Int64
}

// keptCounters are the counters of a target that has stated something about itself. They outlast its absence from the view,
// because a node that restarts publishes no targets at first, and forgets what its target has stated.
type keptCounters struct {
	counters *counters
	at       time.Time
}

// ObserveAnswer records what a response of the target states. The wait is how long its rate limit would make the next
// request wait.
func (p *Picker) ObserveAnswer(ref model.TargetRef, n relay.Notice, wait time.Duration) {
	p.observeNotice(ref, n, wait, true)
}

// ObserveRefusal records what the agent states in place of its target. An agent that has restarted may not know a limit
// yet, so that its absence means nothing.
func (p *Picker) ObserveRefusal(ref model.TargetRef, n relay.Notice, wait time.Duration) {
	if n.Limited || n.Leaving {
		p.observeNotice(ref, n, wait, false)
	}
}

// Notice returns what the target is known to have stated about itself.
func (p *Picker) Notice(ref model.TargetRef) relay.Notice {
	if p.noticeCount.Load() == 0 {
		return relay.Notice{}
	}
	p.noticeMu.Lock()
	defer p.noticeMu.Unlock()
	if k, found := p.kept[ref]; found {
		return k.counters.notice.current()
	}
	return relay.Notice{}
}

func (p *Picker) observeNotice(ref model.TargetRef, n relay.Notice, wait time.Duration, answered bool) {
	if !n.Limited && !n.Leaving && p.noticeCount.Load() == 0 {
		return // The usual case: no target of the fleet has stated anything.
	}
	p.noticeMu.Lock()
	defer p.noticeMu.Unlock()
	k, found := p.kept[ref]
	if !found {
		if !n.Limited && !n.Leaving {
			return
		}
		k.counters = &counters{}
		if e := p.find(ref); e != nil {
			k.counters = e.counters
		}
	}
	now := p.config.Now()
	known := k.counters.notice.current()
	n.Leaving = n.Leaving || known.Leaving
	if !answered && !n.Limited {
		n.RateLimit, n.Limited = known.RateLimit, known.Limited
	}
	k.counters.notice.latest.Store(&n)
	k.counters.notice.waitsUntil.Store(int64(now.Sub(p.start) + min(wait, maxRateWait)))
	k.at = now
	p.kept[ref] = k
	p.noticeCount.Store(int64(len(p.kept)))
}

// dropOldNotices forgets targets of which nothing was heard for noticeExpiry. The caller must hold noticeMu.
func (p *Picker) dropOldNotices() {
	now := p.config.Now()
	for ref, k := range p.kept {
		if now.Sub(k.at) > noticeExpiry {
			delete(p.kept, ref)
		}
	}
	p.noticeCount.Store(int64(len(p.kept)))
}

func (t *targetNotice) current() relay.Notice {
	if n := t.latest.Load(); n != nil {
		return *n
	}
	return relay.Notice{}
}

// leaving reports whether the target must get no new requests.
func (t *targetNotice) leaving() bool {
	n := t.latest.Load()
	return n != nil && n.Leaving
}

// waits reports whether the rate limit of the target is used up; since is the time since the picker's start.
func (t *targetNotice) waits(since time.Duration) bool {
	n := t.latest.Load()
	return n != nil && n.Limited && int64(since) < t.waitsUntil.Load()
}
