package search

import (
	"cmp"
	"hash/maphash"
)

// Fingerprint is a 128-bit hash that identifies a state; states with equal fingerprints are treated as the same state.
// The hash is seeded per process. The probability of a collision in a search of a billion states is below 10^-20.
type Fingerprint [2]uint64

var seeds = [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}

// FingerprintOf returns the fingerprint of a value without pointers.
func FingerprintOf[T comparable](v T) Fingerprint {
	return Fingerprint{maphash.Comparable(seeds[0], v), maphash.Comparable(seeds[1], v)}
}

// Add combines fingerprints independently of their order, as required for the entries of a map.
func (f Fingerprint) Add(other Fingerprint) Fingerprint {
	return Fingerprint{f[0] + other[0], f[1] + other[1]}
}

// At returns a fingerprint that also depends on an index, as required for the elements of a list.
func (f Fingerprint) At(index int) Fingerprint {
	return FingerprintOf(struct {
		index       int
		fingerprint Fingerprint
	}{index, f})
}

// Compare orders fingerprints; the order is arbitrary but stable within a process.
func (f Fingerprint) Compare(other Fingerprint) int {
	return cmp.Or(cmp.Compare(f[0], other[0]), cmp.Compare(f[1], other[1]))
}
