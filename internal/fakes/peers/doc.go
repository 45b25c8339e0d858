// Package peers plays all nodes of a fleet but one, so that one real node can be measured at the design size.
//
// All members share one membership module, whose peers are the real node alone: what the module sends to random members
// goes to the real node, in the name of a random member. The real node thus hears each rumour as often as in a whole
// fleet.
//
// Usage:
//
//	f, err := peers.Start(peers.Config{Real: address, Secret: secret, Records: records, Tickets: tickets, Seed: 1})
//	if err != nil {
//		return err
//	}
//	defer f.Close()
//	f.Restart(12)
package peers
