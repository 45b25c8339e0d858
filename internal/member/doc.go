// Package member implements the membership protocol of the fleet: SWIM-style failure detection, gossip and anti-entropy.
//
// It is deterministic: messages carry the time, randomness comes from a seed, and side effects are returned as commands.
//
// Usage:
//
//	module := member.New(member.Config{Self: self, Seed: seed, Now: clock.Now()})
//	for _, cmd := range module.Update(member.TickMsg{Now: clock.Now()}) {
//		execute(cmd)
//	}
//	records := module.Snapshot().Records
//
// TestCapacity prints the cost of membership; AUBURNWINCH_CAPACITY_NODES=10,100,670 selects the sizes.
package member
