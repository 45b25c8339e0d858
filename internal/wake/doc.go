// Package wake lets one goroutine tell another that something changed, without a queue.
//
// Usage:
//
//	changed := wake.New()
//	changed.Raise()
//	<-changed
package wake
