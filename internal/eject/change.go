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
	// Claims are those of all agents on targets of the service; an agent's observer ignores them.
	Claims []model.Claim
}

// ChangeMsg replaces some services with the claims on them and removes others; all others stay as they are. A service
// is judged at once if its spec, its targets or the claims on them differ from before.
type ChangeMsg struct {
	Now     time.Time
	Changed []ServiceChange
	Removed []string
}

// DepartedCmd reports that a target is no longer announced; only ChangeMsg causes it.
type DepartedCmd struct{ Target model.TargetRef }

func (m ChangeMsg) at() time.Time { return m.Now }
func (DepartedCmd) cmd()          {}

// change works in proportion to the services in the message, since a large fleet changes many times a second on a bad
// day.
func (m *Module) change(msg ChangeMsg) []Cmd {
	var cmds []Cmd
	for _, name := range msg.Removed {
		cmds = append(cmds, m.removeService(name)...)
	}
	altered := make([]bool, len(msg.Changed))
	for i := range msg.Changed {
		departed, differs := m.changeService(&msg.Changed[i].Service)
		cmds, altered[i] = append(cmds, departed...), differs
	}
	m.expireHistories()
	cmds = append(cmds, m.publish()...)
	if m.config.Observer != ObserverEdge {
		return cmds
	}
	for i := range msg.Changed {
		s := m.byName[msg.Changed[i].Spec.Name]
		if m.setClaims(s, msg.Changed[i].Claims) || altered[i] {
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
	departed := s.targets
	s.targets = nil
	return m.depart(s, departed)
}

// changeService reports the targets that are gone and whether anything differs from before.
func (m *Module) changeService(item *Service) (departed []Cmd, differs bool) {
	s := m.byName[item.Spec.Name]
	if s != nil && s.matches(item) {
		return nil, false
	}
	m.changed = true
	if s != nil {
		return m.alter(s, item), true
	}
	s = m.newService(*item, nil)
	m.byName[item.Spec.Name] = s
	at, _ := slices.BinarySearchFunc(m.services, item.Spec.Name, func(s *service, name string) int {
		return strings.Compare(s.spec.Name, name)
	})
	m.services = slices.Insert(m.services, at, s)
	return nil, true
}

func (s *service) matches(item *Service) bool {
	same := func(t *target, announced model.Target) bool { return t.Target == announced }
	return slices.EqualFunc(s.targets, item.Targets, same) && reflect.DeepEqual(&s.spec, &item.Spec)
}

// alter does what newService does for a known service, but touches only the targets that come or go.
func (m *Module) alter(s *service, item *Service) []Cmd {
	old, next := s.targets, slices.Grow([]*target(nil), len(item.Targets))
	var gone []*target
	for _, announced := range item.Targets {
		for len(old) > 0 && old[0].Ref.Compare(announced.Ref) < 0 {
			gone, old = append(gone, old[0]), old[1:]
		}
		if len(old) > 0 && old[0].Ref == announced.Ref {
			old[0].Target = announced
			next, old = append(next, old[0]), old[1:]
			continue
		}
		t := m.adopt(announced, s)
		s.byRef[announced.Ref] = t
		next = append(next, t)
	}
	s.targets = next
	s.spec, s.thresholds = item.Spec, m.config.Thresholds(item.Spec)
	s.dirty, s.active, s.judged = true, false, true
	s.refs, s.refsAt, s.releasedAt = nil, time.Time{}, time.Time{}
	return m.depart(s, append(gone, old...))
}

// depart forgets targets; their histories wait for a target of the same name.
func (m *Module) depart(s *service, gone []*target) []Cmd {
	var cmds []Cmd
	for _, t := range gone {
		delete(s.byRef, t.Ref)
		if !slices.ContainsFunc(s.targets, func(other *target) bool { return other.history == t.history }) {
			m.unused[historyKey{t.Ref.Service, t.Ref.ID}] = struct{}{}
		}
		cmds = append(cmds, DepartedCmd{Target: t.Ref})
	}
	return cmds
}

// expireHistories forgets the histories of targets that have been away for long enough.
func (m *Module) expireHistories() {
	for key := range m.unused {
		if m.now.Sub(m.histories[key].lastEjected) > flapMemory {
			delete(m.histories, key)
			delete(m.unused, key)
		}
	}
}

// setClaims takes the claims on the targets of one service and reports whether any differs from before.
func (m *Module) setClaims(s *service, claims []model.Claim) bool {
	fresh := make(map[model.TargetRef]model.Severity, len(claims))
	for _, c := range claims {
		fresh[c.Target] = max(fresh[c.Target], c.Severity)
	}
	differs := false
	for _, t := range s.targets {
		severity := model.Severity(0)
		if len(fresh) > 0 {
			severity = fresh[t.Ref]
		}
		if t.claim == 0 && severity != 0 {
			t.claimSince, t.claimDoubted = m.now, false
		}
		if t.claim != severity {
			t.claim = severity
			s.dirty, differs = true, true
		}
	}
	return differs
}
