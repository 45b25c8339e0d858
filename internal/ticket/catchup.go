package ticket

import (
	"slices"
	"time"
)

const (
	// fetchTimeout is how long a fetch may stay unanswered before another source is asked; a late answer still counts.
	// The largest round trip is 24 ms, and with 500 ms all remembered sources are asked within 4 s of the 6 s in which a
	// ticket is in force.
	fetchTimeout = 500 * time.Millisecond
	// retryWait separates attempts after every known source failed.
	retryWait = 500 * time.Millisecond
	// maxFailures is after how many failures a source's announcement is forgotten; the source may announce itself again.
	maxFailures = 3
	// maxSources bounds the sources remembered for one catch-up.
	maxSources = 8
)

// catchUp asks the sources that know larger numbers, one at a time.
type catchUp struct {
	known   []knownHead
	asked   Source
	asking  bool
	until   time.Time
	blocked time.Time
}

type knownHead struct {
	source   Source
	number   uint64
	failed   bool
	failures int
}

// hear remembers that a source holds tickets up to the number; the source heard last is asked first, as it is alive.
func (c *catchUp) hear(source Source, number uint64) {
	heard := knownHead{source: source, number: number}
	if i := slices.IndexFunc(c.known, func(k knownHead) bool { return k.source == source }); i >= 0 {
		if number <= c.known[i].number {
			heard = c.known[i]
		}
		c.known = slices.Delete(c.known, i, i+1)
	}
	c.known = append(c.known, heard)
	if len(c.known) > maxSources {
		c.known = slices.Delete(c.known, 0, 1)
	}
}

// next returns a fetch when a source is ahead of the number and no fetch is under way.
func (c *catchUp) next(now time.Time, number uint64) []Cmd {
	c.known = slices.DeleteFunc(c.known, func(k knownHead) bool { return k.number <= number })
	if c.asking && now.Before(c.until) {
		return nil
	}
	if c.asking {
		c.fail(c.asked)
	}
	if len(c.known) == 0 {
		return nil
	}
	if now.Before(c.blocked) {
		return nil
	}
	for _, k := range slices.Backward(c.known) {
		if !k.failed {
			c.asked, c.asking, c.until = k.source, true, now.Add(fetchTimeout)
			return []Cmd{FetchCmd{Source: c.asked, After: number}}
		}
	}
	return c.pause(now)
}

// pause lets all sources be asked again after a wait.
func (c *catchUp) pause(now time.Time) []Cmd {
	c.blocked = now.Add(retryWait)
	for i := range c.known {
		c.known[i].failed = false
	}
	return nil
}

func (c *catchUp) finish(source Source) {
	if c.asking && c.asked == source {
		c.asking = false
	}
}

func (c *catchUp) fail(source Source) {
	c.finish(source)
	i := slices.IndexFunc(c.known, func(k knownHead) bool { return k.source == source })
	if i < 0 {
		return
	}
	c.known[i].failed = true
	c.known[i].failures++
	if c.known[i].failures >= maxFailures {
		c.known = slices.Delete(c.known, i, i+1)
	}
}
