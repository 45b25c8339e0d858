// Package hosted assembles the node that runs on a hosted platform. It uses the same edge and agent as the standalone
// node, and reads members and configuration from the rows of a shared store.
//
// Usage:
//
//	n, err := hosted.New(hosted.Config{Self: self, Nodes: nodes, Configurations: operator, Decode: decode})
//	if err != nil {
//		return err
//	}
//	return n.Run(ctx)
package hosted
