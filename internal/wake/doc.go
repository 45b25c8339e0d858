// Package wake lets one goroutine notify another of a change; pending notifications are merged into one.
//
// Usage:
//
//	changed := wake.New()
//	changed.Raise()
//	<-changed
package wake
