package search

import "slices"

// BagSize is the capacity of a bag.
const BagSize = 16

// Bag is a multiset of messages in flight; it is a comparable value.
type Bag[T comparable] struct {
	items [BagSize]T
	n     uint8
}

// All returns the items; the slice shares its memory with the bag.
func (b *Bag[T]) All() []T {
	return b.items[:b.n]
}

// Put adds an item; it returns false if the bag is full.
func (b *Bag[T]) Put(item T) bool {
	if b.n == BagSize {
		return false
	}
	b.items[b.n] = item
	b.n++
	return true
}

// Remove removes the item at the index.
func (b *Bag[T]) Remove(i int) {
	b.Set(slices.Delete(slices.Clone(b.All()), i, i+1))
}

// Set replaces all items; at most BagSize items are kept.
func (b *Bag[T]) Set(items []T) {
	b.items = [BagSize]T{}
	b.n = uint8(copy(b.items[:], items))
}

// Sort sorts the items, so that bags with the same items compare equal.
func (b *Bag[T]) Sort() {
	fingerprints := make([]Fingerprint, b.n)
	for i, item := range b.All() {
		fingerprints[i] = FingerprintOf(item)
	}
	ordered := make([]T, b.n)
	for i, rank := range Rank(fingerprints) {
		ordered[rank] = b.items[i]
	}
	b.Set(ordered)
}
