package main

import (
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/eject"
)

// flights holds what one observer has in flight, by target and class.
type flights struct{ lists []*flightList }

type flightList struct {
	target   int
	class    string
	flights  []flight
	reported bool
}

type flight struct {
	attempt *attempt
	start   time.Time
}

func (f *flights) list(target int, class string) *flightList {
	for _, l := range f.lists {
		if l.target == target && l.class == class {
			return l
		}
	}
	l := &flightList{target: target, class: class}
	f.lists = append(f.lists, l)
	return l
}

func (f *flights) add(a *attempt, target int, now time.Time) {
	l := f.list(target, a.request.class)
	l.flights = append(l.flights, flight{attempt: a, start: now})
}

func (f *flights) remove(a *attempt, target int) {
	l := f.list(target, a.request.class)
	l.flights = slices.DeleteFunc(l.flights, func(other flight) bool { return other.attempt == a })
}

// report feeds the ages to the module, as the tracker does.
func (f *flights) report(m *eject.Module, now time.Time, targets []*target) {
	for _, l := range f.lists {
		ref := targets[l.target].model.Ref
		from := m.Snapshot().Verdict(ref).EvidenceFrom
		msg := eject.InFlightMsg{Now: now, Target: ref, Class: l.class}
		for _, other := range l.flights {
			if !other.start.Before(from) {
				msg.Count++
				age := now.Sub(other.start)
				msg.SecondAge = max(msg.SecondAge, min(age, msg.OldestAge))
				msg.OldestAge = max(msg.OldestAge, age)
			}
		}
		if msg.Count > 0 || l.reported {
			m.Update(msg)
		}
		l.reported = msg.Count > 0
	}
}
