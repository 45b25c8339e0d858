package agent

import "sync"

// runningShards is the number of locks that requests are spread over, to reduce contention.
const runningShards = 16

// running counts the requests on targets by fingerprint. A request is counted before its verdict is read, so that a
// request that read no suspicion is already counted when this agent responds to the suspicion.
type running struct {
	shards [runningShards]runningShard
}

type runningShard struct {
	mu     sync.Mutex
	counts map[uint64]int
}

func (r *running) begin(fingerprint uint64) {
	s := &r.shards[fingerprint%runningShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = make(map[uint64]int)
	}
	s.counts[fingerprint]++
}

func (r *running) end(fingerprint uint64) {
	s := &r.shards[fingerprint%runningShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts[fingerprint]--; s.counts[fingerprint] <= 0 {
		delete(s.counts, fingerprint)
	}
}

func (r *running) has(fingerprint uint64) bool {
	s := &r.shards[fingerprint%runningShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[fingerprint] > 0
}
