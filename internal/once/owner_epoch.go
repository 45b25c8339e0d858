package once

import (
	"time"
)

func (o *Owner) countFresh() {
	if o.fresh.Add(1) >= int64(o.config.EpochKeys) {
		o.startEpoch(o.now())
	}
}

// startEpoch tells the modules first, so that no caller holds a token that they don't know yet.
func (o *Owner) startEpoch(now time.Time) {
	o.epochs.Lock()
	defer o.epochs.Unlock()
	if o.epoch > 0 && o.fresh.Load() < int64(o.config.EpochKeys) && now.Sub(o.begun) < epochInterval {
		return
	}
	o.epoch++
	o.begun = now
	o.fresh.Store(0)
	o.oldest = append(o.oldest, epochStart{Epoch: o.epoch, Begun: now})
	for len(o.oldest) > 1 && now.Sub(o.oldest[1].Begun) > tokenAge {
		o.oldest = o.oldest[1:]
	}
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		s.module.Update(EpochMsg{Epoch: o.epoch, Oldest: o.oldest[0].Epoch})
		s.mu.Unlock()
	}
	token := FormatToken(o.config.Self.Ref, o.epoch)
	o.token.Store(&token)
}

func (o *Owner) tick(now time.Time) {
	o.startEpoch(now)
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		s.module.Update(ExpireMsg{Before: now.Add(-o.config.Retention)})
		s.mu.Unlock()
	}
}
