// Package sighup catches SIGHUP as early as possible in a process that reloads its settings on it, because a signal
// that arrives before the handler is installed terminates the process.
//
// Usage:
//
//	for range sighup.Signals() {
//		reload()
//	}
package sighup
