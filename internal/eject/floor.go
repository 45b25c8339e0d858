package eject

import (
	"cmp"
	"slices"
	"strings"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// enforceEjections marks the ejections that leave at least the minimum capacity in service.
//
// It takes the ranked ejections up to the first that does not fit. If it continued with smaller ones, one more claim
// could replace several others, and the sets of two edges would differ by more than their inputs.
func (s *service) enforceEjections() {
	announced := s.servingSlots()
	inService, minimum, allowed := announced, s.minSlotsInService(), s.ejectionBudget()
	for _, t := range s.targets {
		t.enforced, t.commonCause = false, false
	}
	for _, t := range s.rankedUnhealthy() {
		if inService-t.Slots < minimum {
			break
		}
		if !allowed.take(t.severity) {
			t.commonCause = true
			continue
		}
		t.enforced = true
		inService -= t.Slots
	}
	invar.Check(inService >= min(minimum, announced), "eject",
		"service %s: %d slots in service, floor %d, announced %d", s.spec.Name, inService, minimum, announced)
}

// ejectionBudget bounds the ejections that may have a common cause; crashes are not bounded by it.
type ejectionBudget struct{ slow, all int }

// ejectionBudget returns the budget of the service. It shrinks by one with each further affected target rather than in
// one step, so that the sets of two edges whose inputs differ by one claim do not differ as a whole. No slow target is
// ejected when more than half look slow, and no target at all, except for crashes, when every target is affected.
func (s *service) ejectionBudget() ejectionBudget {
	serving, slow, all := 0, 0, 0
	for _, t := range s.targets {
		if t.State != model.TargetServing {
			continue
		}
		serving++
		switch {
		case !t.outOfService() && (t.symptom.isSuspect(true) || t.claim != 0 && t.claim != model.SeverityCrashed), t.outOfService() && t.severity == model.SeveritySlow:
			slow++
			all++
		case t.outOfService() && t.severity != model.SeverityCrashed:
			all++
		}
	}
	return ejectionBudget{slow: max(0, serving/2+1-slow), all: max(0, serving-all)}
}

func (a *ejectionBudget) take(severity model.Severity) bool {
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

// minSlotsInService returns the minimum capacity: the number of slots that must stay in service. It is at least one,
// because a service without targets can't serve any request.
func (s *service) minSlotsInService() int {
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

// rankedUnhealthy returns the serving targets to eject, in the order that all edges share.
func (s *service) rankedUnhealthy() []*target {
	var list []*target
	for _, t := range s.targets {
		if t.State == model.TargetServing && t.outOfService() {
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
