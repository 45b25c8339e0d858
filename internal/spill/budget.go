package spill

import (
	"math"
	"time"
)

const (
	// minRate and maxRate bound the bytes per second that may leave to save waiting time.
	minRate = 32 << 10
	maxRate = 4 << 20
	// riseTime and fallTime are the times in which the rate doubles while requests are short of room, and halves while there
	// is room.
	riseTime = 500 * time.Millisecond
	fallTime = 500 * time.Millisecond
	// maxRise bounds the time for which one request without room raises the rate.
	maxRise = 200 * time.Millisecond
)

// budget is a token bucket in bytes whose rate follows the need. It holds what the rate brings in a second, and may be
// overdrawn by requests that must leave.
type budget struct {
	at    time.Time
	rate  float64
	level float64
	// changedAt is when the rate changed last.
	changedAt time.Time
}

func newBudget(now time.Time) budget {
	return budget{at: now, changedAt: now, rate: minRate, level: minRate}
}

func (b *budget) advance(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(b.rate, b.level+b.rate*elapsed.Seconds())
		b.at = now
	}
}

func (b *budget) raise(now time.Time) {
	b.advance(now)
	b.scale(now, min(maxRise, now.Sub(b.changedAt)), riseTime)
}

func (b *budget) lower(now time.Time) {
	b.advance(now)
	b.scale(now, now.Sub(b.changedAt), -fallTime)
}

func (b *budget) scale(now time.Time, elapsed, doubling time.Duration) {
	if elapsed <= 0 {
		return
	}
	b.rate = max(minRate, min(maxRate, b.rate*math.Exp2(float64(elapsed)/float64(doubling))))
	b.level = min(b.level, b.rate)
	b.changedAt = now
}

// spend draws the bytes; the debt is at most a second of the rate.
func (b *budget) spend(now time.Time, bytes int64) {
	b.advance(now)
	b.level = max(-b.rate, b.level-float64(bytes))
}

func (b *budget) permits(now time.Time) bool {
	return b.level+b.rate*max(0, now.Sub(b.at).Seconds()) > 0
}
