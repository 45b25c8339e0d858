package picker

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// reportHalfLife is the age at which a reported load counts half, so that stale reports neither attract nor deter
// requests.
const reportHalfLife = time.Second

// limitMaxAge is the maximum age at which a reported limit replaces the announced slots.
const limitMaxAge = 5 * time.Second

// Load is the load that an agent reported for a target; the zero value means no report.
type Load struct {
	InFlight int
	Limit    int
	// IncludesRequest is set if InFlight counts the request whose response carried the report.
	IncludesRequest bool
}

// counters tracks the load of one target as known to this edge.
type counters struct {
	inFlight atomic.Int64
	probing  atomic.Bool
	// probedAt is when the last probation request was picked, in nanoseconds since the picker's start.
	probedAt atomic.Int64
	report   atomic.Pointer[report]
	turndown atomic.Pointer[turndown]
	health   targetHealth
	notice   targetNotice
}

type report struct {
	at time.Time
	// others is the reported load minus this edge's own requests.
	others int64
	limit  int
}

func (c *counters) storeReport(l Load, now time.Time) {
	if l.Limit <= 0 {
		return
	}
	own := c.inFlight.Load()
	if l.IncludesRequest {
		own++
	}
	c.report.Store(&report{at: now, others: max(0, int64(l.InFlight)-own), limit: l.Limit})
}

// load returns the estimated number of requests in flight at the target.
func (c *counters) load(now time.Time) float64 {
	own := float64(c.inFlight.Load())
	r := c.report.Load()
	if r == nil {
		return own
	}
	age := max(0, now.Sub(r.at))
	return own + float64(r.others)*math.Exp2(-float64(age)/float64(reportHalfLife))
}

// limit returns the number of requests that the target accepts at once.
func (c *counters) limit(t model.Target, now time.Time) int {
	r := c.report.Load()
	if r == nil || now.Sub(r.at) > limitMaxAge {
		return t.Slots
	}
	return min(r.limit, t.Slots)
}
