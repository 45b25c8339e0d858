// Package ticket decides which configuration is in force on a node.
//
// Module applies tickets strictly in the order of their numbers, buffers tickets that arrive too early, merges snapshots
// and requests reads from the platform or from peers. It performs no I/O and reads no clock: it takes messages and
// returns commands. Syncer runs it and executes its commands.
//
// Usage:
//
//	module := ticket.New(ticket.Config{Random: rand.New(rand.NewPCG(seed, seed))})
//	for _, cmd := range module.Update(ticket.TickMsg{Now: now}) {
//		switch cmd := cmd.(type) {
//		case ticket.ReadHeadCmd: // read the head row; answer with HeadMsg or FailedMsg
//		case ticket.FetchCmd: // fetch from cmd.Source; answer with BatchMsg or FailedMsg
//		case ticket.ApplyCmd: // publish cmd.Configuration and announce its number
//		case ticket.SaveSnapshotCmd: // put cmd.Configuration into the object store
//		case ticket.RejectCmd: // log cmd.Reason
//		}
//	}
package ticket
