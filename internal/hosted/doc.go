// Package hosted composes the node that runs on a hosted platform: the same edge and agent as the product's own node, with
// members and configuration from the rows of a shared store.
//
// Usage:
//
//	n, err := hosted.New(hosted.Config{Self: self, Nodes: nodes, Configurations: operator, Decode: decode})
//	if err != nil {
//		return err
//	}
//	return n.Run(ctx)
package hosted
