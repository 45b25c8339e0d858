// Package invar checks invariants at run time.
//
// Usage:
//
//	invar.Check(next >= current, "ticket", "number in force went from %d to %d", current, next)
//
// A failed check panics in test binaries; in other processes it is counted and passed to the handler.
package invar
