package main

import (
	"fmt"
	"sync"
	"time"
)

// findings collects broken invariants; it is safe for concurrent use.
type findings struct {
	began time.Time
	mu    sync.Mutex
	list  []string
}

// add records one broken invariant and prints it at once.
func (f *findings) add(check, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	text := fmt.Sprintf("%8.3f BROKEN %s: %s", time.Since(f.began).Seconds(), check, fmt.Sprintf(format, args...))
	f.list = append(f.list, text)
	fmt.Println(text)
}

// logf prints an event with its time since the start.
func (f *findings) logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Printf("%8.3f %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

func (f *findings) print() {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Printf("broken invariants: %d\n", len(f.list))
	for _, text := range f.list {
		fmt.Println(text)
	}
}
