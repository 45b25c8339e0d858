// Package drain is the state machine of a graceful shutdown of a node.
//
// Usage:
//
//	shutdown := drain.New(drain.Config{Timeout: time.Minute})
//	for _, cmd := range shutdown.Update(drain.StopMsg{Now: now}) {
//		run(cmd)
//	}
//
// The steps, in order: announce the shutdown, stop relaying, close the listeners, wait for the requests in flight, hand over the
// idempotency keys, exit.
package drain
