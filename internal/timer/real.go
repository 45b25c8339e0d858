package timer

import "time"

// Real is the service that follows the clock of the process.
type Real struct{}

// NewReal returns a service on the clock of the process.
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
