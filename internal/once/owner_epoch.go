package once

import (
	"time"
)

func (o *Owner) countNewKey() {
	if o.newKeys.Add(1) >= int64(o.config.EpochKeys) {
		o.startEpoch(o.now())
	}
}

// startEpoch starts an epoch if one is due. It updates the modules before it publishes the token, so that no caller
// gets a token that they don't know yet.
func (o *Owner) startEpoch(now time.Time) {
	o.epochMu.Lock()
	defer o.epochMu.Unlock()
	if o.epoch > 0 && o.newKeys.Load() < int64(o.config.EpochKeys) && now.Sub(o.epochStarted) < epochInterval {
		return
	}
	o.epoch++
	o.epochStarted = now
	o.newKeys.Store(0)
	o.epochStarts = append(o.epochStarts, epochStart{Epoch: o.epoch, Started: now})
	for len(o.epochStarts) > 1 && now.Sub(o.epochStarts[1].Started) > minTokenAge {
		o.epochStarts = o.epochStarts[1:]
	}
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		s.module.Update(EpochMsg{Epoch: o.epoch, Oldest: o.epochStarts[0].Epoch})
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
