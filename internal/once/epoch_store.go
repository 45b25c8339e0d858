package once

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnwinch/auburnwinch/internal/invar"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// epochID names one epoch of one owner.
type epochID struct {
	Owner model.NodeRef
	Epoch uint64
}

// position orders the epochs of one node ID: a later incarnation comes after all epochs of an earlier one.
type position struct {
	Incarnation uint64
	Epoch       uint64
}

// bucket holds the records of one epoch; it is dropped as a whole.
type bucket[R any] struct {
	ID      epochID
	Touched time.Time
	Records map[digest]R
}

// epochStore holds records by epoch and refuses keys of epochs whose records it dropped.
type epochStore[R any] struct {
	buckets map[epochID]*bucket[R]
	// floors holds, per node ID, the lowest position that is still accepted.
	floors map[string]position
	// horizon is the lowest incarnation that is accepted of a node ID without a floor.
	horizon    uint64
	count      int
	maxRecords int
	maxFloors  int
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

// accepts reports whether no record of the epoch can have been dropped.
func (s *epochStore[R]) accepts(e epochID) bool {
	if floor, ok := s.floors[e.Owner.ID]; ok {
		return e.position().compare(floor) >= 0
	}
	return e.Owner.Incarnation >= s.horizon
}

func (s *epochStore[R]) get(id keyID) (R, bool) {
	if b := s.buckets[id.epoch()]; b != nil {
		r, ok := b.Records[id.Digest]
		return r, ok
	}
	var none R
	return none, false
}

// put stores the record; the caller has checked that the epoch is accepted.
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
	b.Touched = now
}

// remove deletes one record whose key certainly never ran.
func (s *epochStore[R]) remove(id keyID) {
	b := s.buckets[id.epoch()]
	if b == nil {
		return
	}
	before := len(b.Records)
	delete(b.Records, id.Digest)
	s.count += len(b.Records) - before
}

// expire drops the epochs that were last touched before the given time, the lowest of each node ID first.
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
			if b.Touched.Before(before) {
				s.drop(b.ID)
				dropped = true
			}
		}
		if !dropped {
			return
		}
	}
}

// makeRoom drops whole epochs, the longest untouched first, until one more record fits.
func (s *epochStore[R]) makeRoom() {
	for s.count >= s.maxRecords && len(s.buckets) > 0 {
		s.drop(s.leastTouched())
	}
	invar.Check(s.count < s.maxRecords, "once", "%d records are kept, the bound is %d", s.count, s.maxRecords)
}

func (s *epochStore[R]) leastTouched() epochID {
	var least *bucket[R]
	for _, b := range s.buckets {
		if least == nil || b.Touched.Before(least.Touched) ||
			b.Touched.Equal(least.Touched) && b.ID.compare(least.ID) < 0 {
			least = b
		}
	}
	return least.ID
}

func (e epochID) compare(other epochID) int {
	return cmp.Or(cmp.Compare(e.Owner.ID, other.Owner.ID), e.position().compare(other.position()))
}

// drop removes the epoch and all lower ones of the same node ID and refuses their keys from then on.
func (s *epochStore[R]) drop(e epochID) {
	floor := position{Incarnation: e.Owner.Incarnation, Epoch: e.Epoch + 1}
	for id, b := range s.buckets {
		if id.Owner.ID == e.Owner.ID && id.position().compare(floor) < 0 {
			s.count -= len(b.Records)
			delete(s.buckets, id)
		}
	}
	s.raise(e.Owner.ID, floor)
}

// raise moves the floor of the node ID up; a floor never goes down.
func (s *epochStore[R]) raise(id string, floor position) {
	if current, ok := s.floors[id]; ok && current.compare(floor) >= 0 {
		return
	}
	s.floors[id] = floor
	if len(s.floors) > s.maxFloors {
		s.forgetFloor()
	}
	invar.Check(len(s.floors) <= s.maxFloors, "once", "%d floors are kept, the bound is %d", len(s.floors), s.maxFloors)
}

// forgetFloor replaces the floor with the lowest incarnation by a horizon that refuses at least the same keys.
func (s *epochStore[R]) forgetFloor() {
	ids := make([]string, 0, len(s.floors))
	for id := range s.floors {
		ids = append(ids, id)
	}
	lowest := slices.MinFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.floors[a].Incarnation, s.floors[b].Incarnation), cmp.Compare(a, b))
	})
	s.horizon = max(s.horizon, s.floors[lowest].Incarnation+1)
	delete(s.floors, lowest)
}
