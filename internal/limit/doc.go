// Package limit admits requests to a target by slots, with a bounded queue and a fair share for each client account.
//
// Usage:
//
//	limiter := limit.New(limit.Config{Settings: limit.Settings{Slots: 7, Places: 7, MaxWait: 100 * time.Millisecond}})
//	permit, err := limiter.Acquire(ctx, limit.Request{Account: "a-17", Deadline: deadline})
//	if err != nil {
//		return err // a *RefusedError: the request did not run
//	}
//	defer permit.Release(limit.Result{OK: true})
//
// Module is the deterministic state machine. Limiter makes it safe for concurrent use, one per target, so that requests to
// different targets share no lock.
package limit
