// Package drain decides the steps of a graceful shutdown of a node.
//
// Usage:
//
//	shutdown := drain.New(drain.Config{Timeout: time.Minute})
//	for _, cmd := range shutdown.Update(drain.StopMsg{Now: now}) {
//		run(cmd)
//	}
//
// The module orders the steps: announce, hand over keys, wait for the requests in flight, exit.
package drain
