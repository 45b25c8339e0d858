package search

import "slices"

// BagSize is the number of items that a bag holds.
const BagSize = 16

// Bag holds messages on their way, in a comparable value.
type Bag[T comparable] struct {
	items [BagSize]T
	n     uint8
}

// All returns the items; changes of them change the bag.
func (b *Bag[T]) All() []T {
	return b.items[:b.n]
}

// Put reports whether there was room for the item.
func (b *Bag[T]) Put(item T) bool {
	if b.n == BagSize {
		return false
	}
	b.items[b.n] = item
	b.n++
	return true
}

// Remove takes out the item at the index.
func (b *Bag[T]) Remove(i int) {
	b.Set(slices.Delete(slices.Clone(b.All()), i, i+1))
}

// Set replaces all items; there are never more than BagSize.
func (b *Bag[T]) Set(items []T) {
	b.items = [BagSize]T{}
	b.n = uint8(copy(b.items[:], items))
}

// Sort sorts the items, so that bags with the same items are equal.
func (b *Bag[T]) Sort() {
	prints := make([]Fingerprint, b.n)
	for i, item := range b.All() {
		prints[i] = FingerprintOf(item)
	}
	ordered := make([]T, b.n)
	for i, place := range Rank(prints) {
		ordered[place] = b.items[i]
	}
	b.Set(ordered)
}
