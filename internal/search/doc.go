// Package search is an explicit-state model checker: it explores every reachable state of a small model, breadth first
// and on several cores.
//
// Usage:
//
//	result := search.Explore(model, search.Options{Limit: 5_000_000})
//	if result.Violation != nil {
//		fmt.Println(result.Violation)
//	}
package search
