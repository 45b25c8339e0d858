package timer

import "time"

// Service tells the time and delivers ticks to subscribers.
type Service interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// Subscribe delivers the time on the subscription's channel once every interval.
	Subscribe(interval time.Duration) *Subscription
}

// Subscription delivers ticks until it is stopped; a slow reader misses ticks.
type Subscription struct {
	C    <-chan time.Time
	stop func()
}

// Stop ends the delivery of ticks; the channel is not closed.
func (s *Subscription) Stop() {
	s.stop()
}
