// Package view holds the immutable view of the fleet that the request path reads.
//
// Usage:
//
//	var current view.Cell
//	current.Store(view.New(self, configuration, candidates, claims, poison))
//	service := current.Load().Service("courtview")
package view
