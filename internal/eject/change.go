package eject

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// ServiceChange is the new state of one service; its targets are sorted by reference, which is unique.
type ServiceChange struct {
	Service
	// Claims are the claims of all agents about targets of the service; an agent's observer ignores them.
	Claims []model.Claim
}

// ChangeMsg replaces some services and the claims about them, and removes others; all other services are left
// unchanged. A service is evaluated at once if its spec, its targets or the claims about them have changed.
type ChangeMsg struct {
	Now     time.Time
	Changed []ServiceChange
	Removed []string
}

// TargetRemovedCmd reports that a target is no longer announced; only ChangeMsg causes it.
type TargetRemovedCmd struct{ Target model.TargetRef }

func (m ChangeMsg) at() time.Time { return m.Now }
func (TargetRemovedCmd) cmd()     {}

// applyChange takes time proportional to the services in the message, since a large fleet can change many times per
// second during an outage.
func (m *Module) applyChange(msg ChangeMsg) []Cmd {
	var cmds []Cmd
	for _, name := range msg.Removed {
		cmds = append(cmds, m.removeService(name)...)
	}
	updated := make([]bool, len(msg.Changed))
	for i := range msg.Changed {
		removed, changed := m.upsertService(&msg.Changed[i].Service)
		cmds, updated[i] = append(cmds, removed...), changed
	}
	m.expireHistories()
	cmds = append(cmds, m.publish()...)
	if m.config.Observer != ObserverEdge {
		return cmds
	}
	for i := range msg.Changed {
		s := m.byName[msg.Changed[i].Spec.Name]
		if m.setClaims(s, msg.Changed[i].Claims) || updated[i] {
			m.advance(s)
		}
	}
	return append(cmds, m.publish()...)
}

func (m *Module) removeService(name string) []Cmd {
	s := m.byName[name]
	if s == nil {
		return nil
	}
	delete(m.byName, name)
	m.services = slices.DeleteFunc(m.services, func(other *service) bool { return other == s })
	m.changed = true
	removed := s.targets
	s.targets = nil
	return m.removeTargets(s, removed)
}

// upsertService adds or updates a service and returns a command for each removed target and whether anything changed.
func (m *Module) upsertService(item *Service) (removed []Cmd, changed bool) {
	s := m.byName[item.Spec.Name]
	if s != nil && s.equals(item) {
		return nil, false
	}
	m.changed = true
	if s != nil {
		return m.updateService(s, item), true
	}
	s = m.newService(*item, nil)
	m.byName[item.Spec.Name] = s
	at, _ := slices.BinarySearchFunc(m.services, item.Spec.Name, func(s *service, name string) int {
		return strings.Compare(s.spec.Name, name)
	})
	m.services = slices.Insert(m.services, at, s)
	return nil, true
}

func (s *service) equals(item *Service) bool {
	same := func(t *target, announced model.Target) bool { return t.Target == announced }
	return slices.EqualFunc(s.targets, item.Targets, same) && reflect.DeepEqual(&s.spec, &item.Spec)
}

// updateService does what newService does for a known service, but touches only the targets that are added or removed.
func (m *Module) updateService(s *service, item *Service) []Cmd {
	old, next := s.targets, slices.Grow([]*target(nil), len(item.Targets))
	var removed []*target
	for _, announced := range item.Targets {
		for len(old) > 0 && old[0].Ref.Compare(announced.Ref) < 0 {
			removed, old = append(removed, old[0]), old[1:]
		}
		if len(old) > 0 && old[0].Ref == announced.Ref {
			old[0].Target = announced
			next, old = append(next, old[0]), old[1:]
			continue
		}
		t := m.targetFor(announced, s)
		s.byRef[announced.Ref] = t
		next = append(next, t)
	}
	s.targets = next
	s.spec, s.thresholds = item.Spec, m.config.Thresholds(item.Spec)
	s.dirty, s.active, s.verdictsStale = true, false, true
	s.references, s.referencesAt, s.releasedAt = nil, time.Time{}, time.Time{}
	return m.removeTargets(s, append(removed, old...))
}

// removeTargets deletes targets; their ejection histories are kept for a later target with the same ID.
func (m *Module) removeTargets(s *service, removed []*target) []Cmd {
	var cmds []Cmd
	for _, t := range removed {
		delete(s.byRef, t.Ref)
		if !slices.ContainsFunc(s.targets, func(other *target) bool { return other.history == t.history }) {
			m.unusedHistories[historyKey{t.Ref.Service, t.Ref.ID}] = struct{}{}
		}
		cmds = append(cmds, TargetRemovedCmd{Target: t.Ref})
	}
	return cmds
}

// expireHistories deletes the histories of targets that are not announced and whose last ejection is more than
// flapWindow ago.
func (m *Module) expireHistories() {
	for key := range m.unusedHistories {
		if m.now.Sub(m.histories[key].lastEjected) > flapWindow {
			delete(m.histories, key)
			delete(m.unusedHistories, key)
		}
	}
}

// setClaims replaces the claims about the targets of one service and reports whether any claim has changed.
func (m *Module) setClaims(s *service, claims []model.Claim) bool {
	fresh := make(map[model.TargetRef]model.Severity, len(claims))
	for _, c := range claims {
		fresh[c.Target] = max(fresh[c.Target], c.Severity)
	}
	changed := false
	for _, t := range s.targets {
		severity := model.Severity(0)
		if len(fresh) > 0 {
			severity = fresh[t.Ref]
		}
		if t.claim == 0 && severity != 0 {
			t.claimSince, t.othersSlowDuringClaim = m.now, false
		}
		if t.claim != severity {
			t.claim = severity
			s.dirty, changed = true, true
		}
	}
	return changed
}
