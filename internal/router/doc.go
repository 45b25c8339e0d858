// Package router matches requests to routes in an immutable table.
//
// Usage:
//
//	table, err := router.New(configuration)
//	match, err := table.Match(r.Host, r.URL.Path, r.Method)
//
// A prefix matches whole path segments. Routes with the exact host take precedence over routes without a host; among
// them the longest prefix wins, and the method must be accepted by a route of that prefix.
package router
