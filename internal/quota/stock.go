package quota

import (
	"math"
	"slices"
	"time"
)

// epsilon is the tolerance for the rounding of amounts that add up to a whole token.
const epsilon = 1e-6

// parcel is an amount of tokens that expire together.
type parcel struct {
	amount  float64
	expires time.Duration
}

// stock holds the tokens of one account, sorted by expiry.
type stock struct {
	parcels []parcel
	total   float64
}

// add adds tokens. The expiry is rounded down to a multiple of the grain, which bounds the number of parcels.
func (s *stock) add(amount float64, expires, grain time.Duration) {
	if amount <= 0 {
		return
	}
	expires -= expires % max(1, grain)
	i, found := slices.BinarySearchFunc(s.parcels, expires, func(p parcel, at time.Duration) int { return int(p.expires - at) })
	if found {
		s.parcels[i].amount += amount
	} else {
		s.parcels = slices.Insert(s.parcels, i, parcel{amount: amount, expires: expires})
	}
	s.total += amount
}

// expire removes the tokens that have expired.
func (s *stock) expire(now time.Duration) {
	n := 0
	for n < len(s.parcels) && s.parcels[n].expires <= now {
		s.total -= s.parcels[n].amount
		n++
	}
	s.parcels = slices.Delete(s.parcels, 0, n)
	if len(s.parcels) == 0 {
		s.total = 0
	}
}

// after returns the number of tokens that expire later than the time.
func (s *stock) after(at time.Duration) float64 {
	total := s.total
	for _, p := range s.parcels {
		if p.expires > at {
			break
		}
		total -= p.amount
	}
	return total
}

// take removes the amount from the tokens that expire later than the time, the oldest first, and calls use for each parcel.
func (s *stock) take(amount float64, at time.Duration, use func(parcel)) {
	for i := range s.parcels {
		p := &s.parcels[i]
		if p.expires <= at {
			continue
		}
		part := min(p.amount, amount)
		p.amount -= part
		amount -= part
		s.total -= part
		use(parcel{amount: part, expires: p.expires})
		if amount <= 0 {
			break
		}
	}
	s.parcels = slices.DeleteFunc(s.parcels, func(p parcel) bool { return p.amount <= 0 })
}

// takeOne removes one whole token and returns its expiry.
func (s *stock) takeOne(now time.Duration) (expires time.Duration, ok bool) {
	s.expire(now)
	if s.total < 1-epsilon {
		return 0, false
	}
	expires = math.MaxInt64
	s.take(min(1, s.total), now, func(p parcel) { expires = min(expires, p.expires) })
	return expires, true
}

// lower applies lower terms to the tokens.
func (s *stock) lower(scale float64, earlier time.Duration) {
	for i := range s.parcels {
		s.parcels[i].amount *= scale
		s.parcels[i].expires -= earlier
	}
	s.total *= scale
}
