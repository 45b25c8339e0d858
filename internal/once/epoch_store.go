package once

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// epochID identifies one epoch of one owner.
type epochID struct {
	Owner model.NodeRef
	Epoch uint64
}

// position orders the epochs of one node ID: a later incarnation comes after all epochs of an earlier one.
type position struct {
	Incarnation uint64
	Epoch       uint64
}

// bucket holds the records of one epoch, which are only dropped together.
type bucket[R any] struct {
	ID        epochID
	UpdatedAt time.Time
	Records   map[digest]R
}

// epochStore holds records by epoch and rejects keys of epochs whose records it dropped.
type epochStore[R any] struct {
	buckets map[epochID]*bucket[R]
	// floors holds, per node ID, the lowest position that is still accepted.
	floors map[string]position
	// minIncarnation is the lowest incarnation that is accepted for a node ID without a floor.
	minIncarnation uint64
	count          int
	maxRecords     int
	maxFloors      int
}

func newEpochStore[R any](maxRecords, maxFloors int) epochStore[R] {
	return epochStore[R]{
		buckets:    make(map[epochID]*bucket[R]),
		floors:     make(map[string]position),
		maxRecords: maxRecords,
		maxFloors:  maxFloors,
	}
}

func (p position) compare(other position) int {
	return cmp.Or(cmp.Compare(p.Incarnation, other.Incarnation), cmp.Compare(p.Epoch, other.Epoch))
}

func (e epochID) position() position {
	return position{Incarnation: e.Owner.Incarnation, Epoch: e.Epoch}
}

func (k keyID) epoch() epochID {
	return epochID{Owner: k.Owner, Epoch: k.Epoch}
}

// accepts reports whether certainly no record of the epoch was dropped.
func (s *epochStore[R]) accepts(e epochID) bool {
	if floor, ok := s.floors[e.Owner.ID]; ok {
		return e.position().compare(floor) >= 0
	}
	return e.Owner.Incarnation >= s.minIncarnation
}

func (s *epochStore[R]) get(id keyID) (R, bool) {
	if b := s.buckets[id.epoch()]; b != nil {
		r, ok := b.Records[id.Digest]
		return r, ok
	}
	var none R
	return none, false
}

// put stores the record; the caller must have checked that the epoch is accepted.
func (s *epochStore[R]) put(id keyID, r R, now time.Time) {
	e := id.epoch()
	b := s.buckets[e]
	if b == nil {
		b = &bucket[R]{ID: e, Records: make(map[digest]R)}
		s.buckets[e] = b
	}
	before := len(b.Records)
	b.Records[id.Digest] = r
	s.count += len(b.Records) - before
	b.UpdatedAt = now
}

// remove deletes the record of a key that certainly never ran.
func (s *epochStore[R]) remove(id keyID) {
	b := s.buckets[id.epoch()]
	if b == nil {
		return
	}
	before := len(b.Records)
	delete(b.Records, id.Digest)
	s.count += len(b.Records) - before
}

// expire drops the epochs that were last updated before the given time, the lowest of each node ID first.
func (s *epochStore[R]) expire(before time.Time) {
	oldest := make(map[string]*bucket[R])
	for {
		clear(oldest)
		for _, b := range s.buckets {
			if o := oldest[b.ID.Owner.ID]; o == nil || b.ID.position().compare(o.ID.position()) < 0 {
				oldest[b.ID.Owner.ID] = b
			}
		}
		dropped := false
		for _, b := range oldest {
			if b.UpdatedAt.Before(before) {
				s.dropEpoch(b.ID)
				dropped = true
			}
		}
		if !dropped {
			return
		}
	}
}

// evict drops whole epochs, the least recently updated first, until one more record fits.
func (s *epochStore[R]) evict() {
	for s.count >= s.maxRecords && len(s.buckets) > 0 {
		s.dropEpoch(s.leastRecentlyUpdated())
	}
	invar.Check(s.count < s.maxRecords, "once", "%d records stored, limit %d", s.count, s.maxRecords)
}

func (s *epochStore[R]) leastRecentlyUpdated() epochID {
	var least *bucket[R]
	for _, b := range s.buckets {
		if least == nil || b.UpdatedAt.Before(least.UpdatedAt) ||
			b.UpdatedAt.Equal(least.UpdatedAt) && b.ID.compare(least.ID) < 0 {
			least = b
		}
	}
	return least.ID
}

func (e epochID) compare(other epochID) int {
	return cmp.Or(cmp.Compare(e.Owner.ID, other.Owner.ID), e.position().compare(other.position()))
}

// dropEpoch removes the epoch and all lower ones of the same node ID; their keys are rejected from then on.
func (s *epochStore[R]) dropEpoch(e epochID) {
	floor := position{Incarnation: e.Owner.Incarnation, Epoch: e.Epoch + 1}
	for id, b := range s.buckets {
		if id.Owner.ID == e.Owner.ID && id.position().compare(floor) < 0 {
			s.count -= len(b.Records)
			delete(s.buckets, id)
		}
	}
	s.raiseFloor(e.Owner.ID, floor)
}

// raiseFloor raises the floor of the node ID; a floor never decreases.
func (s *epochStore[R]) raiseFloor(id string, floor position) {
	if current, ok := s.floors[id]; ok && current.compare(floor) >= 0 {
		return
	}
	s.floors[id] = floor
	if len(s.floors) > s.maxFloors {
		s.evictFloor()
	}
	invar.Check(len(s.floors) <= s.maxFloors, "once", "%d floors stored, limit %d", len(s.floors), s.maxFloors)
}

// evictFloor removes the floor with the lowest incarnation and raises minIncarnation, which rejects at least the same
// keys.
func (s *epochStore[R]) evictFloor() {
	ids := make([]string, 0, len(s.floors))
	for id := range s.floors {
		ids = append(ids, id)
	}
	lowest := slices.MinFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.floors[a].Incarnation, s.floors[b].Incarnation), cmp.Compare(a, b))
	})
	s.minIncarnation = max(s.minIncarnation, s.floors[lowest].Incarnation+1)
	delete(s.floors, lowest)
}
