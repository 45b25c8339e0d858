// Package retry bounds and permits further attempts of a request.
//
// Usage:
//
//	budget.Begin()
//	if retry.Allowed(attempt) && budget.Spend() {
//		// send the next attempt
//	}
package retry
