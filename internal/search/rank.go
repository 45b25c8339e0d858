package search

import "slices"

// Rank returns the rank of each actor in the order of the fingerprints. Renumbering actors by rank gives states that
// differ only in the numbers of their actors the same form. Actors with equal fingerprints keep their order.
func Rank(fingerprints []Fingerprint) []int {
	actors := make([]int, len(fingerprints))
	for i := range actors {
		actors[i] = i
	}
	slices.SortStableFunc(actors, func(a, b int) int { return fingerprints[a].Compare(fingerprints[b]) })
	ranks := make([]int, len(fingerprints))
	for rank, actor := range actors {
		ranks[actor] = rank
	}
	return ranks
}
