package eject

import (
	"cmp"
	"slices"
	"strings"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// honour marks the ejections that leave at least the floor in service.
//
// It takes the ranked ejections up to the first that does not fit. Taking smaller ones after it would let one more
// claim replace several others, and the choosers would differ by more than their inputs.
func (s *service) honour() {
	inService := s.servingSlots()
	floor := s.floor()
	candidates := s.unhealthy()
	for _, t := range s.targets {
		t.honoured = false
	}
	announced := inService
	for _, t := range candidates {
		if inService-t.Slots < floor {
			break
		}
		t.honoured = true
		inService -= t.Slots
	}
	invar.Check(inService >= min(floor, announced), "eject",
		"service %s: %d slots in service, floor %d, announced %d", s.spec.Name, inService, floor, announced)
}

// floor returns the slots that stay in service; at least one, because a service without targets helps nobody.
func (s *service) floor() int {
	return max(1, s.spec.FloorSlots)
}

func (s *service) servingSlots() int {
	sum := 0
	for _, t := range s.targets {
		if t.State == model.TargetServing {
			sum += t.Slots
		}
	}
	return sum
}

// unhealthy returns the serving targets that are to be ejected, in the order that all choosers share.
func (s *service) unhealthy() []*target {
	var list []*target
	for _, t := range s.targets {
		if t.State == model.TargetServing && t.out() {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *target) int {
		if c := cmp.Compare(b.severity, a.severity); c != 0 {
			return c
		}
		if c := strings.Compare(a.Ref.ID, b.Ref.ID); c != 0 {
			return c
		}
		return a.Ref.Compare(b.Ref)
	})
	return list
}
