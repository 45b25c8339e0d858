package search

import "fmt"

// CatchPanic calls f and returns the text of its panic, such as a failed invariant, or an empty string.
func CatchPanic(f func()) (problem string) {
	defer func() {
		if r := recover(); r != nil {
			problem = fmt.Sprint(r)
		}
	}()
	f()
	return ""
}

// Label returns a function that formats a label on demand, because only the steps of a violation need one.
func Label(format string, args ...any) func() string {
	return func() string { return fmt.Sprintf(format, args...) }
}
