// Package view holds the immutable view of the fleet that the request path reads.
//
// Usage:
//
//	var current view.Cell
//	builder := view.NewBuilder(self)
//	current.Store(builder.Build(configuration, parts))
//	service := current.Load().Service("courtview")
package view
