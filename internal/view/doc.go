// Package view holds the immutable view of the fleet that the request path reads.
//
// Usage:
//
//	var current view.Holder
//	builder := view.NewBuilder(self)
//	current.Store(builder.Build(configuration, states))
//	service := current.Load().Service("courtview")
package view
