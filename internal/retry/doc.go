// Package retry decides whether a request may be sent again and limits the number of retries.
//
// Usage:
//
//	budget.Begin()
//	if retry.Allowed(attempt) && budget.Spend() {
//		// send the next attempt
//	}
package retry
