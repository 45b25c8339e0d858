package search

import (
	"maps"
	"sync"
)

// StepCounter counts named steps, against a search that is complete but never reaches the interesting ones.
type StepCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// Add counts one step; it may be called from several goroutines.
func (c *StepCounter) Add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[name]++
}

// Counts returns how often each step was counted.
func (c *StepCounter) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}
