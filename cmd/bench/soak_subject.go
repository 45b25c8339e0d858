package main

import (
	"sync"
	"time"
)

// soakSubjects serialises the faults of each subject and remembers when nodes were last disturbed.
type soakSubjects struct {
	mu        sync.Mutex
	locks     map[string]*sync.Mutex
	disturbed map[int]bool
	ended     map[int]time.Time
}

func newSubjects() *soakSubjects {
	return &soakSubjects{locks: make(map[string]*sync.Mutex), disturbed: make(map[int]bool), ended: make(map[int]time.Time)}
}

// hold waits until the subject is free and returns the function that frees it.
func (s *soakSubjects) hold(subject string) func() {
	s.mu.Lock()
	lock := s.locks[subject]
	if lock == nil {
		lock = &sync.Mutex{}
		s.locks[subject] = lock
	}
	s.mu.Unlock()
	lock.Lock()
	return lock.Unlock
}

// disturb marks a node as not live until the returned function is called.
func (s *soakSubjects) disturb(node int) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbed[node] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.disturbed[node] = false
		s.ended[node] = time.Now()
	}
}

// undisturbedSince reports whether no process fault touched the node after the time.
func (s *soakSubjects) undisturbedSince(node int, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.disturbed[node] && s.ended[node].Before(since)
}
