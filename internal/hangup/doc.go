// Package hangup catches SIGHUP from the first moments of a process that reloads its settings on it. A signal that came
// before would end the process.
//
// Usage:
//
//	for range hangup.Signals() {
//		reload()
//	}
package hangup
