package timer

import "time"

// Real is a service that uses the system clock.
type Real struct{}

// NewReal returns a service that uses the system clock.
func NewReal() Real {
	return Real{}
}

// Now returns the current time with a monotonic reading.
func (Real) Now() time.Time {
	return time.Now()
}

// Subscribe delivers the time once every interval.
func (Real) Subscribe(interval time.Duration) *Subscription {
	ticker := time.NewTicker(interval)
	return &Subscription{C: ticker.C, stop: ticker.Stop}
}
