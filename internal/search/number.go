package search

import "slices"

// Rank returns, per actor, its place in the order of the marks, so that actors which differ only in their number get
// one numbering. The order of actors with equal marks is kept.
func Rank(marks []Fingerprint) []int {
	actors := make([]int, len(marks))
	for i := range actors {
		actors[i] = i
	}
	slices.SortStableFunc(actors, func(a, b int) int { return marks[a].Compare(marks[b]) })
	places := make([]int, len(marks))
	for place, actor := range actors {
		places[actor] = place
	}
	return places
}
