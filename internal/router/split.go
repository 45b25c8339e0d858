package router

import "github.com/auburnwinch/auburnwinch/pkg/model"

// PickService chooses a service by weight, given a random number from 0 to 1; it returns "" if no part has a weight.
func PickService(parts []model.SplitPart, random float64) string {
	total := 0
	for _, part := range parts {
		total += part.Weight
	}
	left := random * float64(total)
	chosen := ""
	for _, part := range parts {
		if part.Weight == 0 {
			continue
		}
		chosen = part.Service
		if left -= float64(part.Weight); left < 0 {
			break
		}
	}
	return chosen
}
