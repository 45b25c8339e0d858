// Package spill decides whether a request leaves the failure domain of its node, and how much may leave at once.
//
// Usage:
//
//	m := spill.New(now)
//	m.Update(spill.ReplyMsg{Now: now, Tier: spill.Region, RoundTrip: 3 * time.Millisecond})
//	reason := m.Decide(spill.Request{Now: now, Tier: spill.Region, Bytes: 4 << 10, Objective: time.Second, Queue: true, Wait: wait})
//	if reason != spill.Stays {
//		m.Update(spill.LeftMsg{Now: now, Bytes: 4 << 10})
//	}
//
// A Module is deterministic, does no I/O and is not safe for concurrent use.
package spill
