package search

import (
	"cmp"
	"hash/maphash"
)

// Fingerprint identifies a state; two states with one print are taken for the same state. Prints differ from process to
// process. With 128 bits, the chance that a search of a billion states mistakes one is below 10^-20.
type Fingerprint [2]uint64

var seeds = [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}

// FingerprintOf returns the print of a value without pointers.
func FingerprintOf[T comparable](v T) Fingerprint {
	return Fingerprint{maphash.Comparable(seeds[0], v), maphash.Comparable(seeds[1], v)}
}

// Add combines prints without regard to their order, as the entries of a map need.
func (p Fingerprint) Add(other Fingerprint) Fingerprint {
	return Fingerprint{p[0] + other[0], p[1] + other[1]}
}

// At returns a print that depends on a place as well, as the elements of a list need.
func (p Fingerprint) At(place int) Fingerprint {
	return FingerprintOf(struct {
		place int
		print Fingerprint
	}{place, p})
}

// Compare orders prints; the order means nothing, but it is the same throughout the process.
func (p Fingerprint) Compare(other Fingerprint) int {
	return cmp.Or(cmp.Compare(p[0], other[0]), cmp.Compare(p[1], other[1]))
}
