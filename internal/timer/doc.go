// Package timer provides the clock of a node: components subscribe to its ticks instead of reading the system clock.
//
// Usage:
//
//	clock := timer.NewReal()
//	ticks := clock.Subscribe(time.Second)
//	defer ticks.Stop()
//	for now := range ticks.C {
//		module.Update(TickMsg{Now: now})
//	}
//
// Tests use NewManual and advance the time with Advance.
package timer
