// Package router finds the route of a request in an immutable table.
//
// Usage:
//
//	table, err := router.New(configuration)
//	match, err := table.Match(r.Host, r.URL.Path, r.Method)
//
// A prefix matches whole path segments. Routes of the exact host come before routes without a host; within them the
// longest prefix decides, and the method must be one of that prefix.
package router
