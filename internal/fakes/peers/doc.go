// Package peers simulates all nodes of a fleet but one, so that one real node can be measured at the design size.
//
// All simulated members share one membership module. What the module sends to random members is sent to the real node
// instead, with a random member as the sender, so the real node receives each rumour as often as in a complete fleet.
//
// Usage:
//
//	f, err := peers.Start(peers.Config{Real: address, Secret: secret, Records: records, Tickets: tickets, Seed: 1})
//	if err != nil {
//		return err
//	}
//	defer f.Close()
//	f.Fail(12)
package peers
