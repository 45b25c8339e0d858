// Package ticket decides which configuration is in force on a node.
//
// It applies tickets strictly in the order of their numbers, keeps what arrives too early, merges snapshots, and says
// what to read from the platform or from peers. It has no I/O and no clock: messages go in, commands come out.
//
// Usage:
//
//	module := ticket.New(ticket.Config{Random: rand.New(rand.NewPCG(seed, seed))})
//	for _, cmd := range module.Update(ticket.TickMsg{Now: now}) {
//		switch cmd := cmd.(type) {
//		case ticket.ReadHeadCmd: // read the head row; answer with HeadMsg or FailedMsg
//		case ticket.FetchCmd: // fetch from cmd.Source; answer with BatchMsg or FailedMsg
//		case ticket.ApplyCmd: // publish cmd.Configuration and spread its number
//		case ticket.SaveSnapshotCmd: // put cmd.Configuration into the object store
//		case ticket.RejectCmd: // log cmd.Reason
//		}
//	}
package ticket
