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
	announced := s.servingSlots()
	inService, floor, allowed := announced, s.floor(), s.allowance()
	for _, t := range s.targets {
		t.honoured, t.common = false, false
	}
	for _, t := range s.unhealthy() {
		if inService-t.Slots < floor {
			break
		}
		if !allowed.take(t.severity) {
			t.common = true
			continue
		}
		t.honoured = true
		inService -= t.Slots
	}
	invar.Check(inService >= min(floor, announced), "eject",
		"service %s: %d slots in service, floor %d, announced %d", s.spec.Name, inService, floor, announced)
}

// allowance bounds the ejections that may have a common cause; crashes are not bounded by it.
type allowance struct{ slow, all int }

// allowance shrinks by one with each further affected target, without a step, so that choosers whose inputs differ by
// one claim do not differ by the whole set. No slow target is ejected when more than half look slow, and no target at
// all, except for crashes, when every target is affected.
func (s *service) allowance() allowance {
	serving, slow, all := 0, 0, 0
	for _, t := range s.targets {
		if t.State != model.TargetServing {
			continue
		}
		serving++
		switch {
		case !t.out() && (t.found.hints(true) || t.claim != 0 && t.claim != model.SeverityCrashed), t.out() && t.severity == model.SeveritySlow:
			slow++
			all++
		case t.out() && t.severity != model.SeverityCrashed:
			all++
		}
	}
	return allowance{slow: max(0, serving/2+1-slow), all: max(0, serving-all)}
}

func (a *allowance) take(severity model.Severity) bool {
	if severity == model.SeverityCrashed {
		return true
	}
	if a.all == 0 || severity == model.SeveritySlow && a.slow == 0 {
		return false
	}
	a.all--
	if severity == model.SeveritySlow {
		a.slow--
	}
	return true
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
