// Package limit admits requests at the agent of a target by slots, with a bounded queue and fairness by account.
//
// Usage:
//
//	limiter := limit.New(limit.Config{Settings: limit.Settings{Slots: 7, Places: 7, Wait: 100 * time.Millisecond}})
//	permit, err := limiter.Acquire(ctx, limit.Request{Account: "a-17", Deadline: deadline})
//	if err != nil {
//		return err // a *RefusedError: the request did not run
//	}
//	defer permit.Release(limit.Result{OK: true})
//
// Module is the deterministic part; Limiter is the concurrent shell of one target, so no lock is shared by all requests.
package limit
