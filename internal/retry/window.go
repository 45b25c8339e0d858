package retry

import "time"

// windowBuckets is the number of buckets in the span of a window.
const windowBuckets = 10

// Window limits the retries within any span of time to a share of the first attempts in it. Each agent sees all
// requests of its target, so limits that hold at every target also hold for the service as a whole. A Window is not
// safe for concurrent use.
type Window struct {
	span  time.Duration
	ratio float64
	// first and retries count the attempts in each bucket; index is the number of the current bucket since the epoch.
	first, retries [windowBuckets + 1]int
	index          int64
}

// NewWindow returns an empty window.
func NewWindow(span time.Duration, ratio float64) *Window {
	return &Window{span: span, ratio: ratio}
}

// CountFirst counts a first attempt.
func (w *Window) CountFirst(now time.Time) {
	w.advance(now)
	w.first[w.bucket()]++
}

// AllowRetry reports whether the window has room for a retry, with extra retries on top of the share, and counts it if
// so.
func (w *Window) AllowRetry(now time.Time, extra float64) bool {
	w.advance(now)
	if float64(sum(w.retries)+1) > w.ratio*float64(sum(w.first))+extra {
		return false
	}
	w.retries[w.bucket()]++
	return true
}

// advance clears expired buckets. One bucket more than the span is kept, so that the buckets cover every window of the
// span, whatever its offset.
func (w *Window) advance(now time.Time) {
	index := now.UnixNano() / int64(w.span/windowBuckets)
	for w.index < index {
		w.index++
		if index-w.index > windowBuckets {
			w.index = index - windowBuckets
		}
		w.first[w.bucket()], w.retries[w.bucket()] = 0, 0
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
