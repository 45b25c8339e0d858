package search

import (
	"maps"
	"sync"
)

// StepCounter counts named steps, so that a test can detect a complete search that never took the relevant ones.
type StepCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// Add counts one step; it is safe for concurrent use.
func (c *StepCounter) Add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[name]++
}

// Counts returns the number of times that each step was counted.
func (c *StepCounter) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}
