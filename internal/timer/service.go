package timer

import "time"

// Service provides the current time and delivers ticks to subscribers.
type Service interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// Subscribe delivers the time on the subscription's channel once every interval.
	Subscribe(interval time.Duration) *Subscription
}

// Subscription delivers ticks until it is stopped; ticks are dropped for a slow reader.
type Subscription struct {
	C    <-chan time.Time
	stop func()
}

// Stop stops the delivery of ticks; the channel is not closed.
func (s *Subscription) Stop() {
	s.stop()
}
