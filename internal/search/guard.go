package search

import "fmt"

// CatchPanic calls f and returns the panic with which it ended, for instance of a failed invariant, or an empty string.
func CatchPanic(f func()) (problem string) {
	defer func() {
		if r := recover(); r != nil {
			problem = fmt.Sprint(r)
		}
	}()
	f()
	return ""
}

// Label formats a label only when a violation needs it.
func Label(format string, args ...any) func() string {
	return func() string { return fmt.Sprintf(format, args...) }
}
