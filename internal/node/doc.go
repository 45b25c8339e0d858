// Package node combines the edge, the agent, membership and the ticket reader in the process that runs on each VM.
//
// Usage:
//
//	n, err := node.New(node.Config{Settings: settings, Logger: logger})
//	if err != nil {
//		return err
//	}
//	err = n.Run(ctx) // until ctx ends, then a graceful shutdown
package node
