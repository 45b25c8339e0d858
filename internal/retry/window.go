package retry

import "time"

// windowBuckets divide the span of a window.
const windowBuckets = 10

// Window bounds the repeats within any span of time by a share of the first attempts in it. The agent of a target sees all
// that arrives there; when each keeps its own bound, the sum over all targets of a service keeps that of the service. It is
// not safe for concurrent use.
type Window struct {
	span  time.Duration
	ratio float64
	// first and repeats count arrivals by bucket; index is that of the current one.
	first, repeats [windowBuckets + 1]int
	index          int64
}

// NewWindow returns a window without arrivals.
func NewWindow(span time.Duration, ratio float64) *Window {
	return &Window{span: span, ratio: ratio}
}

// CountFirst counts a first attempt.
func (w *Window) CountFirst(now time.Time) {
	w.advance(now)
	w.first[w.bucket()]++
}

// AllowRetry counts a repeat and reports true if the window has room for it, with extra repeats beside the share.
func (w *Window) AllowRetry(now time.Time, extra float64) bool {
	w.advance(now)
	if float64(sum(w.repeats)+1) > w.ratio*float64(sum(w.first))+extra {
		return false
	}
	w.repeats[w.bucket()]++
	return true
}

// advance clears the buckets that the time has left behind. One bucket more than the span is kept, so that any window of
// the span is covered by those that count.
func (w *Window) advance(now time.Time) {
	index := now.UnixNano() / int64(w.span/windowBuckets)
	for w.index < index {
		w.index++
		if index-w.index > windowBuckets {
			w.index = index - windowBuckets
		}
		w.first[w.bucket()], w.repeats[w.bucket()] = 0, 0
	}
}

func (w *Window) bucket() int {
	return int(w.index % int64(len(w.first)))
}

func sum(counts [windowBuckets + 1]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
