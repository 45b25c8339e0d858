// Package soak holds a randomized soak test of hosted nodes. It runs real node processes with stand-ins for the store
// and the targets, injects overlapping faults from outside the processes, and checks the guarantees against what
// callers and targets observe.
//
// Usage:
//
//	go test ./internal/soak                                     # a short run of the seeds that CI runs
//	AUBURNWINCH_SOAK_SEEDS=7 AUBURNWINCH_SOAK_NODES=100 go test ./internal/soak -run TestSeeds
//	AUBURNWINCH_SOAK_SEEDS=100-149 go test -timeout 60m ./internal/soak -run TestSeeds
package soak
