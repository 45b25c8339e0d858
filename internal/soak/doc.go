// Package soak holds the randomized soak of nodes on a hosted platform, as a test: real processes beside stand-ins of the
// store and of targets, with faults from outside them, and the promises checked from what callers and targets see.
//
// Usage:
//
//	go test ./internal/soak                                     # a short run of the seeds that CI keeps
//	AUBURNWINCH_SOAK_SEEDS=7 AUBURNWINCH_SOAK_NODES=100 go test ./internal/soak -run TestSeeds
//	AUBURNWINCH_SOAK_SEEDS=100-149 go test -timeout 60m ./internal/soak -run TestSeeds
package soak
