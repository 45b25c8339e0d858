package once

import (
	"maps"
	"slices"
)

// clone returns a deep copy.
func (s *epochStore[R]) clone() epochStore[R] {
	c := *s
	c.floors = maps.Clone(s.floors)
	c.buckets = make(map[epochID]*bucket[R], len(s.buckets))
	for id, b := range s.buckets {
		c.buckets[id] = &bucket[R]{ID: b.ID, UpdatedAt: b.UpdatedAt, Records: maps.Clone(b.Records)}
	}
	return c
}

// clone returns a copy that shares only the stored responses, for searches that try several messages; the copy must not
// evict any.
func (m *ledgerModule) clone() *ledgerModule {
	c := *m
	c.records, c.responses = m.records.clone(), slices.Clone(m.responses)
	return &c
}

// clone returns a copy whose records are independent, for searches that try several messages.
func (m *ownerModule) clone() *ownerModule {
	c := *m
	c.records, c.issuers, c.cmds = m.records.clone(), maps.Clone(m.issuers), nil
	return &c
}
