package once

import (
	"maps"
	"slices"
)

// clone returns a copy that shares no state.
func (s *epochStore[R]) clone() epochStore[R] {
	c := *s
	c.floors = maps.Clone(s.floors)
	c.buckets = make(map[epochID]*bucket[R], len(s.buckets))
	for id, b := range s.buckets {
		c.buckets[id] = &bucket[R]{ID: b.ID, Touched: b.Touched, Records: maps.Clone(b.Records)}
	}
	return c
}

// clone returns a copy that shares only answers, for searches that try several messages; the copy must not evict any.
func (m *ledgerModule) clone() *ledgerModule {
	c := *m
	c.records, c.answers = m.records.clone(), slices.Clone(m.answers)
	return &c
}

// clone returns a copy that shares no state, for searches that try several messages.
func (m *ownerModule) clone() *ownerModule {
	c := *m
	c.records, c.domains, c.out = m.records.clone(), maps.Clone(m.domains), nil
	return &c
}
