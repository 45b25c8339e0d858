package eject

import (
	"sync/atomic"
	"time"
)

// chunkSlots is the number of in-flight requests that one chunk holds; most targets have fewer slots.
const chunkSlots = 16

// startTimes is a lock-free list of the start times of in-flight requests; 0 marks a free slot.
type startTimes struct {
	slots [chunkSlots]atomic.Int64
	next  atomic.Pointer[startTimes]
}

// reserve stores the start time in a free slot and returns the slot.
func (s *startTimes) reserve(start int64) *atomic.Int64 {
	for {
		for i := range s.slots {
			if s.slots[i].Load() == 0 && s.slots[i].CompareAndSwap(0, start) {
				return &s.slots[i]
			}
		}
		if s.next.Load() == nil {
			s.next.CompareAndSwap(nil, &startTimes{})
		}
		s = s.next.Load()
	}
}

// oldest returns the number of requests that started at or after since, and the two earliest start times among them.
func (s *startTimes) oldest(since int64) (count int, first, second int64) {
	for ; s != nil; s = s.next.Load() {
		for i := range s.slots {
			at := s.slots[i].Load()
			if at == 0 || at < since {
				continue
			}
			count++
			if first == 0 || at < first {
				first, second = at, first
			} else if second == 0 || at < second {
				second = at
			}
		}
	}
	return count, first, second
}

// results is a lock-free stack of finished requests; any number of requests push to it and the ticker drains it.
type results struct {
	head atomic.Pointer[finished]
}

type finished struct {
	at         int64
	duration   time.Duration
	kind       Kind
	idempotent bool
	next       *finished
}

func (r *results) push(f *finished) {
	for {
		head := r.head.Load()
		f.next = head
		if r.head.CompareAndSwap(head, f) {
			return
		}
	}
}

// drain removes all results and returns them as a list, oldest first.
func (r *results) drain() *finished {
	var oldest *finished
	for f := r.head.Swap(nil); f != nil; {
		next := f.next
		f.next = oldest
		oldest, f = f, next
	}
	return oldest
}
