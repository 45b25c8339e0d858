// Package peer connects a node to the other nodes of the fleet: it performs the I/O of the membership module and carries
// remote procedure calls between nodes.
//
// Usage:
//
//	p, err := peer.New(peer.Config{
//		Self:     self,
//		Secret:   secret,
//		Seeds:    []string{"10.0.0.7:7400"},
//		Services: []peer.Service{{Name: "Keys", Receiver: ledger}},
//		OnChange: rebuildView,
//	})
//	if err != nil {
//		return err
//	}
//	defer p.Close()
//	p.SetLocal(member.LocalState{Ticket: number, Targets: targets})
//	err = p.Call(ctx, node, "Keys.Fence", args, &reply)
package peer
