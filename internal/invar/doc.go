// Package invar asserts invariants of the running program.
//
// Usage:
//
//	invar.Check(next >= current, "ticket", "number in force went from %d to %d", current, next)
//
// A failed check panics in test binaries; elsewhere it is counted and reported to the handler.
package invar
