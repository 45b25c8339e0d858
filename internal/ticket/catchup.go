package ticket

import (
	"slices"
	"time"
)

const (
	// fetchTimeout is how long a fetch may be outstanding before another source is asked; a late reply is still used.
	// The longest round trip is 24 ms, and with 500 ms all remembered sources are asked within 4 s of the 6 s in which
	// a ticket must be in force.
	fetchTimeout = 500 * time.Millisecond
	// retryWait is the pause before the next attempt after every known source failed.
	retryWait = 500 * time.Millisecond
	// maxFailures is the number of failures after which a source is removed; the source may announce itself again.
	maxFailures = 3
	// maxSources bounds the number of sources remembered during one catch-up.
	maxSources = 8
)

// catchUp fetches from the sources that know larger ticket numbers, one source at a time.
type catchUp struct {
	sources       []sourceHead
	fetchSource   Source
	fetching      bool
	fetchDeadline time.Time
	retryAt       time.Time
}

type sourceHead struct {
	source   Source
	number   uint64
	failed   bool
	failures int
}

// observe records that a source holds tickets up to the number. The most recently observed source is asked first, since
// it is the most likely to be alive.
func (c *catchUp) observe(source Source, number uint64) {
	head := sourceHead{source: source, number: number}
	if i := slices.IndexFunc(c.sources, func(s sourceHead) bool { return s.source == source }); i >= 0 {
		if number <= c.sources[i].number {
			head = c.sources[i]
		}
		c.sources = slices.Delete(c.sources, i, i+1)
	}
	c.sources = append(c.sources, head)
	if len(c.sources) > maxSources {
		c.sources = slices.Delete(c.sources, 0, 1)
	}
}

// next returns a fetch if a source is ahead of the number and no fetch is outstanding.
func (c *catchUp) next(now time.Time, number uint64) []Cmd {
	c.sources = slices.DeleteFunc(c.sources, func(s sourceHead) bool { return s.number <= number })
	if c.fetching && now.Before(c.fetchDeadline) {
		return nil
	}
	if c.fetching {
		c.fail(c.fetchSource)
	}
	if len(c.sources) == 0 {
		return nil
	}
	if now.Before(c.retryAt) {
		return nil
	}
	for _, s := range slices.Backward(c.sources) {
		if !s.failed {
			c.fetchSource, c.fetching, c.fetchDeadline = s.source, true, now.Add(fetchTimeout)
			return []Cmd{FetchCmd{Source: c.fetchSource, After: number}}
		}
	}
	return c.backOff(now)
}

// backOff makes all sources eligible again after a wait.
func (c *catchUp) backOff(now time.Time) []Cmd {
	c.retryAt = now.Add(retryWait)
	for i := range c.sources {
		c.sources[i].failed = false
	}
	return nil
}

func (c *catchUp) finish(source Source) {
	if c.fetching && c.fetchSource == source {
		c.fetching = false
	}
}

func (c *catchUp) fail(source Source) {
	c.finish(source)
	i := slices.IndexFunc(c.sources, func(s sourceHead) bool { return s.source == source })
	if i < 0 {
		return
	}
	c.sources[i].failed = true
	c.sources[i].failures++
	if c.sources[i].failures >= maxFailures {
		c.sources = slices.Delete(c.sources, i, i+1)
	}
}
