// Package timer is the time service of a node: parts subscribe to it instead of reading a clock.
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
// Tests use NewManual and move the time with Advance.
package timer
