// Package retry decides whether a request may be sent again and limits the number of retries.
//
// Usage:
//
//	budget.Deposit()
//	if retry.Allowed(attempt) && budget.Withdraw() {
//		// send the next attempt
//	}
package retry
