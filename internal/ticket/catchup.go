package ticket

import (
	"slices"
	"time"
)

const (
	// fetchTimeout is how long a fetch may stay unanswered before another source is asked.
	// Two attempts and the spread of the rumour fit into the 6 s within which a ticket is in force.
	fetchTimeout = 1500 * time.Millisecond
	// retryWait separates attempts after every known source failed.
	retryWait = 500 * time.Millisecond
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
	source Source
	number uint64
	failed bool
}

// hear remembers that a source holds tickets up to the number.
func (c *catchUp) hear(source Source, number uint64) {
	i := slices.IndexFunc(c.known, func(k knownHead) bool { return k.source == source })
	if i >= 0 {
		c.known[i].failed = c.known[i].failed && number <= c.known[i].number
		c.known[i].number = max(c.known[i].number, number)
		return
	}
	c.known = append(c.known, knownHead{source: source, number: number})
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
	i := slices.IndexFunc(c.known, func(k knownHead) bool { return !k.failed })
	if i < 0 {
		return c.pause(now)
	}
	if now.Before(c.blocked) {
		return nil
	}
	c.asked, c.asking, c.until = c.known[i].source, true, now.Add(fetchTimeout)
	return []Cmd{FetchCmd{Source: c.asked, After: number}}
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
	for i := range c.known {
		c.known[i].failed = c.known[i].failed || c.known[i].source == source
	}
}
