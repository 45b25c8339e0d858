// Package notify lets one goroutine notify another of a change; pending notifications are merged into one.
//
// Usage:
//
//	changed := notify.New()
//	changed.Raise()
//	<-changed
package notify
