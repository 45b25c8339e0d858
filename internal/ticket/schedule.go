package ticket

import (
	"math/rand/v2"
	"time"
)

const (
	// ReaderInterval is how often a reader of a failure domain reads the head row. It takes 1 s of the 6 s within which
	// an accepted ticket must be in force.
	ReaderInterval = time.Second
	// OtherInterval is how often, on average, any other node reads the head row. It bounds the delay when gossip does
	// not reach a node, at 22 reads/s for 652 nodes.
	OtherInterval = 30 * time.Second
	// jitterShare spreads the reads of non-readers over half of the interval.
	jitterShare = 0.5
)

// readSchedule determines when the node reads the head row.
type readSchedule struct {
	random *rand.Rand
	reader bool
	next   time.Time
}

// due reports whether a read is due and schedules the next one; the first read is due immediately.
func (s *readSchedule) due(now time.Time) bool {
	if now.Before(s.next) {
		return false
	}
	s.plan(now)
	return true
}

func (s *readSchedule) plan(now time.Time) {
	if s.reader {
		s.next = now.Add(ReaderInterval)
		return
	}
	factor := 1 + jitterShare*(s.random.Float64()-0.5)
	s.next = now.Add(time.Duration(float64(OtherInterval) * factor))
}

// setReader schedules the first read of a new reader at a random time within one interval.
func (s *readSchedule) setReader(reader bool, now time.Time) {
	if s.reader == reader {
		return
	}
	s.reader = reader
	soon := now.Add(time.Duration(s.random.Float64() * float64(ReaderInterval)))
	if reader && s.next.After(soon) {
		s.next = soon
	}
}
